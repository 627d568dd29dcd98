package httpapi

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"pollenpaddle/internal/connection/budget"
)

const (
	// grownConnections and grownBytes are the use from which on memory is returned to the system afterwards: more than 300
	// callers, the number that is normal for the smallest entry, and more than a configuration of 4 MiB with its decoding.
	grownConnections = 512
	grownBytes       = 8 << 20
	// returnDelay is how long after that memory is returned: longer than fasthttp keeps an idle goroutine (10 s).
	returnDelay = 15 * time.Second
	// observationInterval is the least time between two observations of the memory in use.
	observationInterval = 50 * time.Millisecond
)

// observeMemory observes the memory in use, at most once in observationInterval. g.mu must be held.
func (g *Guard) observeMemory() {
	if g.now()-g.observed >= observationInterval {
		g.observeNow()
	}
}

// observeNow carries out what the memory in use requires. g.mu must be held.
func (g *Guard) observeNow() {
	g.observed = g.now()
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	action := g.budget.Observe(g.observed, budget.Observation{
		Collections: samples[0].Value.Uint64(), Live: int64(samples[1].Value.Uint64() + samples[2].Value.Uint64()),
	})
	g.wake(action.Granted)
	for _, id := range action.Close {
		if victim := g.takeVictim(id); victim != nil {
			go victim.closeToMakeRoom(string(budget.NoMemory))
		}
	}
	if action.Collect && g.collection == nil {
		go g.collect()
	}
}

// collect collects garbage and observes the result. If a collection is in progress already, it waits for the end of that.
func (g *Guard) collect() {
	g.mu.Lock()
	if ended := g.collection; ended != nil {
		g.mu.Unlock()
		<-ended
		return
	}
	ended := make(chan struct{})
	g.collection = ended
	g.mu.Unlock()
	runtime.GC()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.collection = nil
	close(ended)
	g.observeNow() // may start another one
}

// returnMemory schedules the return of memory to the system after many clients or large bodies are gone. Without it, the
// memory is kept for minutes, because a process without load does not collect garbage. g.mu must be held.
func (g *Guard) returnMemory() {
	if !g.grown || len(g.connections) >= grownConnections/4 {
		return
	}
	if callers, reserved, _ := g.budget.Bytes(); callers+reserved >= grownBytes/4 {
		return
	}
	g.grown = false
	time.AfterFunc(returnDelay, func() {
		runtime.GC() // buffers in pools are kept for one collection
		debug.FreeOSMemory()
	})
}
