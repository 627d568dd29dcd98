package main

import (
	"fmt"
	"strconv"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/version/catalog"
)

const (
	slotsPerAgent = 8
	// minCreditAgents is the smallest number of agents with which policy mix keeps credits.
	minCreditAgents = 64
	// maxEventsPerStart bounds the events that one start may cause, so that a run ends even if the
	// machine sends messages without end.
	maxEventsPerStart = 64
	hour              = time.Hour
)

// entryDriver drives the state machine of one entry (package dispatch) in place of its clients and
// agents.
type entryDriver struct {
	machine *dispatch.Machine
	now     time.Duration
	agents  int
	offer   uint64          // number of the last offer
	job     int             // number of the last job
	pending []dispatch.Send // not processed yet
	started int             // tasks in the present call of run
}

func newEntryDriver(agents int) *entryDriver {
	d := &entryDriver{machine: dispatch.New(dispatch.Config{Policy: dispatch.PolicyMix, Seed: 1, Entry: "e0", AvailabilityZone: "z0"}), agents: agents}
	d.step(dispatch.Configured{State: &catalog.State{
		Classes: []catalog.Class{{Name: "short", Upstream: "u", AnswerWithin: 2 * time.Second, Share: 0.99}},
		Entries: []catalog.Entry{{ID: "e0"}},
	}})
	d.step(dispatch.LeaseChanged{Deadline: hour})
	for i := range agents {
		id := dispatch.AgentID{ID: "agent-" + strconv.Itoa(i), Incarnation: 1}
		d.step(dispatch.AgentConnected{Agent: id, AvailabilityZone: "z" + strconv.Itoa(i%8)})
		d.receive(id, &wire.Announce{
			Upstream: "u", Rack: "rack-" + strconv.Itoa(i/3), Slots: slotsPerAgent, Connections: 64,
			TTL: hour, Capacity: job.Resources{MilliProcessors: 64_000},
		})
		d.receive(id, &wire.Load{Free: slotsPerAgent})
		if agents >= minCreditAgents {
			d.sendOffers(id, slotsPerAgent)
		}
	}
	d.pending = d.pending[:0]
	return d
}

// step applies an event and collects the messages, because actions are valid only until the next
// step.
func (d *entryDriver) step(event dispatch.Event) {
	for _, action := range d.machine.Step(d.now, event) {
		if send, ok := action.(dispatch.Send); ok {
			d.pending = append(d.pending, send)
		}
	}
}

func (d *entryDriver) receive(id dispatch.AgentID, message wire.Message) {
	d.step(dispatch.AgentMessage{Agent: id, Message: message})
}

func (d *entryDriver) sendOffers(id dispatch.AgentID, count int) {
	offer := &wire.Offer{}
	for range count {
		d.offer++
		offer.IDs = append(offer.IDs, d.offer)
	}
	d.receive(id, offer)
}

// run submits jobs until count tasks have started and finished. A start that used an offer is
// followed by a new offer for its slot, as an agent sends it.
func (d *entryDriver) run(count, tasksPerJob int) error {
	d.started = 0
	submitted, events := 0, 0
	for d.started < count {
		if submitted <= d.started {
			d.job++
			d.now += 10 * time.Microsecond * time.Duration(tasksPerJob)
			submitted += tasksPerJob
			d.step(dispatch.Submitted{Submission: &job.Submission{
				Key: job.Key{Organisation: "o", ID: strconv.Itoa(d.job)}, Class: "short", Tasks: make([]job.Task, tasksPerJob),
			}})
		} else {
			d.now += 10 * time.Microsecond
			d.step(dispatch.Tick{})
		}
		for i := 0; i < len(d.pending); i++ {
			if events++; events > (count+tasksPerJob)*maxEventsPerStart {
				return fmt.Errorf("only %d of %d tasks started after %d events", d.started, count, events)
			}
			d.respond(d.pending[i])
		}
		d.pending = d.pending[:0]
		if events++; events > (count+tasksPerJob)*maxEventsPerStart {
			return fmt.Errorf("only %d of %d tasks started after %d events", d.started, count, events)
		}
	}
	return nil
}

// respond processes a message as its agent would.
func (d *entryDriver) respond(send dispatch.Send) {
	switch m := send.Message.(type) {
	case *wire.Start:
		d.started++
		d.receive(send.Agent, &wire.Finished{ID: m.ID, Result: job.Result{State: job.Done, Status: 200, RunTime: 100 * time.Millisecond}})
		if m.Offer != 0 {
			d.sendOffers(send.Agent, 1)
		}
	case *wire.Demand:
		if m.Queued > 0 {
			d.sendOffers(send.Agent, min(m.Queued, slotsPerAgent))
		}
	}
}

func measureEntry(s *suite) error {
	err := s.measureHeap("entry heap per agent", "bytes/agent", "dispatch.Machine, agents connected and announced", []int{100, 200, 400, 800, 1600, 3200, 6400},
		func(size int) (any, error) { return newEntryDriver(size), nil })
	if err != nil {
		return err
	}
	for _, tasks := range []int{1, 110} {
		for _, agents := range []int{10, 400, 6400} {
			d := newEntryDriver(agents)
			name := fmt.Sprintf("entry start, %d agents, jobs of %d", agents, tasks)
			err := s.measureTime(name, "µs/start", "submit, start, finish; policy mix", 2200, func(count int) error { return d.run(count, tasks) })
			if err != nil {
				return err
			}
		}
	}
	return measureUsage(s)
}

// measureUsage measures the cost of a usage report from a peer while 710 organisations have work at
// this entry. Each entry gets one report per second from every other entry.
func measureUsage(s *suite) error {
	const organisations, reports = 710, 40
	var points []point
	for _, entries := range []int{4, 8, 16, 32, 64} {
		d := newEntryDriver(10)
		state := &catalog.State{Revision: 2, Classes: []catalog.Class{{Name: "short", Upstream: "u", AnswerWithin: 2 * time.Second, Share: 0.99}}}
		for i := range entries {
			state.Entries = append(state.Entries, catalog.Entry{ID: fmt.Sprintf("e%d", 100+i)})
		}
		report := &wire.UsageReport{}
		for i := range organisations {
			name := fmt.Sprintf("organisation-%05d", i)
			state.Organisations = append(state.Organisations, catalog.Organisation{Name: name, Slots: 1000})
			report.Organisations = append(report.Organisations, wire.OrganisationUsage{Name: name, Running: 3, Queued: 1})
		}
		d.step(dispatch.Configured{State: state})
		for _, o := range state.Organisations {
			d.step(dispatch.Submitted{Submission: &job.Submission{Key: job.Key{Organisation: o.Name, ID: "j"}, Class: "short", Tasks: make([]job.Task, 1)}})
		}
		for i := range entries { // the first report of each peer is not part of the measurement
			d.step(dispatch.PeerUsage{Entry: state.Entries[i].ID, Report: report})
		}
		before := processorTime()
		for i := range reports {
			d.step(dispatch.PeerUsage{Entry: state.Entries[i%entries].ID, Report: report})
		}
		points = append(points, point{float64(entries), float64((processorTime() - before).Nanoseconds()) / 1e3 / reports})
	}
	return s.addSlope("entry usage report, 710 organisations", "µs/report per entry", "cost of one PeerUsage against the number of entries", points)
}
