package wire

// The messages in this file, except UsageReport, assign tasks to slots. A Start without an offer is a
// direct start: the agent runs it, adds it to a bounded queue, or refuses it. A Start that uses an
// offer is never refused with RefusedBusy. All offers of an agent incarnation have distinct non-zero
// numbers.
//
// A probe is a queued request of an entry for one slot. An offer is an idle slot that the agent
// holds for one entry. A credit is an offer that the entry requested neither by a probe nor by a
// Demand.

// Reserve queues Count probes at the agent. The agent replies to each probe with one offer when the
// probe is at the head of the queue and a slot is free.
type Reserve struct {
	_     struct{} `cbor:",toarray"`
	Count int
}

// Unreserve cancels up to Count probes of the sender that are still queued.
type Unreserve struct {
	_     struct{} `cbor:",toarray"`
	Count int
}

// Offer gives the entry exclusive use of idle slots until it uses or declines them.
type Offer struct {
	_        struct{} `cbor:",toarray"`
	IDs      []uint64
	Reserved int // the first Reserved IDs are for probes of the entry; the others are for its Demand or are credits
}

// Decline returns unused offers. The entry sends it for offers that it does not need, and once
// for every Recall, even if it returns no offers.
type Decline struct {
	_        struct{} `cbor:",toarray"`
	IDs      []uint64
	Recalled bool // reply to a Recall
}

// Recall asks the entry to return up to Count unused offers. Offers that the entry has already used
// remain used; their Start is received before the Decline.
type Recall struct {
	_     struct{} `cbor:",toarray"`
	Count int
}

// Demand reports that the entry has Queued tasks without an offer. It replaces the sender's earlier
// Demand and is valid until the agent has offered that many slots; zero cancels it.
type Demand struct {
	_      struct{} `cbor:",toarray"`
	Queued int
}

// UsageReport reports the usage of organisations at the sender to another entry. It is sent once a
// second and lists only organisations with running or queued tasks, sorted by name.
type UsageReport struct {
	_             struct{} `cbor:",toarray"`
	Organisations []OrganisationUsage
}

// OrganisationUsage is one organisation's usage at one entry.
type OrganisationUsage struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Running int
	Queued  int
}
