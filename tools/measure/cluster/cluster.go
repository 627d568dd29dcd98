package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/testutil/loopback"
	"pollenpaddle/tools/measure/profile"
)

// Cluster holds the daemons of one installation.
type Cluster struct {
	Control []*Process
	Entries []*Process
	Agents  []*Process
}

// Options describe the installation to start.
type Options struct {
	Binary    string // the daemon
	Folder    string // for settings, logs and data; emptied by Start
	Profile   *profile.Profile
	Policy    string   // placement policy; empty for the default
	Upstreams []string // addresses of the upstream instances
	// Link returns the address through which other processes reach the entry at the given address. If
	// it is nil, they connect to the entry directly.
	Link func(entry string) (string, error)
}

// stopTimeout is the longest time that one daemon takes to shut down.
const stopTimeout = 90 * time.Second

// Start starts control members, entries and agents, waits until all are ready and configures the
// classes and organisations of the profile.
func Start(options Options) (*Cluster, error) {
	if err := os.RemoveAll(options.Folder); err != nil {
		return nil, errors.Wrap(err, "empty the folder")
	}
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the folder")
	}
	b := &builder{options: options, cluster: &Cluster{}}
	err := b.start()
	if err == nil {
		err = b.cluster.configure(options.Profile)
	}
	if err != nil {
		b.cluster.Kill()
		return nil, err
	}
	return b.cluster, nil
}

// builder starts the processes of a cluster.
type builder struct {
	options Options
	cluster *Cluster
	members []string // addresses of the control members
}

func (b *builder) start() error {
	p := b.options.Profile
	for range p.ControlMembers {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		b.members = append(b.members, address)
	}
	for i, address := range b.members {
		if err := b.startProcess(&b.cluster.Control, "control", i, address, address, ""); err != nil {
			return err
		}
	}
	for i := range p.Entries {
		if err := b.startEntry(i); err != nil {
			return err
		}
	}
	for i, upstream := range b.options.Upstreams {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		section := fmt.Sprintf("\n[agent]\nupstream = %s\nupstream_name = %s\nrack = rack-%d\nslots = %d\nconnections = %d\nmilli_processors = 32000\nmemory_bytes = 137438953472\n",
			upstream, p.Upstream, i/3, p.Slots, p.Connections)
		if err := b.startProcess(&b.cluster.Agents, "agent", i, address, address, section); err != nil {
			return err
		}
	}
	return b.waitReady()
}

func (b *builder) startEntry(i int) error {
	address, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	advertise := address
	if b.options.Link != nil {
		if advertise, err = b.options.Link(address); err != nil {
			return err
		}
	}
	section := ""
	if b.options.Policy != "" {
		section = "\n[entry]\npolicy = " + b.options.Policy + "\n"
	}
	return b.startProcess(&b.cluster.Entries, "entry", i, address, advertise, section)
}

// startProcess starts one daemon with the settings that all roles share and the given section.
func (b *builder) startProcess(processes *[]*Process, role string, index int, listen, advertise, section string) error {
	id := fmt.Sprintf("%s-%d", role, index+1)
	settings := fmt.Sprintf("[process]\nid = %s\nroles = %s\nlisten = %s\nadvertise = %s\navailability_zone = %s\ndata_folder = %s\ncontrol_members = %s\nlog_level = warn\n%s",
		id, role, listen, advertise, b.options.Profile.Zone(index), filepath.Join(b.options.Folder, id), strings.Join(b.members, ", "), section)
	p, err := start(b.options.Binary, b.options.Folder, id, role, listen, settings)
	if err == nil {
		*processes = append(*processes, p)
	}
	return err
}

func (b *builder) waitReady() error {
	var group errgroup.Group
	for _, p := range b.cluster.All() {
		group.Go(p.waitReady)
	}
	return group.Wait()
}

// All returns the processes of all roles.
func (c *Cluster) All() []*Process {
	all := append([]*Process(nil), c.Control...)
	return append(append(all, c.Entries...), c.Agents...)
}

// EntryAddresses returns the addresses that callers use.
func (c *Cluster) EntryAddresses() []string {
	addresses := make([]string, len(c.Entries))
	for i, p := range c.Entries {
		addresses[i] = p.Address
	}
	return addresses
}

// Stop shuts the daemons down, first the entries, then the agents, then the control members. It
// returns the error of the first one that did not exit cleanly, and kills the others in that case.
func (c *Cluster) Stop() error {
	var firstErr error
	for _, processes := range [][]*Process{c.Entries, c.Agents, c.Control} {
		for _, p := range processes {
			_ = p.Signal(syscall.SIGTERM) // it may have been killed by the experiment
		}
		for _, p := range processes {
			code, err := p.Wait(stopTimeout)
			if err == nil && code > 0 {
				err = errors.Newf("%s exited with code %d; see its log", p.ID, code)
			}
			if err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
	if firstErr != nil {
		c.Kill()
	}
	return firstErr
}

// Kill kills all daemons.
func (c *Cluster) Kill() {
	var group sync.WaitGroup
	for _, p := range c.All() {
		group.Go(p.Kill)
	}
	group.Wait()
}
