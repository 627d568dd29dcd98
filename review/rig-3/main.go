//go:build review3

// Command rig-3 plays the scripts of the third review. It starts a small deployment of the project's own programs on
// loopback addresses, with stand-ins for minions, requesters, the operator and the platform:
//
//	rig-3 CASE FOLDER
//
// It runs in the root of the repository, writes record.txt to the folder, and exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is what a case has found.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripts by their names. An error means that the case could not run.
var cases = map[string]func(i *Installation, trouble bool) (verdict, error){
	"frozen-zone":     playFrozenZone,
	"restarted-front": playRestartedFront,
	"killed-agent":    playKilledAgent,
	"late-request":    playLateRequest,
	"stuck-front":     playStuckFront,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE FOLDER")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		return fail(err)
	}
	i, err := newInstallation(root, record)
	if i != nil {
		defer i.close()
		endEarly(i)
	}
	if err == nil {
		err = i.configure()
	}
	var found verdict
	if err == nil {
		found, err = cases[os.Args[1]](i, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		record.Logf("the case could not run: %v", err)
		return fail(err)
	}
	record.Logf("rule broken: %t. %s", found.broken, found.text)
	fmt.Println(found.text)
	if found.broken {
		return 1
	}
	return 0
}

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// endEarly ends the processes and this program at a signal or at the time limit.
func endEarly(i *Installation) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		i.close()
		os.Exit(2)
	}()
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "rig-3:", err)
	return 2
}
