package logging

import (
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pollenpaddle/internal/ring"
)

const (
	// lineLimit is the maximum number of queued lines. At 300 bytes a line they take 1.2 MB.
	lineLimit = 4096
	// flushTimeout limits the time to write queued lines at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// writer writes lines from its own goroutine. A line that does not fit in the queue is dropped and
// counted, so that no event loop waits for the reader of the output.
type writer struct {
	lines   *ring.Queue[[]byte]
	out     *os.File
	dropped atomic.Uint64
	ended   chan struct{}
}

func newWriter(out *os.File) *writer {
	w := &writer{lines: ring.New[[]byte](lineLimit), out: out, ended: make(chan struct{})}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer.
func (w *writer) Write(line []byte) (int, error) {
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It stops the writer and waits up to flushTimeout until the
// queued lines are written.
func (w *writer) Sync() error {
	w.lines.Close()
	select {
	case <-w.ended:
	case <-time.After(flushTimeout):
	}
	return nil
}

// run writes the queued lines, each batch with one call.
func (w *writer) run() {
	defer close(w.ended)
	var lines [][]byte
	var batch []byte
	for open := true; open; {
		<-w.lines.Ready()
		lines, open = w.lines.Drain(lines)
		batch = batch[:0]
		for _, line := range lines {
			batch = append(batch, line...)
		}
		if len(batch) == 0 {
			continue
		}
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(uint64(len(lines)))
		}
	}
}

// New returns a logger that writes JSON lines of the given level or higher to standard output, and a
// function that returns the number of lines dropped because the reader of the output did not keep up
// or a write failed.
func New(level zapcore.Level) (*zap.Logger, func() uint64) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.EncodeDuration = zapcore.MillisDurationEncoder
	w := newWriter(os.Stdout)
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level)), w.dropped.Load
}
