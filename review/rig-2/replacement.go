//go:build review2

package main

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Bounds of the deployment nvs-sched.
const (
	contact  = 3000 * time.Millisecond
	catchUp  = 4 * time.Second
	grace    = 6 * time.Second
	recovery = 12 * time.Second
)

// replacement replaces a control member as planned, and a second one then loses its disk right after an
// acknowledgement.
func replacement(l *layout, r *record, trouble bool) int {
	members := []*machine{
		l.machine("core-uppsala-1", "core", "uppsala", "127.21.1.1"),
		l.machine("core-orebro-1", "core", "orebro", "127.21.2.1"),
		l.machine("core-vasteras-1", "core", "vasteras", "127.21.3.1"),
	}
	successor := l.machine("core-vasteras-2", "core", "vasteras", "127.21.3.2")
	for _, m := range members {
		l.seeds = append(l.seeds, m.ip)
	}
	defer successor.kill()
	for _, m := range members {
		defer m.kill()
		if err := l.start(m, true); err != nil {
			r.add("cannot start %s: %v", m.name, err)
			return couldNot
		}
	}
	o := &operator{record: r, port: l.control}
	if o.put(1, 20*time.Second, members...) == nil {
		return couldNot
	}
	time.Sleep(contact)
	old, rest := members[2], members[:2]
	all := append(append([]*machine{}, rest...), successor)
	if trouble {
		if err := l.start(successor, false); err != nil {
			r.add("cannot start %s: %v", successor.name, err)
			return couldNot
		}
		r.add("platform: %s, the successor of %s, has started with an empty disk", successor.name, old.name)
		time.Sleep(catchUp)
		r.add("platform: the successor has had its %v; SIGTERM to %s, which is removed", catchUp, old.name)
		old.signal(syscall.SIGTERM)
		if !old.waitEnded(grace) {
			old.kill()
		}
		r.add("platform: %s has ended and does not come back", old.name)
		time.Sleep(time.Second)
	} else {
		all = members
	}
	acknowledged := 2
	lost := o.put(acknowledged, 10*time.Second, rest[1], rest[0])
	if lost == nil {
		r.add("version %d was not acknowledged before the second loss", acknowledged)
		return couldNot
	}
	if trouble {
		lost.kill()
		r.add("platform: %s, which has acknowledged version %d, is killed and loses its disk", lost.name, acknowledged)
		if err := os.RemoveAll(filepath.Join(lost.folder, "data")); err != nil {
			return couldNot
		}
		time.Sleep(time.Second)
		if err := l.start(lost, false); err != nil {
			return couldNot
		}
		r.add("platform: %s is back with an empty disk, bootstrap=false", lost.name)
	}
	back := time.Now()
	for time.Since(back) < recovery+2*contact {
		for _, m := range all {
			status, version := o.read(m)
			r.add("operator: read at %s: status %d, version %d", m.name, status, version)
			if status == http.StatusOK && version < acknowledged {
				return broken
			}
			if status == http.StatusOK && version == acknowledged && time.Since(back) > recovery {
				return held
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	r.add("no control member has answered a read of the configuration in the %v after %v that recovery may take", 2*contact, recovery)
	if o.put(acknowledged+1, 5*time.Second, all...) == nil {
		r.add("a further change is not acknowledged either")
	}
	return broken
}
