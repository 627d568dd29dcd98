package wire

// EmptyMessages returns an empty message of each registered type, ordered by number.
func EmptyMessages() []Message {
	var messages []Message
	for _, construct := range constructors {
		if construct != nil {
			messages = append(messages, construct())
		}
	}
	return messages
}

// Registered reports whether the constructor for number creates messages with that type.
func Registered(number Type) bool {
	return constructors[number] != nil && constructors[number]().MessageType() == number
}
