package httpapi

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/process/logging"
)

// reportInterval is the minimum time between two lines of one event, listener and cause. Each line has the number of
// occurrences since the previous one.
const reportInterval = 10 * time.Second

// reports limits the rate of log lines.
type reports struct {
	logger *zap.Logger
	mu     sync.Mutex
	last   map[reportKey]*reportCount
}

type reportKey struct {
	event           int
	listener, cause string
}

type reportCount struct {
	logged time.Time
	count  int
}

// add counts an occurrence and logs it if the last line is old enough. The cause must not contain what a client sent.
func (r *reports) add(event logging.Event, listener, cause string) {
	r.mu.Lock()
	if r.last == nil {
		r.last = map[reportKey]*reportCount{}
	}
	key := reportKey{event.Number, listener, cause}
	c := r.last[key]
	if c == nil {
		c = &reportCount{}
		r.last[key] = c
	}
	c.count++
	count, due := c.count, time.Since(c.logged) >= reportInterval
	if due {
		c.logged, c.count = time.Now(), 0
	}
	r.mu.Unlock()
	if due {
		logging.Log(r.logger, event, zap.String("listener", listener), zap.String("cause", cause), zap.Int("count", count))
	}
}

// report counts a refused request or a closed connection in the metrics and logs it.
func (s *Server) report(event logging.Event, cause string) {
	s.guard.refused.WithLabelValues(s.config.Name, cause).Inc()
	s.guard.reports.add(event, s.config.Name, cause)
}

// libraryLogger writes the messages of the HTTP library to the log. It omits their arguments, which contain what clients
// sent.
type libraryLogger struct{ server *Server }

// Printf implements fasthttp.Logger.
func (l libraryLogger) Printf(format string, _ ...any) {
	l.server.guard.reports.add(logging.ClientConnectionFailed, l.server.config.Name, format)
}
