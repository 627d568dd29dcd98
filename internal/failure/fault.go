package failure

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/cockroachdb/errors"
)

// errFault marks the errors that RecoverFault sets.
var errFault = errors.New("unexpected fault")

// RecoverFault ends a panic of the function that defers it and sets *err to an error of kind Internal that names the
// place of the panic. Goroutines of one request, session or call defer it, so that others are not affected. Event loops
// do not: after a panic, their state is unknown, and the process has to be restarted.
func RecoverFault(err *error) {
	if value := recover(); value != nil {
		*err = errors.Mark(New(Internal, "report this as a bug", "unexpected fault at %s: %v", panicLocation(), value), errFault)
	}
}

// IsFault reports whether the error stands for a panic.
func IsFault(err error) bool { return errors.Is(err, errFault) }

// panicLocation returns the file and line of the panic that is being recovered.
func panicLocation() string {
	callers := make([]uintptr, 32)
	frames := runtime.CallersFrames(callers[:runtime.Callers(0, callers)])
	panicking := false
	for {
		frame, more := frames.Next()
		switch {
		case frame.Function == "runtime.gopanic":
			panicking = true
		case panicking && !strings.HasPrefix(frame.Function, "runtime."):
			return fmt.Sprintf("%s:%d", frame.File, frame.Line)
		}
		if !more {
			return "an unknown place"
		}
	}
}
