// Package panicguard recovers from panics in the decoding or handling of a single message or request, so that they do not
// terminate the process.
package panicguard

import (
	"log/slog"
	"runtime/debug"
	"sync/atomic"
)

// Guard runs functions and recovers from their panics. Every panic is a bug, so it is counted and logged with its stack. The
// zero value is ready to use. Guard is safe for concurrent use.
type Guard struct{ panics atomic.Int64 }

// Panics returns the number of panics that the guard has recovered from.
func (g *Guard) Panics() int64 { return g.panics.Load() }

// Run calls f, which handles one message or request, and reports whether it returned without a panic. The part names the
// component in the log.
func (g *Guard) Run(log *slog.Logger, part string, f func()) (ok bool) {
	return g.Call(log, part, func() error { f(); return nil }) == nil
}

// Call calls f and returns its error. It returns a panic as an *Error, so that the caller ends what it has begun, like after
// any other error. The part names the component in the log.
func (g *Guard) Call(log *slog.Logger, part string, f func() error) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			g.panics.Add(1)
			log.Error("Recovered from a panic.", "part", part, "panic", recovered, "stack", string(debug.Stack()))
			err = &Error{Value: recovered, Origin: origin()}
		}
	}()
	return f()
}
