package cancellation_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/cancellation"
)

// TestTooManyCancellations guards against an acknowledged cancellation that is dropped for lack of space, and against
// space that is not freed.
func TestTooManyCancellations(t *testing.T) {
	m := cancellation.New(cancellation.Config{Entry: "a", Limit: 2})
	now := time.Hour
	m.Step(now, cancellation.Configured{Entries: []string{"a"}})
	request := func(number uint64) cancellation.Action {
		actions := m.Step(now, cancellation.Requested{Job: fmt.Sprint(number), Number: number})
		return actions[len(actions)-1]
	}
	for number := range uint64(3) {
		action := request(number)
		if refused, ok := action.(cancellation.Refused); ok != (number == 2) || ok && (refused.Error.Kind != failure.Unavailable || refused.Error.RetryAfter <= 0) {
			t.Fatalf("request %d got %+v", number, action)
		}
	}
	now += cancellation.Retention + time.Second
	if _, ok := request(3).(cancellation.Acknowledged); !ok || m.Cancelled(now, "0") || !m.Cancelled(now, "3") {
		t.Fatal("the space of expired cancellations is not free")
	}
}

// TestEntryThatLeftTheList guards against runs of an entry that was removed from the list because it is cut off, and that
// its agents continue.
func TestEntryThatLeftTheList(t *testing.T) {
	m := cancellation.New(cancellation.Config{Entry: "a"})
	b := wire.Claimant{EntryID: "b", Incarnation: 1}
	now := time.Hour
	for _, event := range []cancellation.Event{
		cancellation.Configured{Entries: []string{"a", "b", "c"}}, cancellation.PeerConnected{Entry: b}, cancellation.Configured{Entries: []string{"a", "b"}},
	} {
		m.Step(now, event)
	}
	for _, told := range []bool{true, false} {
		m.Step(now, cancellation.Requested{Job: "job", Number: 1})
		found := false
		for _, action := range m.Step(now, cancellation.Received{From: b, Message: &wire.CancellationKept{Round: 1, Kept: true}}) {
			if a, ok := action.(cancellation.TellAgents); ok {
				found = a.Message.(*wire.JobCancellation).Job == "job"
			}
		}
		if found != told || m.Stats().Acknowledged == 0 {
			t.Fatalf("at %v agents were told: %v, want %v; %+v", now, found, told, m.Stats())
		}
		now += cancellation.Retention + time.Second
	}
}

// TestAnyPeerMessage guards against a message of a faulty entry that ends the process, exceeds the bound, keeps a
// cancellation longer than the retention, or keeps the machine closed.
func TestAnyPeerMessage(t *testing.T) {
	number := rapid.OneOf(rapid.Int64Range(-1, 3), rapid.SampledFrom([]int64{math.MinInt64, math.MaxInt64}))
	rapid.Check(t, func(t *rapid.T) {
		m := cancellation.New(cancellation.Config{Entry: "a", Limit: 8})
		faulty, now := wire.Claimant{EntryID: "b", Incarnation: 1}, time.Hour
		m.Step(now, cancellation.Configured{Entries: []string{"a", "b", "c"}})
		m.Step(now, cancellation.PeerConnected{Entry: faulty})
		t.Repeat(map[string]func(*rapid.T){
			"message": func(t *rapid.T) {
				n := number.Draw(t, "number")
				records := &wire.CancellationRecords{Remaining: []time.Duration{time.Duration(n), time.Hour}}
				for range rapid.IntRange(0, 3).Draw(t, "records") {
					records.Digests = append(records.Digests, rapid.Uint64().Draw(t, "digest"))
				}
				m.Step(now, cancellation.Received{From: faulty, Message: rapid.SampledFrom([]wire.Message{
					&wire.JobCancellation{Round: uint64(n), Job: fmt.Sprint(n), TellAgents: n < 0}, &wire.CancellationKept{Round: uint64(n), Kept: n > 0},
					&wire.CancellationQuery{Round: uint64(n)}, records, &wire.CancellationAnswer{Round: uint64(n)}, &wire.Ping{},
				}).Draw(t, "message")})
			},
			"request": func(t *rapid.T) {
				m.Step(now, cancellation.Requested{Job: "job", Number: uint64(rapid.IntRange(1, 3).Draw(t, "request"))})
			},
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond
				m.Step(now, cancellation.Tick{})
			},
		})
		if kept := m.Stats().Kept; kept > 8 {
			t.Fatalf("%d cancellations are kept, the limit is 8", kept)
		}
		now += cancellation.Retention + 2*time.Second
		m.Step(now, cancellation.Tick{})
		m.Expire(now)
		if m.Stats().Kept > 0 || !m.IsOpen() {
			t.Fatalf("%+v, open: %v after the retention", m.Stats(), m.IsOpen())
		}
	})
}
