package main

import (
	"errors"
	"fmt"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// agentDriver drives the state machine of one agent (package startgate) in place of its entries and its
// upstream.
type agentDriver struct {
	machine *startgate.Machine
	now     time.Duration
	entries []startgate.EntryID
	next    int      // starts so far
	credits []credit // not used yet
}

// credit is an offer of an idle slot that its entry did not request.
type credit struct {
	entry startgate.EntryID
	id    uint64
}

func newAgentDriver(entries int) *agentDriver {
	d := &agentDriver{machine: startgate.New(startgate.Config{Incarnation: 1}), now: hour}
	d.machine.Step(d.now, startgate.LeaseChanged{Deadline: 1 << 62})
	d.announce()
	for i := range entries {
		d.entries = append(d.entries, startgate.EntryID{ID: fmt.Sprint("entry-", i)})
		d.decline(d.machine.Step(d.now, startgate.Connected{Entry: d.entries[i]}))
	}
	return d
}

func (d *agentDriver) announce() {
	d.machine.Step(d.now, startgate.Announced{Announce: wire.Announce{Slots: slotsPerAgent, Connections: 64}, Deadline: 1 << 62})
}

// decline declines all credits among the actions on behalf of the entries. An entry that has declined
// a credit gets no more of them, so only a machine that repeats its credits without end reaches the
// limit of the loop.
func (d *agentDriver) decline(actions []startgate.Action) {
	held := creditsIn(actions)
	for i := 0; i < len(held) && i < 8*(len(d.entries)+slotsPerAgent); i++ {
		actions := d.machine.Step(d.now, startgate.Received{Entry: held[i].entry, Message: &wire.Decline{IDs: []uint64{held[i].id}}})
		held = append(held, creditsIn(actions)...)
	}
}

// creditsIn returns the credits that the actions send.
func creditsIn(actions []startgate.Action) (credits []credit) {
	for _, action := range actions {
		if send, ok := action.(startgate.Send); ok {
			if offer, ok := send.Message.(*wire.Offer); ok {
				for _, id := range offer.IDs {
					credits = append(credits, credit{send.Entry, id})
				}
			}
		}
	}
	return credits
}

// runDirectStarts starts tasks without an offer.
func (d *agentDriver) runDirectStarts(count int) error {
	before := d.machine.Stats().Calls
	for range count {
		d.next++
		d.now += 5 * time.Millisecond // 200 starts/s: 8 slots with tasks of 40 ms
		if d.next%100 == 0 {
			d.announce()
		}
		id := wire.StartID{Job: job.Key{Organisation: "swan-river", ID: "0196f0c2-7a51-7c1e"}, Task: uint16(d.next), Attempt: uint16(d.next >> 16)}
		from := d.entries[d.next%len(d.entries)]
		d.machine.Step(d.now, startgate.Received{Entry: from, Message: &wire.Start{ID: id, AgentIncarnation: 1}})
		d.decline(d.machine.Step(d.now, startgate.CallEnded{ID: id}))
		d.machine.Step(d.now, startgate.Received{Entry: from, Message: &wire.FinishedAck{ID: id}})
	}
	if calls := d.machine.Stats().Calls - before; calls != uint64(count) {
		return errors.New("the agent's state machine called the upstream fewer or more times than it got starts")
	}
	return nil
}

// runCreditStarts starts each task with a credit, as policy mix does with at least minCreditAgents
// agents.
func (d *agentDriver) runCreditStarts(count int) error {
	collect := func(actions []startgate.Action) { d.credits = append(d.credits, creditsIn(actions)...) }
	for _, entry := range d.entries {
		if len(d.credits) > 0 {
			break
		}
		collect(d.machine.Step(d.now, startgate.Received{Entry: entry, Message: &wire.Demand{Queued: 1}}))
	}
	for i := range count {
		if len(d.credits) == 0 {
			return fmt.Errorf("no credit after %d starts", i)
		}
		used := d.credits[0]
		d.credits = d.credits[1:]
		d.next++
		d.now += 5 * time.Millisecond
		if d.next%100 == 0 {
			d.announce()
		}
		id := wire.StartID{Job: job.Key{Organisation: "swan-river", ID: "0196f0c2-7a51-7c1e"}, Task: uint16(d.next), Attempt: uint16(d.next >> 16)}
		collect(d.machine.Step(d.now, startgate.Received{Entry: used.entry, Message: &wire.Start{ID: id, AgentIncarnation: 1, Offer: used.id}}))
		collect(d.machine.Step(d.now, startgate.CallEnded{ID: id}))
		collect(d.machine.Step(d.now, startgate.Received{Entry: used.entry, Message: &wire.FinishedAck{ID: id}}))
	}
	return nil
}

func measureAgent(s *suite) error {
	for _, entries := range []int{1, 20, 100} {
		d := newAgentDriver(entries)
		if err := s.measureTime(fmt.Sprintf("agent start with an offer, %d entries", entries), "µs/start", "Start, CallEnded, FinishedAck; with credits", 4000, d.runCreditStarts); err != nil {
			return err
		}
	}
	for _, entries := range []int{1, 20, 100} {
		d := newAgentDriver(entries)
		if err := s.measureTime(fmt.Sprintf("agent start, %d entries", entries), "µs/start", "Start, CallEnded, FinishedAck without an offer", 4000, d.runDirectStarts); err != nil {
			return err
		}
	}
	return s.measureHeap("agent heap per entry", "bytes/entry", "startgate.Machine, entries connected", []int{16, 32, 64, 128, 256, 512},
		func(size int) (any, error) { return newAgentDriver(size), nil })
}
