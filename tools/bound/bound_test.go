package main

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const overloaded = `[load]
name = test
seconds = 10
[workers]
count = 10
processors = 10
sizes = 1
speeds = 1
[class small]
per_second = 100
tasks = 1
run_seconds = 0.5
processors = 1
stretch = 1.6
extra_seconds = 0.06
[class large]
per_second = 50
tasks = 1
run_seconds = 1
processors = 2
stretch = 1.6
extra_seconds = 0.06
[phase away]
from = 5
to = 20
away = 0.5
`

func load10(t *testing.T, text string) *load {
	t.Helper()
	path := filepath.Join(t.TempDir(), "load.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := readLoad(path)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestBound guards against a bound that serves more than the processor time offered, or less than an order that does not
// look at value.
func TestBound(t *testing.T) {
	l := load10(t, overloaded)
	if use := l.use(time.Second); math.Abs(use-1.5) > 1e-9 {
		t.Fatalf("demand %.3f of the capacity, want 1.5", use)
	}
	best := 0.0
	for i, o := range orders {
		r := play(l, o, 2*time.Second)
		work := 0.0
		for k, c := range l.classes {
			work += r.servedByClass[k] / c.value * c.work
		}
		// Work that arrived before the end is served for up to its slack, 0.66 s, after it.
		if offered := 100*5 + 50*5.67; work > offered {
			t.Errorf("%s: %.1f processor seconds served, at most %.1f offered", o.name, work, offered)
		}
		if i == 0 {
			best = r.share()
		}
		if r.share() > best+1e-9 {
			t.Errorf("%s serves %.3f, more than the bound %.3f", o.name, r.share(), best)
		}
	}
}

// TestReadLoadErrors guards against a load with a missing number that is taken as zero.
func TestReadLoadErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load.ini")
	if err := os.WriteFile(path, []byte("[load]\nname = x\nseconds = ten\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readLoad(path); err == nil {
		t.Error("a load without numbers was accepted")
	}
}
