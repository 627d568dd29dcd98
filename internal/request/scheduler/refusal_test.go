package scheduler_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/scheduler"
)

// refusingAgent answers every order for the given job with a refusal, one step after it was sent.
type refusingAgent struct {
	machine *scheduler.Machine
	now     time.Duration
	job     string
	reason  run.Reason
	state   wire.WorkerState
	answers []wire.Message
	orders  map[string]int // by job, at any agent
}

const (
	refusingStep = time.Millisecond
	refusedJob   = "0000000000000001"
)

var (
	refusing = scheduler.AgentID{ID: "refusing", Incarnation: 1}
	full     = scheduler.AgentID{ID: "full", Incarnation: 1}
)

func newRefusingAgent(reason run.Reason) *refusingAgent {
	r := &refusingAgent{
		machine: scheduler.New(scheduler.Config{Seed: 1}), now: time.Hour, job: refusedJob, reason: reason,
		state:  wire.WorkerState{Service: service, Capacity: workerCapacity, Free: workerCapacity, Open: true},
		orders: map[string]int{},
	}
	r.connect(refusing, r.state)
	return r
}

func (r *refusingAgent) connect(agent scheduler.AgentID, state wire.WorkerState) {
	r.handle(scheduler.AgentConnected{Agent: agent})
	r.handle(scheduler.AgentMessage{Agent: agent, Message: &wire.RunInventory{}})
	r.handle(scheduler.AgentMessage{Agent: agent, Message: &state})
}

func (r *refusingAgent) submit(id string) {
	r.handle(scheduler.Submitted{Submission: &scheduler.Submission{
		ID: id, Queue: "short", Service: service, MaxAttempts: 3, Stretch: 1.6, Slack: time.Minute, Wait: time.Minute,
		Steps: []scheduler.Step{{Count: 1, Need: job.Resources{MilliProcessors: 1000}, DeclaredRunTime: 50 * time.Millisecond}},
	}})
}

func (r *refusingAgent) handle(event scheduler.Event) {
	for _, action := range r.machine.Step(r.now, event) {
		send, _ := action.(scheduler.Send)
		timed, ok := send.Message.(*wire.TimedOrder)
		if !ok {
			continue
		}
		order := timed.Order
		r.orders[order.Job]++
		if order.Job != r.job || send.Agent != refusing {
			continue
		}
		id := run.ID{Task: run.TaskID{Job: order.Job}, Number: order.Tasks[0].Number}
		after := r.state
		after.Orders = order.Sequence
		r.answers = append(r.answers, &wire.RunEnds{Ends: []run.End{{ID: id, Outcome: run.Refused, Reason: r.reason}}}, &after)
	}
}

// advance delivers the answers and keeps the agents from counting as silent.
func (r *refusingAgent) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += refusingStep
		due := r.answers
		r.answers = nil
		for _, answer := range due {
			r.handle(scheduler.AgentMessage{Agent: refusing, Message: answer})
		}
		for _, agent := range []scheduler.AgentID{refusing, full} {
			r.handle(scheduler.AgentMessage{Agent: agent, Message: &wire.OwnerPoll{}})
		}
		if wake, ok := r.machine.NextWake(); ok && wake <= r.now {
			r.handle(scheduler.Tick{})
		}
	}
}

// TestOnlyAgentRefuses guards against an entry that sends an order to its only agent in every round trip although the
// agent refuses them all: hundreds of messages a second for one job, on hosts with a seventh of a processor.
func TestOnlyAgentRefuses(t *testing.T) {
	const limit = 5 // one at once, and one after each backoff of 250 ms
	for _, reason := range []run.Reason{run.Unhealthy, run.Unfit, run.Conflict} {
		r := newRefusingAgent(reason)
		r.submit(refusedJob)
		r.advance(time.Second)
		if orders := r.orders[refusedJob]; orders < 2 || orders > limit {
			t.Errorf("refused for reason %v: %d orders within 1 s, want 2 to %d", reason, orders, limit)
		}
	}
}

// TestOtherJobsWhileTaskAvoidsAgent guards against jobs that wait although an agent has free capacity, because an
// earlier task with the same need avoids that agent and the others have none.
func TestOtherJobsWhileTaskAvoidsAgent(t *testing.T) {
	for _, others := range []bool{false, true} {
		r := newRefusingAgent(run.Conflict)
		if others {
			busy := r.state
			busy.Free = job.Resources{MilliProcessors: -workerCapacity.MilliProcessors}
			r.connect(full, busy)
		}
		r.submit(refusedJob)
		r.advance(20 * time.Millisecond)
		const next = "0000000000000002"
		r.submit(next)
		r.advance(50 * time.Millisecond)
		if r.orders[refusedJob] != 1 || r.orders[next] != 1 {
			t.Errorf("with another, full agent %v: %d orders for the refused job and %d for the next one, want one each", others, r.orders[refusedJob], r.orders[next])
		}
	}
}
