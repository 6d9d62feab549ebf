// Package panicguard keeps a panic in the handling of one message or request from ending the process.
package panicguard

import (
	"log/slog"
	"runtime/debug"
	"sync/atomic"
)

// Guard runs functions and survives their panics. Each panic is a fault of the program: it is logged with its stack and
// counted, never silent. The zero value is ready to use and safe for concurrent use.
type Guard struct{ panics atomic.Int64 }

// Panics returns the number of panics since the start.
func (g *Guard) Panics() int64 { return g.panics.Load() }

// Run runs a function that handles one message of a part of the program. It reports false after a panic.
func (g *Guard) Run(log *slog.Logger, part string, f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.panics.Add(1)
			log.Error("Handling ended in a panic.", "part", part, "panic", cause, "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}
