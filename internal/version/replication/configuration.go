package replication

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/failure"
)

// Find returns the member with the given identity.
func (c Configuration) Find(id Identity) (Member, bool) {
	for _, m := range c.Members {
		if m.Identity == id {
			return m, true
		}
	}
	return Member{}, false
}

// FindName returns the member with the given name.
func (c Configuration) FindName(name string) (Member, bool) {
	for _, m := range c.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the identity belongs to a voter.
func (c Configuration) IsVoter(id Identity) bool {
	m, ok := c.Find(id)
	return ok && m.Voter
}

// Voters returns the number of voters.
func (c Configuration) Voters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return c.Voters()/2 + 1 }

// quorumValue returns the largest value that a quorum of voters has reached, where value returns the
// value of a voter.
func (c Configuration) quorumValue(value func(Identity) uint64) uint64 {
	values := make([]uint64, 0, maxMembers)
	for _, m := range c.Members {
		if m.Voter {
			values = append(values, value(m.Identity))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.Quorum()]
}

// countVoters returns the number of voters for which counted returns true.
func (c Configuration) countVoters(counted func(Identity) bool) int {
	n := 0
	for _, m := range c.Members {
		if m.Voter && counted(m.Identity) {
			n++
		}
	}
	return n
}

// with returns a copy in which member is added or replaces the member of the same identity.
func (c Configuration) with(member Member) Configuration {
	next := c.without(member.Identity)
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, func(a, b Member) int {
		if a.Identity < b.Identity {
			return -1
		}
		return 1
	})
	return next
}

// without returns a copy without the member of the identity.
func (c Configuration) without(id Identity) Configuration {
	next := Configuration{Group: c.Group, Members: make([]Member, 0, len(c.Members)+1)}
	for _, m := range c.Members {
		if m.Identity != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// EncodeConfiguration encodes a configuration as the data of an entry.
func EncodeConfiguration(c Configuration) []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic("replication: cannot encode a configuration: " + err.Error())
	}
	return data
}

// DecodeConfiguration decodes the data of a configuration entry.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	if err := decoder.Unmarshal(data, &c); err != nil {
		return Configuration{}, failure.New(failure.InvalidArgument, "run the same release on all members", "malformed configuration entry: %v", err)
	}
	return c, nil
}
