//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	pileRoutes   = 390                    // count of big_config
	pileChanges  = 760                    // "hundreds of changes"
	pileInterval = 42 * time.Millisecond  // that of eight storms at once, each with gap_s 0.33
	downTime     = 3 * time.Second        // for_s of node_kill on core machines is up to 3.5
	briefLife    = 2 * time.Millisecond   // of a process that is killed again right after its start
	watchTime    = 10 * time.Second       // for the member to catch up
	serviceTime  = 3 * time.Second        // between the return of the member and its planned restart
	startTime    = 5 * time.Second        // in which a process that cannot start ends
	restartPause = 500 * time.Millisecond // "restarted after a short delay"
)

// largeConfiguration returns a configuration with pileRoutes further routes.
func largeConfiguration(version int) []byte {
	var document map[string]any
	_ = json.Unmarshal(configuration(version), &document)
	routes := document["routes"].([]any)
	for i := range pileRoutes {
		route := map[string]any{}
		for name, value := range routes[0].(map[string]any) {
			route[name] = value
		}
		route["name"], route["path_prefix"] = fmt.Sprintf("r-%d", i+2), fmt.Sprintf("/p%d/", i)
		routes = append(routes, route)
	}
	document["routes"] = routes
	body, _ := json.Marshal(document)
	return body
}

// pileUp sends changes, one every pileInterval, and returns the last version that was acknowledged.
func (o *operator) pileUp(first, count int, machines ...*machine) (last int) {
	for version := first; version < first+count; version++ {
		next := time.Now().Add(pileInterval)
		body := largeConfiguration(version)
		for try := range 2 * len(machines) {
			m := machines[try%len(machines)]
			status, _ := request(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, o.port, words.PutConfig), "", nil, body, time.Second)
			if status == http.StatusOK {
				last = version
				break
			}
		}
		time.Sleep(time.Until(next))
	}
	o.record.add("operator: versions %d to %d sent; the last acknowledged one is %d", first, first+count-1, last)
	return last
}

// dataFiles returns the names in the data folder of a control member that begin with a prefix.
func dataFiles(m *machine, prefix string) (names []string) {
	entries, _ := os.ReadDir(filepath.Join(m.folder, "data"))
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), prefix) && !strings.HasSuffix(e.Name(), ".tmp") {
			names = append(names, e.Name())
		}
	}
	return names
}

// killDuringInstallation kills a control member that catches up when it has stored the snapshot and not yet its new
// log. It reports whether it found that moment.
func killDuringInstallation(m *machine, r *record) bool {
	snapshots, logs := dataFiles(m, "snapshot-"), dataFiles(m, "log-")
	for began := time.Now(); time.Since(began) < watchTime; {
		if slices.Equal(dataFiles(m, "snapshot-"), snapshots) {
			continue
		}
		m.kill()
		found := slices.Equal(dataFiles(m, "log-"), logs)
		r.add("platform: %s is killed %v after its start, while it catches up; files: %v %v", m.name, time.Since(began).Round(time.Millisecond), dataFiles(m, "snapshot-"), dataFiles(m, "log-"))
		return found
	}
	return false
}

// pile kills a control member, lets hundreds of changes pile up, kills the member once more while it catches up, and
// restarts it some seconds later as planned.
func pile(l *layout, r *record, trouble bool) int {
	members := []*machine{
		l.machine("core-uppsala-1", "core", "uppsala", "127.21.1.1"),
		l.machine("core-orebro-1", "core", "orebro", "127.21.2.1"),
		l.machine("core-vasteras-1", "core", "vasteras", "127.21.3.1"),
	}
	for _, m := range members {
		l.seeds = append(l.seeds, m.ip)
	}
	for _, m := range members {
		defer m.kill()
		if err := l.start(m, true); err != nil {
			r.add("cannot start %s: %v", m.name, err)
			return couldNot
		}
	}
	o := &operator{record: r, port: l.control}
	if o.put(1, 20*time.Second, members...) == nil || o.pileUp(2, 10, members...) != 11 {
		return couldNot
	}
	returning, ended := members[2], make(chan struct{})
	done := make(chan struct{})
	if trouble {
		returning.kill()
		r.add("platform: %s is killed, and again at each start, while changes pile up", returning.name)
		go func() {
			defer close(ended)
			for {
				select {
				case <-done:
					return
				case <-time.After(downTime):
				}
				_ = l.start(returning, false)
				time.Sleep(briefLife)
				returning.kill()
			}
		}()
	} else {
		close(ended)
	}
	last := o.pileUp(12, pileChanges, members[:2]...)
	close(done)
	<-ended
	if last != 11+pileChanges {
		return couldNot
	}
	if trouble {
		if err := l.start(returning, false); err != nil {
			return couldNot
		}
		if !killDuringInstallation(returning, r) {
			r.add("the member was not killed between the two files")
			return held
		}
		time.Sleep(restartPause)
		if err := l.start(returning, false); err != nil {
			return couldNot
		}
	}
	time.Sleep(serviceTime)
	status, version := o.read(returning)
	r.add("operator: read at %s: status %d, version %d", returning.name, status, version)
	o.pileUp(last+1, 5, members[:2]...)
	r.add("platform: SIGTERM to %s, which is started again", returning.name)
	returning.signal(syscall.SIGTERM)
	if !returning.waitEnded(grace) {
		returning.kill()
	}
	return judgeStarts(l, r, returning)
}

// judgeStarts starts a member three times and checks that it does not end by itself.
func judgeStarts(l *layout, r *record, m *machine) int {
	for i := range 3 {
		time.Sleep(restartPause)
		if err := l.start(m, false); err != nil {
			return couldNot
		}
		if !m.waitEnded(startTime) {
			r.add("start %d: %s runs", i+1, m.name)
			return held
		}
		r.add("start %d: %s has ended by itself", i+1, m.name)
	}
	text, _ := os.ReadFile(filepath.Join(m.folder, "log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	r.add("its last line: %s", strings.ReplaceAll(lines[len(lines)-1], l.temporary+"/", ""))
	return broken
}
