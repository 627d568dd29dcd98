package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"pollenpaddle/internal/failure"
)

// Limits of the configuration. They limit the memory of every process that follows it. The target
// size of an installation is 710 organisations and 8 zones.
const (
	MaxNameBytes         = 64
	MaxAddressBytes      = 255
	MaxClasses           = 1024
	MaxOrganisations     = 4096
	MaxAvailabilityZones = 256
	MaxEntries           = 1024
	MaxSlots             = 10_000_000
	MinAnswerWithin      = time.Millisecond
	MaxAnswerWithin      = time.Hour
)

const nameRemedy = "use 1 to 64 bytes of letters, digits, hyphen, underscore, dot or colon, starting with a letter or digit"

func invalid(remedy, format string, args ...any) *failure.Error {
	return failure.New(failure.InvalidArgument, remedy, format, args...)
}

// ValidateName returns InvalidArgument unless text is a valid name or id. The parameter what
// names the kind of name, for example "class" or "change id"; it is used only in the message.
func ValidateName(what, text string) error {
	if text == "" || len(text) > MaxNameBytes || !utf8.ValidString(text) {
		return invalid(nameRemedy, "invalid %s %q: it is empty, too long or not UTF-8", what, truncate(text))
	}
	for i, r := range text {
		if unicode.IsLetter(r) || unicode.IsDigit(r) || i > 0 && (strings.ContainsRune("-_.:", r) || unicode.IsMark(r)) {
			continue
		}
		return invalid(nameRemedy, "invalid %s %q: it contains %q", what, text, r)
	}
	return nil
}

// truncate shortens text to at most MaxNameBytes and an ellipsis, for an error message.
func truncate(text string) string {
	if len(text) > MaxNameBytes {
		return text[:MaxNameBytes] + "..."
	}
	return text
}

func (c Class) validate() error {
	if err := ValidateName("class", c.Name); err != nil {
		return err
	}
	if err := ValidateName("upstream", c.Upstream); err != nil {
		return err
	}
	if c.AnswerWithin < MinAnswerWithin || c.AnswerWithin > MaxAnswerWithin {
		return invalid("use 1 ms to 1 h", "answer_within of class %q is %v", c.Name, c.AnswerWithin)
	}
	if !(c.Share > 0 && c.Share <= 1) {
		return invalid("use a share above 0 and up to 1, for example 0.99", "share of class %q is %v", c.Name, c.Share)
	}
	return nil
}

func (o Organisation) validate() error {
	if err := ValidateName("organisation", o.Name); err != nil {
		return err
	}
	if o.Slots < 0 || o.Slots > MaxSlots {
		return invalid("use 0 (no quota) to "+strconv.Itoa(MaxSlots), "quota of organisation %q is %d slots", o.Name, o.Slots)
	}
	return nil
}

func (e Entry) validate() error {
	if err := ValidateName("entry", e.ID); err != nil {
		return err
	}
	if err := ValidateName("availability zone", e.AvailabilityZone); err != nil {
		return err
	}
	if e.Incarnation == 0 {
		return invalid("report this as a bug", "entry %q has no incarnation", e.ID)
	}
	if !isHostPort(e.Address) {
		return invalid("set advertise to host:port", "entry %q has the address %q", e.ID, truncate(e.Address))
	}
	return nil
}

// isHostPort reports whether address has the form host:port or [host]:port with a numeric port.
func isHostPort(address string) bool {
	colon := strings.LastIndexByte(address, ':')
	if colon < 1 || len(address) > MaxAddressBytes || !utf8.ValidString(address) || strings.ContainsAny(address, " /@") {
		return false
	}
	host, port := address[:colon], address[colon+1:]
	number, err := strconv.ParseUint(port, 10, 16)
	bracketed := strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]")
	return err == nil && number > 0 && (bracketed || !strings.Contains(host, ":"))
}

// Validate checks every field, the limits and the order of a state received from another process.
func (s *State) Validate() error {
	if s.Revision < FirstRevision {
		return invalid("report this as a bug", "configuration has no revision")
	}
	if err := validateList("classes", s.Classes, MaxClasses, Class.validate); err != nil {
		return err
	}
	if err := validateList("organisations", s.Organisations, MaxOrganisations, Organisation.validate); err != nil {
		return err
	}
	validZone := func(z AvailabilityZone) error { return ValidateName("availability zone", z.Name) }
	if err := validateList("availability zones", s.AvailabilityZones, MaxAvailabilityZones, validZone); err != nil {
		return err
	}
	if s.Routing != nil {
		if err := s.Routing.Validate(); err != nil {
			return err
		}
	}
	return validateList("entries", s.Entries, MaxEntries, Entry.validate)
}

func validateList[T keyed](name string, list []T, limit int, validate func(T) error) error {
	if len(list) > limit {
		return invalid("run the same release on all processes", "configuration has %d %s; the limit is %d", len(list), name, limit)
	}
	for _, item := range list {
		if err := validate(item); err != nil {
			return err
		}
	}
	ascending := func(a, b T) int {
		if a.key() < b.key() {
			return -1
		}
		return 1
	}
	if !slices.IsSortedFunc(list, ascending) {
		return invalid("report this as a bug", "%s are not sorted or not unique", name)
	}
	return nil
}
