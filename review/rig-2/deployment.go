//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	taskCPU       = 6200
	callerWait    = 20 * time.Second
	jobID         = "5c0e7a21d94b36f8"
	minionCPU     = 8000
	checkInterval = time.Second
)

var zones = []string{"uppsala", "orebro", "vasteras"}

// deployment is a small deployment with one control member, one entry and one agent with its minion in each zone.
type deployment struct {
	l       *layout
	r       *record
	core    []*machine
	fronts  []*machine
	sides   []*machine
	minions []*minion
}

func (d *deployment) stop() {
	for _, m := range d.minions {
		m.stop()
	}
	for _, group := range [][]*machine{d.sides, d.fronts, d.core} {
		for _, m := range group {
			m.kill()
		}
	}
}

// startDeployment starts all processes and puts the first configuration in force.
func startDeployment(l *layout, r *record) (*deployment, error) {
	d := &deployment{l: l, r: r}
	for i, zone := range zones {
		d.core = append(d.core, l.machine("core-"+zone+"-1", "core", zone, fmt.Sprintf("127.21.%d.1", i+1)))
		d.fronts = append(d.fronts, l.machine("front-"+zone+"-1", "front", zone, fmt.Sprintf("127.21.%d.11", i+1)))
		d.sides = append(d.sides, l.machine("side-"+zone+"-1", "side", zone, fmt.Sprintf("127.21.%d.21", i+1)))
		l.seeds = append(l.seeds, d.core[i].ip)
	}
	for _, group := range [][]*machine{d.core, d.fronts, d.sides} {
		for _, m := range group {
			if err := l.start(m, true); err != nil {
				return d, err
			}
		}
	}
	for _, side := range d.sides {
		m, err := startMinion(r, side, l.control, minionCPU)
		if err != nil {
			return d, err
		}
		d.minions = append(d.minions, m)
	}
	if o := (&operator{record: r, port: l.control}); o.put(1, 20*time.Second, d.core...) == nil {
		return d, fmt.Errorf("the first configuration was not acknowledged")
	}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, front := range d.fronts {
			if d.isReady(front) {
				ready++
			}
		}
		if ready == len(d.fronts) {
			time.Sleep(contact)
			return d, nil
		}
	}
	return d, fmt.Errorf("the entries did not become ready")
}

// isReady checks a front machine as the platform does.
func (d *deployment) isReady(front *machine) bool {
	status, _ := request(http.MethodGet, fmt.Sprintf("http://%s:%d%s", front.ip, d.l.ready, words.Ready), "", nil, nil, checkInterval)
	return status == http.StatusOK
}

func (d *deployment) jobURL(front *machine) string {
	return fmt.Sprintf("http://%s:%d%s%s", front.ip, d.l.front, routePrefix, jobID)
}

// submit submits the job and waits for the response.
func (d *deployment) submit(front *machine, tasks, taskMs int) (status int, body []byte) {
	d.r.add("caller: POST of job %s to %s, %d tasks of %d ms, waits %v", jobID, front.name, tasks, taskMs, callerWait)
	defer func() { d.r.add("caller: response of %s to the POST: status %d %.200s", front.name, status, body) }()
	text, _ := json.Marshal(spec{Ms: taskMs, CPU: taskCPU})
	job, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": taskCPU, "mem_mb": 64, "estimate_ms": taskMs}},
	})
	headers := map[string]string{words.DeadlineHeader: strconv.Itoa(int(callerWait.Milliseconds()))}
	return request(http.MethodPost, d.jobURL(front), routeHost, headers, job, callerWait)
}
