package dispatch

import (
	"time"

	"pollenpaddle/internal/request/placement"
)

// Names of the placement policies for Config.Policy.
const (
	PolicyRandom        = "random"
	PolicyTwoChoices    = "two_choices"
	PolicyBatchSampling = "batch_sampling"
	PolicyCredits       = "credits"
	PolicyMix           = "mix"

	// DefaultPolicy is PolicyCredits: it meets the targets of both measured profiles at 80% and 95%
	// load. PolicyMix misses those of short classes (docs/notes/0008-policies-on-real-daemons.md).
	DefaultPolicy = PolicyCredits
)

// Config holds the settings of a machine. An unknown policy, and a grace or limit that is not
// positive, are replaced by their defaults.
type Config struct {
	Entry             string        // id of this entry in the configuration
	Policy            string        // a Policy constant; DefaultPolicy if empty
	Seed              uint64        // seed of the machine's random source
	AvailabilityZone  string        // zone of the entry; agents in it have a shorter round trip
	ReconnectGrace    time.Duration // time in which a disconnected agent may resume its open starts
	QueueLimit        int           // queued tasks of the whole entry
	OrganisationLimit int           // queued tasks of one organisation
	ClassLimit        int           // queued tasks of one class
}

// Default values of Config.
const (
	DefaultReconnectGrace    = 5 * time.Second
	DefaultQueueLimit        = 50_000
	DefaultOrganisationLimit = 20_000
	DefaultClassLimit        = 30_000
)

func (c Config) withDefaults() Config {
	if !KnownPolicy(c.Policy) {
		c.Policy = DefaultPolicy
	}
	if c.ReconnectGrace <= 0 {
		c.ReconnectGrace = DefaultReconnectGrace
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.OrganisationLimit <= 0 {
		c.OrganisationLimit = DefaultOrganisationLimit
	}
	if c.ClassLimit <= 0 {
		c.ClassLimit = DefaultClassLimit
	}
	return c
}

// KnownPolicy reports whether name is valid for Config.Policy.
func KnownPolicy(name string) bool { return placement.New(name, 0) != nil }
