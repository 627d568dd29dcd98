//go:build review2

// Command rig2 runs one case of the review in REPORT-2.md: it starts the project's programs as separate processes on
// loopback addresses, together with stand-ins for the platform's operators, callers and minions.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// words holds the platform's paths and headers, which only package platform may contain as literals.
var words struct {
	Start, Stop, Hold, Heartbeat, Ready, PutConfig, GetConfig, StartEvacuation, EndEvacuation, DeadlineHeader, InstanceHeader string
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

const (
	held       = 0
	broken     = 1
	couldNot   = 2
	troubleOff = "0"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	text, err := os.ReadFile("review/rig-2/words.json")
	if err != nil || json.Unmarshal(text, &words) != nil {
		fmt.Fprintln(os.Stderr, "cannot read review/rig-2/words.json:", err)
		return couldNot
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	l, err := newLayout()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	r := &record{file: file, began: time.Now()}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(l.temporary)
	} else {
		r.add("folder %s", l.temporary)
	}
	cases := map[string]func(*layout, *record, bool) int{"replacement": replacement, "resubmission": resubmission, "suspension": suspension, "latecopy": latecopy, "pile": pile}
	trouble := os.Getenv("TROUBLE") != troubleOff
	status := couldNot
	if play := cases[name]; play != nil {
		status = play(l, r, trouble)
	}
	r.add("exit status %d (0: the rule held, 1: it was broken, 2: the case could not run)", status)
	return status
}
