package logging

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"
)

// TestWriterDropsLines guards against a process that blocks because its output is not read.
func TestWriterDropsLines(t *testing.T) {
	reader, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	w := newWriter(out)
	line := []byte(strings.Repeat("x", 200) + "\n")
	done := make(chan struct{})
	const lines = 3 * lineLimit
	go func() {
		defer close(done)
		for range lines {
			if _, err := w.Write(line); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output is not read")
	}
	dropped := w.dropped.Load()
	if dropped == 0 {
		t.Fatal("no line was dropped although nothing was read")
	}
	read := make(chan int)
	go func() {
		n := 0
		for scanner := bufio.NewScanner(reader); scanner.Scan(); {
			n++
		}
		read <- n
	}()
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	_ = out.Close()
	if n := <-read; uint64(n)+dropped != lines {
		t.Fatalf("%d lines read and %d dropped of %d", n, dropped, lines)
	}
}
