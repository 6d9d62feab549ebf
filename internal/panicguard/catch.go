package panicguard

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
)

// Error reports a panic that Catch or Guard.Call recovered from.
type Error struct {
	// Value is the argument of the panic.
	Value any
	// Origin is the function, file and line that panicked.
	Origin string
}

func (e *Error) Error() string { return fmt.Sprintf("panic: %v in %s", e.Value, e.Origin) }

var caught atomic.Int64

// Caught returns the number of panics that Catch recovered from since the start of the process.
func Caught() int64 { return caught.Load() }

// Catch calls f, which decodes bytes that another process sent, and returns a panic as an *Error. The caller then handles it
// like any other malformed message, which releases all that the message holds.
func Catch(f func() error) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			caught.Add(1)
			err = &Error{Value: recovered, Origin: origin()}
		}
	}()
	return f()
}

// maxOriginFrames is how many frames are searched for the function that panicked. Those of the runtime are above it.
const maxOriginFrames = 16

// origin returns the innermost function below the runtime's panic functions. It must be called by a deferred function.
func origin() string {
	var callers [maxOriginFrames]uintptr
	frames := runtime.CallersFrames(callers[:runtime.Callers(0, callers[:])])
	panicking := false
	for {
		frame, more := frames.Next()
		inRuntime := strings.HasPrefix(frame.Function, "runtime.")
		if panicking && !inRuntime {
			return fmt.Sprintf("%s (%s:%d)", frame.Function, filepath.Base(frame.File), frame.Line)
		}
		panicking = panicking || frame.Function == "runtime.gopanic"
		if !more {
			return "an unknown function"
		}
	}
}
