// Package settings reads and validates the INI file of a daemon.
package settings

import (
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"pollenpaddle/internal/connection/subset"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/scheduler"
)

// maxBodyBytes is the upper limit of max_body_bytes. A session frame holds 16 MiB, enough for a task
// whose base64 body arrived in a request of 8 MiB, its headers and the rest of the message.
const maxBodyBytes = 8 << 20

// Settings holds the validated settings of one daemon.
type Settings struct {
	Process Process
	Entry   Entry
	Agent   Agent
	Control Control
	Adapter Adapter
}

// Process is the section [process].
type Process struct {
	ID               string      // stable name, unique in the installation
	Roles            []wire.Role // roles that this process runs
	Listen           string      // host:port for callers, operators and other processes
	Advertise        string      // host:port at which other processes reach it; default: listen
	AvailabilityZone string
	DataFolder       string
	KeyFile          string          // file with the shared key of the installation
	TokenFile        string          // file with the tokens of operators and organisations
	ControlMembers   []string        // addresses of the control members; the seeds if control_seeds is set
	ControlPeers     []ControlMember // the same members with their names; empty if control_seeds is set
	ControlSeeds     []string        // addresses at which to look for the group; its members then change without operator commands
	// Bootstrap is true if this process may take part in forming a new group from the seeds. It is set
	// to false once the installation exists: a process that loses its data folder must then join the
	// existing group.
	Bootstrap      bool
	TrustedNetwork bool // the network gives access only to processes and callers of the installation
	LogLevel       string
	Limits         Limits
}

// Limits are the limits on HTTP clients, in the section [process]. For a zero the daemon derives the value.
type Limits struct {
	MemoryBytes           int64         // memory that the process may use
	RequestBytes          int           // bodies of requests and large responses that are held at the same time
	Connections           int           // connections of callers
	ConnectionsPerAddress int           // connections of one client address at one listener; 0: no limit of its own
	HeaderTimeout         time.Duration // for the headers of a request
}

// ControlMember is one control member in the key control_members, written NAME@HOST:PORT. The name is
// the id of the process. Without NAME@ the address is the name, so that a member that moves to another
// address gets a new name and cannot replace the member with the old name.
type ControlMember struct {
	Name    string
	Address string
}

// ControlMemberName returns the name of this process among the control members, or "" if it is not
// one.
func (p *Process) ControlMemberName() string {
	for _, member := range p.ControlPeers {
		if member.Name == p.ID || member.Name == p.Advertise {
			return member.Name
		}
	}
	return ""
}

// Entry is the section [entry].
type Entry struct {
	Policy          string // placement policy
	OverloadOrder   string // order of waiting restartable jobs
	ResultRetention time.Duration
	ClaimRetention  time.Duration
	MaxTasks        int
	MaxBodyBytes    int
}

// Agent is the section [agent].
type Agent struct {
	Upstream        string // host:port of the upstream of this agent; empty if the upstream announces itself
	UpstreamName    string
	Rack            string
	Slots           int
	Connections     int
	MilliProcessors int64
	MemoryBytes     int64
	Accelerators    int64
	EntrySessions   int // entries with which the agent keeps sessions
}

// Control is the section [control].
type Control struct {
	ToleratedLosses int           // members that may fail at once; a group with control_seeds grows to 2*ToleratedLosses+1 members
	EntryTimeout    time.Duration // time without a session after which an entry is removed from the list of entries
	SnapshotEvery   uint64        // log entries between two snapshots
}

// Adapter is the section [adapter]: the addresses (host:port) at which a protocol other than that of
// docs/api.md is served. An empty address disables the endpoint.
type Adapter struct {
	Callers   string // jobs of callers, at an entry
	Readiness string // readiness of an entry
	Operators string // configuration, at a control member
	Workers   string // announcements of the worker of an agent
	// CallersIdleTimeout is how long a connection of a caller is kept open between two requests.
	CallersIdleTimeout time.Duration
}

// Enabled reports whether any address is set.
func (a *Adapter) Enabled() bool {
	return a.Callers != "" || a.Readiness != "" || a.Operators != "" || a.Workers != ""
}

// AutomaticMembership reports whether the members of the group change without operator commands.
func (p *Process) AutomaticMembership() bool { return len(p.ControlSeeds) > 0 }

// HasRole reports whether the process runs a role.
func (s *Settings) HasRole(role wire.Role) bool {
	for _, r := range s.Process.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Load reads and validates the file. Its error lists every problem with file, section, key, value
// and remedy.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, path)
	if err != nil {
		return nil, failure.New(failure.InvalidArgument, "check the path and the INI syntax", "cannot read settings file %s: %v", path, err)
	}
	r := &reader{path: path, file: file, known: map[string]map[string]bool{}}
	s := r.settings()
	r.rejectUnknown()
	if len(r.problems) > 0 {
		return nil, failure.New(failure.InvalidArgument, "correct the settings file; docs/settings.md lists every key", "%s", strings.Join(r.problems, "\n"))
	}
	return s, nil
}

// Keys returns every known key as "section.key", sorted.
func Keys() []string {
	r := &reader{file: ini.Empty(), known: map[string]map[string]bool{}}
	r.settings()
	var keys []string
	for section, names := range r.known {
		for name := range names {
			keys = append(keys, section+"."+name)
		}
	}
	sort.Strings(keys)
	return keys
}

// reader reads values of the file, and records which keys are known and the problems found.
type reader struct {
	path     string
	file     *ini.File
	known    map[string]map[string]bool
	problems []string
}

func (r *reader) settings() *Settings {
	s := &Settings{}
	p := &s.Process
	p.ID = r.text("process", "id", "", true)
	for _, name := range r.list("process", "roles", "entry, agent, control") {
		role := wire.Role(name)
		if role != wire.RoleEntry && role != wire.RoleAgent && role != wire.RoleControl {
			r.problem("process", "roles", name, "use entry, agent or control")
		}
		p.Roles = append(p.Roles, role)
	}
	p.Listen = r.address("process", "listen", "127.0.0.1:7400")
	p.Advertise = r.address("process", "advertise", p.Listen)
	p.AvailabilityZone = r.text("process", "availability_zone", "", true)
	p.DataFolder = r.text("process", "data_folder", "", false)
	p.KeyFile = r.text("process", "key_file", "", false)
	p.TokenFile = r.text("process", "token_file", "", false)
	r.seeds(p)
	if !p.AutomaticMembership() {
		r.members(p)
	}
	p.Bootstrap = r.choice("process", "bootstrap", "true", "true", "false") == "true"
	p.TrustedNetwork = r.choice("process", "network", "authenticated", "authenticated", "trusted") == "trusted"
	p.LogLevel = r.choice("process", "log_level", "info", "debug", "info", "warn", "error")
	r.limits(&p.Limits)
	r.entry(&s.Entry)
	r.agent(&s.Agent)
	s.Control.EntryTimeout = r.duration("control", "entry_timeout", 10*time.Second, 5*time.Second, time.Hour)
	s.Control.SnapshotEvery = uint64(r.integer("control", "snapshot_every", 1000, 10, 1_000_000))
	s.Control.ToleratedLosses = int(r.integer("control", "tolerated_losses", 1, 0, 4))
	s.Adapter.Callers = r.address("adapter", "callers", "")
	s.Adapter.Readiness = r.address("adapter", "readiness", "")
	s.Adapter.Operators = r.address("adapter", "operators", "")
	s.Adapter.Workers = r.address("adapter", "workers", "")
	s.Adapter.CallersIdleTimeout = r.duration("adapter", "callers_idle_timeout", 10*time.Minute, time.Second, 24*time.Hour)
	if s.HasRole(wire.RoleControl) && p.DataFolder == "" {
		r.problem("process", "data_folder", "", "set a folder on a local disk; the control role keeps its log there")
	}
	return s
}

// limits reads the limits on HTTP clients. The lower bounds of the sizes are the least with which a process serves; 0 is the
// default of a derived value.
func (r *reader) limits(l *Limits) {
	l.MemoryBytes = r.derivable("memory_limit", 64<<20, 1<<50)
	l.RequestBytes = int(r.derivable("request_bytes", 1<<20, 1<<40))
	l.Connections = int(r.derivable("max_connections", 16, 1<<20))
	l.ConnectionsPerAddress = int(r.integer("process", "max_connections_per_address", 0, 0, 1<<20))
	l.HeaderTimeout = r.duration("process", "header_timeout", 10*time.Second, time.Second, time.Hour)
}

// derivable reads an integer of the section [process] that is 0 by default and otherwise has a range.
func (r *reader) derivable(key string, low, high int64) int64 {
	n := r.integer("process", key, 0, 0, high)
	if n != 0 && n < low {
		r.problem("process", key, strconv.FormatInt(n, 10), fmt.Sprintf("use 0 or a whole number from %d to %d", low, high))
	}
	return n
}

// seeds reads control_seeds. If control_port is set, it replaces the ports in the list, which may be
// those of another service on the same hosts.
func (r *reader) seeds(p *Process) {
	port := r.integer("process", "control_port", 0, 0, 65535)
	for _, item := range r.list("process", "control_seeds", "") {
		host, _, err := net.SplitHostPort(item)
		if err != nil || host == "" {
			r.problem("process", "control_seeds", item, "use HOST:PORT, separated by commas")
			continue
		}
		if port > 0 {
			item = net.JoinHostPort(host, strconv.FormatInt(port, 10))
		}
		if !slices.Contains(p.ControlSeeds, item) {
			p.ControlSeeds = append(p.ControlSeeds, item)
		}
	}
	if p.AutomaticMembership() {
		if r.raw("process", "control_members", "") != "" {
			r.problem("process", "control_members", r.raw("process", "control_members", ""), "set either control_members or control_seeds")
		}
		p.ControlMembers = p.ControlSeeds
	}
}

// members reads control_members. The default is this process alone.
func (r *reader) members(p *Process) {
	for _, item := range r.list("process", "control_members", p.ID+"@"+p.Advertise) {
		name, address, named := strings.Cut(item, "@")
		if !named {
			name, address = item, item
		}
		if _, _, err := net.SplitHostPort(address); err != nil || name == "" {
			r.problem("process", "control_members", item, "use NAME@HOST:PORT or HOST:PORT, separated by commas")
		}
		for _, known := range p.ControlPeers {
			if known.Name == name || known.Address == address {
				r.problem("process", "control_members", item, "list each member once")
			}
		}
		p.ControlMembers = append(p.ControlMembers, address)
		p.ControlPeers = append(p.ControlPeers, ControlMember{Name: name, Address: address})
	}
	isControl := (&Settings{Process: *p}).HasRole(wire.RoleControl)
	if isControl && p.ControlMemberName() == "" {
		r.problem("process", "control_members", strings.Join(p.ControlMembers, ", "), "list this process too, by its id or its advertise address")
	}
	if len(p.ControlPeers) == 0 {
		r.problem("process", "control_members", "", "list at least one member")
	}
}

func (r *reader) entry(e *Entry) {
	e.Policy = r.choice("entry", "policy", dispatch.DefaultPolicy, dispatch.PolicyRandom, dispatch.PolicyTwoChoices,
		dispatch.PolicyBatchSampling, dispatch.PolicyCredits, dispatch.PolicyMix)
	e.OverloadOrder = r.choice("entry", "overload_order", scheduler.OrderPriority, scheduler.OrderPriority, scheduler.OrderCost)
	e.ResultRetention = r.duration("entry", "result_retention", 10*time.Minute, time.Second, 24*time.Hour)
	e.ClaimRetention = r.duration("entry", "claim_retention", 10*time.Minute, time.Minute, 24*time.Hour)
	e.MaxTasks = int(r.integer("entry", "max_tasks", 110, 1, 110))
	e.MaxBodyBytes = int(r.integer("entry", "max_body_bytes", maxBodyBytes, 1<<10, maxBodyBytes))
}

func (r *reader) agent(a *Agent) {
	a.Upstream = r.address("agent", "upstream", "")
	a.UpstreamName = r.text("agent", "upstream_name", "", false)
	a.Rack = r.text("agent", "rack", "", false)
	a.Slots = int(r.integer("agent", "slots", 8, 1, 4096))
	a.Connections = int(r.integer("agent", "connections", 64, 1, 4096))
	a.MilliProcessors = r.integer("agent", "milli_processors", 0, 0, 1<<30)
	a.MemoryBytes = r.integer("agent", "memory_bytes", 0, 0, 1<<50)
	a.Accelerators = r.integer("agent", "accelerators", 0, 0, 1<<16)
	a.EntrySessions = int(r.integer("agent", "entry_sessions", subset.DefaultSize, 2, 1024))
}

func (r *reader) raw(section, key, fallback string) string {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	if s, err := r.file.GetSection(section); err == nil && s.HasKey(key) {
		return s.Key(key).String()
	}
	return fallback
}

func (r *reader) problem(section, key, value, remedy string) {
	r.problems = append(r.problems, fmt.Sprintf("%s: section [%s], key %s, value %q: %s", r.path, section, key, value, remedy))
}

func (r *reader) text(section, key, fallback string, required bool) string {
	value := r.raw(section, key, fallback)
	if required && value == "" {
		r.problem(section, key, value, "set a value; the key is required")
	}
	return value
}

func (r *reader) list(section, key, fallback string) []string {
	var items []string
	for _, item := range strings.Split(r.raw(section, key, fallback), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (r *reader) address(section, key, fallback string) string {
	value := r.raw(section, key, fallback)
	if value == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.problem(section, key, value, "use host:port, for example 127.0.0.1:7400")
	}
	return value
}

func (r *reader) choice(section, key, fallback string, allowed ...string) string {
	value := r.raw(section, key, fallback)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	r.problem(section, key, value, "use one of "+strings.Join(allowed, ", "))
	return fallback
}

func (r *reader) integer(section, key string, fallback, low, high int64) int64 {
	value := r.raw(section, key, fmt.Sprint(fallback))
	var n int64
	if _, err := fmt.Sscanf(value+"\n", "%d\n", &n); err != nil || n < low || n > high {
		r.problem(section, key, value, fmt.Sprintf("use a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

func (r *reader) duration(section, key string, fallback, low, high time.Duration) time.Duration {
	value := r.raw(section, key, fallback.String())
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.problem(section, key, value, fmt.Sprintf("use a duration from %s to %s, for example %s", low, high, fallback))
		return fallback
	}
	return d
}

func (r *reader) rejectUnknown() {
	for _, section := range r.file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		keys := r.known[section.Name()]
		if keys == nil {
			r.problems = append(r.problems, fmt.Sprintf("%s: section [%s] is unknown: use %s", r.path, section.Name(), r.sections()))
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				r.problem(section.Name(), key.Name(), key.Value(), "remove the key; it is unknown")
			}
		}
	}
}

func (r *reader) sections() string {
	names := make([]string, 0, len(r.known))
	for name := range r.known {
		names = append(names, "["+name+"]")
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
