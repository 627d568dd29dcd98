package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/subset"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/standin"
	"pollenpaddle/internal/version/catalog"
)

// startEntries starts n entries besides the one of the fixture and returns all of them with their list.
func startEntries(f *fixture, n int) (map[string]*fakeEntry, []catalog.Entry) {
	entries := map[string]*fakeEntry{"e": f.entry}
	list := []catalog.Entry{{ID: "e", Address: f.agent.dialedAddress()}}
	for k := range n {
		e, id := &fakeEntry{}, fmt.Sprintf("e%02d", k)
		acceptor := &session.Connector{Local: session.Identity{Role: wire.RoleEntry, ID: id}, Handler: e}
		address := serve(func(ctx *fasthttp.RequestCtx) { _ = acceptor.Accept(context.Background(), ctx) })
		entries[id] = e
		list = append(list, catalog.Entry{ID: id, Address: address})
	}
	return entries, list
}

// dialedAddress returns the address of the only entry with a dialer.
func (a *Agent) dialedAddress() (address string) {
	a.dialers.mu.Lock()
	defer a.dialers.mu.Unlock()
	for address = range a.dialers.byAddress {
	}
	return address
}

// open reports whether the entry has an open session with the agent.
func (e *fakeEntry) open() (open bool) {
	e.with(func() { open = e.session != nil && len(e.ended) == 0 })
	return open
}

// isChosen reports whether the agent of the fixture keeps a session with the fixture's entry.
func isChosen(list []catalog.Entry, size int) bool {
	return slices.ContainsFunc(subset.Choose("a", list, size), func(e catalog.Entry) bool { return e.ID == "e" })
}

var _ = ginkgo.Describe("an agent with more entries than it keeps sessions with", func() {
	// Guards against sessions that grow with the product of agents and entries, and against sessions that stay open
	// after the list of entries has grown while the installation starts.
	ginkgo.It("keeps sessions with its subset only", func() {
		const size = 3
		f := start(Config{EntrySessions: size})
		entries, list := startEntries(f, 12)
		for n := 1; n <= len(list); n++ { // entries join one by one
			f.agent.ConfigurationChanged(&catalog.State{Entries: list[:n]})
			time.Sleep(20 * time.Millisecond)
		}
		chosen := map[string]bool{}
		for _, e := range subset.Choose("a", list, size) {
			chosen[e.ID] = true
		}
		gomega.Eventually(func(g gomega.Gomega) {
			for id, e := range entries {
				g.Expect(e.open()).To(gomega.Equal(chosen[id]), id)
			}
		}, 10*time.Second).Should(gomega.Succeed())
	})

	// Guards against a task that may have run because the agent closed the session with its entry.
	ginkgo.It("keeps the session with a superseded entry until its task has ended", func() {
		const size = 2
		f := start(Config{EntrySessions: size})
		f.announce(startUpstream(standin.FaultNone))
		f.start(1, "2500")
		_, list := startEntries(f, 40)
		gomega.Expect(isChosen(list, size)).To(gomega.BeFalse(), "the fixture's entry is chosen among 41; change its id")
		f.agent.ConfigurationChanged(&catalog.State{Entries: list})
		await(f.entry, func(*wire.Withdraw) bool { return true })
		gomega.Consistently(f.entry.open, 1500*time.Millisecond).Should(gomega.BeTrue())
		await(f.entry, func(m *wire.Finished) bool { return m.ID == startID(1) })
		gomega.Eventually(f.entry.open, 5*time.Second).Should(gomega.BeFalse())
		f.entry.with(func() { gomega.Expect(f.entry.ended).To(gomega.ConsistOf(gomega.BeNil())) })
	})
})
