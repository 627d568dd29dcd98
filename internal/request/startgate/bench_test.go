package startgate_test

import (
	"fmt"
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// BenchmarkStart measures the complete handling of one start: Start, CallEnded and FinishedAck.
// With offers, a Demand and the Offer made for it precede the Start.
func BenchmarkStart(b *testing.B) {
	for _, entries := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("direct/entries=%d", entries), func(b *testing.B) { benchmarkStarts(b, entries, false) })
		b.Run(fmt.Sprintf("offer/entries=%d", entries), func(b *testing.B) { benchmarkStarts(b, entries, true) })
	}
}

func benchmarkStarts(b *testing.B, entries int, offers bool) {
	m := startgate.New(startgate.Config{Incarnation: 1})
	now := time.Hour
	ids := make([]startgate.EntryID, entries)
	m.Step(now, startgate.LeaseChanged{Deadline: 1 << 62})
	announce := wire.Announce{Slots: 8, Connections: 64}
	m.Step(now, startgate.Announced{Announce: announce, Deadline: 1 << 62})
	for i := range ids {
		ids[i] = startgate.EntryID{ID: fmt.Sprint("entry-", i)}
		declineAll(m, now, m.Step(now, startgate.Connected{Entry: ids[i]}))
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now += 5 * time.Millisecond // 200 starts a second, the rate of 8 slots with tasks of 40 ms
		if n%100 == 0 {
			m.Step(now, startgate.Announced{Announce: announce, Deadline: 1 << 62})
		}
		id := wire.StartID{Job: job.Key{Organisation: "swan-river", ID: "0196f0c2-7a51-7c1e"}, Task: uint16(n), Attempt: uint16(n >> 16)}
		start := &wire.Start{ID: id, AgentIncarnation: 1}
		by := ids[n%entries]
		if offers {
			_, ids := offerIn(m.Step(now, startgate.Received{Entry: by, Message: &wire.Demand{Queued: 1}}))
			start.Offer = ids[0]
		}
		m.Step(now, startgate.Received{Entry: by, Message: start})
		declineAll(m, now, m.Step(now, startgate.CallEnded{ID: id}))
		m.Step(now, startgate.Received{Entry: by, Message: &wire.FinishedAck{ID: id}})
	}
	if calls := m.Stats().Calls; calls != uint64(n) {
		b.Fatalf("%d of %d starts ran", calls, n)
	}
}

func offerIn(actions []startgate.Action) (to startgate.EntryID, ids []uint64) {
	for _, action := range actions {
		if send, ok := action.(startgate.Send); ok {
			if offer, ok := send.Message.(*wire.Offer); ok {
				return send.Entry, offer.IDs
			}
		}
	}
	return to, nil
}

// declineAll declines the credits offered by a step, so that every start needs a new offer.
func declineAll(m *startgate.Machine, now time.Duration, actions []startgate.Action) {
	for {
		to, ids := offerIn(actions)
		if ids == nil {
			return
		}
		actions = m.Step(now, startgate.Received{Entry: to, Message: &wire.Decline{IDs: ids}})
	}
}
