package daemon

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap/zapcore"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/agent"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/control"
	"pollenpaddle/internal/process/entry"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/process/settings"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/tracker"
	"pollenpaddle/internal/version/replication"
)

// Options holds the dependencies of a process that its settings do not describe.
type Options struct {
	Worker agent.Worker // runs restartable jobs of the agent role; nil if there is none
}

// Assemble builds a process from its settings.
func Assemble(s *settings.Settings, options Options) (*Daemon, error) {
	level, err := zapcore.ParseLevel(s.Process.LogLevel)
	if err != nil {
		return nil, err
	}
	logger, dropped := logging.New(level)
	key, err := readKey(s.Process.KeyFile)
	if err != nil {
		return nil, err
	}
	tokens, err := auth.Load(s.Process.TokenFile)
	if err != nil {
		return nil, err
	}
	loopbackOnly := (tokens.TrustsAll() || len(key) == 0) && !s.Process.TrustedNetwork
	if loopbackOnly {
		if err := auth.RequireLoopback(s.Process.Listen); err != nil {
			return nil, err
		}
	}
	d := &Daemon{
		ID: s.Process.ID, Listen: s.Process.Listen, Logger: logger,
		Registry: prometheus.NewRegistry(), Roles: map[string]Role{}, Tokens: tokens, LoopbackOnly: loopbackOnly,
	}
	d.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.Registry.MustRegister(sessionBytes("received"), sessionBytes("sent"))
	d.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "pollenpaddle_log_lines_dropped_total", Help: "Log lines dropped because standard output was not read.",
	}, func() float64 { return float64(dropped()) }))
	if d.Limits, err = deriveLimits(s, descriptorLimit(), reportedMemory()); err != nil {
		return nil, err
	}
	if d.Guard, err = httpapi.NewGuard(d.Limits.Bytes, logger, d.Registry); err != nil {
		return nil, err
	}
	if err := d.addRoles(s, options, key, tokens, newIncarnation()); err != nil {
		return nil, err
	}
	return d, nil
}

// sessionBytes returns the counter of bytes received or sent by all sessions of the process.
func sessionBytes(direction string) prometheus.CounterFunc {
	options := prometheus.CounterOpts{
		Name: "pollenpaddle_session_bytes_total", Help: "Bytes of frames on sessions with other processes.",
		ConstLabels: prometheus.Labels{"direction": direction},
	}
	return prometheus.NewCounterFunc(options, func() float64 {
		received, sent := session.TotalBytes()
		if direction == "sent" {
			return float64(sent)
		}
		return float64(received)
	})
}

// addRoles adds the roles in the order in which they drain: an entry finishes its jobs while the
// agent and the control member in the same process still serve.
func (d *Daemon) addRoles(s *settings.Settings, options Options, key []byte, tokens *auth.Tokens, incarnation uint64) error {
	identity := session.Identity{
		ID: s.Process.ID, Incarnation: incarnation,
		AvailabilityZone: s.Process.AvailabilityZone, Address: s.Process.Advertise,
	}
	if s.HasRole(wire.RoleEntry) {
		identity.Role = wire.RoleEntry
		d.add(wire.RoleEntry, entry.New(entry.Config{
			Identity: identity, Key: key, Seeds: s.Process.ControlMembers, Policy: s.Entry.Policy, OverloadOrder: s.Entry.OverloadOrder,
			Limits:          job.Limits{Tasks: s.Entry.MaxTasks, BodyBytes: s.Entry.MaxBodyBytes},
			ResultRetention: s.Entry.ResultRetention, ClaimRetention: s.Entry.ClaimRetention,
			MaxResultBytes: min(d.Limits.Shares.State, tracker.DefaultMaxFinishedBytes),
			Tokens:         tokens, Logger: d.Logger, Registerer: d.Registry, ClaimMinimumFolder: claimMinimumFolder(s),
		}))
	}
	if s.HasRole(wire.RoleAgent) {
		identity.Role = wire.RoleAgent
		d.add(wire.RoleAgent, agent.New(agent.Config{
			Identity: identity, Key: key, Seeds: s.Process.ControlMembers, Upstream: s.Agent.Upstream, EntrySessions: s.Agent.EntrySessions,
			StaticAnnouncement: wire.Announce{
				Upstream: s.Agent.UpstreamName, Rack: s.Agent.Rack, Slots: s.Agent.Slots, Connections: s.Agent.Connections,
				Capacity: job.Resources{
					MilliProcessors: s.Agent.MilliProcessors, MemoryBytes: s.Agent.MemoryBytes, Accelerators: s.Agent.Accelerators,
				},
			},
			Logger: d.Logger, Registry: d.Registry, Authorize: d.requireOperator,
			// The fencing token usually exceeds those of earlier processes; the runner raises it
			// if the wall clock was set back.
			Worker: options.Worker, Token: uint64(clock.WallMillis())<<runner.TokenTagBits + incarnation%(1<<runner.TokenTagBits),
		}))
	}
	if s.HasRole(wire.RoleControl) {
		identity.Role = wire.RoleControl
		return d.addControl(s, identity, key)
	}
	return nil
}

// requireOperator returns an error unless the Authorization header authenticates an operator.
func (d *Daemon) requireOperator(authorization string) error {
	principal, err := d.Tokens.Authenticate(authorization)
	if err != nil {
		return err
	}
	return principal.RequireOperator()
}

func (d *Daemon) addControl(s *settings.Settings, identity session.Identity, key []byte) error {
	identity.ID = s.Process.ControlMemberName()
	if s.Process.AutomaticMembership() {
		identity.ID = s.Process.Advertise
	}
	config := control.Config{
		Identity: identity, Key: key, Folder: s.Process.DataFolder, EntryTimeout: s.Control.EntryTimeout,
		SnapshotEvery: s.Control.SnapshotEvery, Logger: d.Logger, Registry: d.Registry,
	}
	for _, known := range s.Process.ControlPeers {
		config.Peers = append(config.Peers, replication.Member{Name: known.Name, Address: known.Address})
	}
	if s.Process.AutomaticMembership() {
		config.AutomaticMembership, config.Size = true, 2*s.Control.ToleratedLosses+1
		config.Peers = seedMembers(s)
		config.Bootstrap = s.Process.Bootstrap
	}
	member, err := control.New(config)
	if err != nil {
		return err
	}
	d.add(wire.RoleControl, member)
	return nil
}

// seedMembers returns the seeds as members. With automatic membership, the name of a member is its
// address.
func seedMembers(s *settings.Settings) []replication.Member {
	var members []replication.Member
	for _, address := range s.Process.ControlSeeds {
		members = append(members, replication.Member{Name: address, Address: address})
	}
	return members
}

// Reload applies the settings that may change while the process runs: the seeds of the control
// members. Other changes take effect at the next start.
func (d *Daemon) Reload(s *settings.Settings) {
	if !s.Process.AutomaticMembership() {
		return
	}
	for _, role := range d.Roles {
		switch r := role.(type) {
		case *entry.Entry:
			r.SetSeeds(s.Process.ControlSeeds)
		case *agent.Agent:
			r.SetSeeds(s.Process.ControlSeeds)
		case *control.Server:
			r.SetPeers(seedMembers(s))
		}
	}
}

// claimMinimumFolder returns the data folder if this process is the only control member, and "" if
// not.
func claimMinimumFolder(s *settings.Settings) string {
	members := s.Process.ControlMembers
	if !s.HasRole(wire.RoleControl) || len(members) != 1 || members[0] != s.Process.Advertise {
		return ""
	}
	return s.Process.DataFolder
}

func (d *Daemon) add(name wire.Role, role Role) {
	d.Roles[string(name)] = role
	d.DrainOrder = append(d.DrainOrder, string(name))
}

// readKey returns the shared key. Without a key file, processes authenticate with an empty key and
// listen on loopback only, unless the network is trusted.
func readKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.InvalidArgument, "set key_file to a readable file", "cannot read the key file: %v", err)
	}
	return bytes.TrimSpace(key), nil
}

// newIncarnation returns a random number that distinguishes this incarnation of the process
// from earlier ones.
func newIncarnation() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return binary.BigEndian.Uint64(random[:])
}
