// Package panicguard recovers from panics in the decoding or handling of a single message or request, so that they do not
// terminate the process.
package panicguard

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// Guard runs functions and recovers from their panics. Every panic is a bug, so it is counted, and logged with its stack. Callers
// that know how to cause one can do so with each request, so of the panics of one origin at most one in logInterval is logged. The
// zero value is ready to use. Guard is safe for concurrent use.
type Guard struct {
	panics atomic.Int64

	mu sync.Mutex
	// origins holds the log entries by origin of the panic.
	origins map[string]*logState
}

// logState is the state of the log entries for the panics of one origin.
type logState struct {
	loggedAt time.Time
	// unlogged counts the panics since then.
	unlogged int
}

const (
	// logInterval is the shortest time between two log entries for panics of one origin.
	logInterval = time.Second
	// maxOrigins bounds the origins that are told apart. The panics of further ones share the entries of an unnamed one.
	maxOrigins = 32
)

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
			panicked := &Error{Value: recovered, Origin: origin()}
			g.record(log, part, panicked)
			err = panicked
		}
	}()
	return f()
}

// record counts a panic and logs it unless one of the same origin was logged just now. It must be called before the stack of the
// panic is unwound.
func (g *Guard) record(log *slog.Logger, part string, panicked *Error) {
	g.panics.Add(1)
	if unlogged, due := g.logDue(panicked.Origin, time.Now()); due {
		log.Error("Recovered from a panic.", "part", part, "panic", panicked.Value, "origin", panicked.Origin, "unlogged", unlogged,
			"stack", string(debug.Stack()))
	}
}

// logDue reports whether a panic is to be logged, and how many of the same origin were not logged before.
func (g *Guard) logDue(origin string, now time.Time) (unlogged int, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.origins == nil {
		g.origins = map[string]*logState{}
	}
	state := g.origins[origin]
	if state == nil && len(g.origins) >= maxOrigins {
		origin = ""
		state = g.origins[origin]
	}
	if state == nil {
		g.origins[origin] = &logState{loggedAt: now}
		return 0, true
	}
	if now.Sub(state.loggedAt) < logInterval {
		state.unlogged++
		return 0, false
	}
	unlogged = state.unlogged
	*state = logState{loggedAt: now}
	return unlogged, true
}
