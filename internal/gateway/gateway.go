// Package gateway accepts requests of callers, sends them to targets and returns
// the answers. Each request is served by one goroutine, which reads the snapshot
// of the control loop and never writes control state.
package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
)

// Counter counts outcomes, refusals and retries. It is safe for concurrent use.
type Counter interface {
	// Answered counts an answer passed on from a target.
	Answered(service, class string)
	// Refused counts a refusal or failure.
	Refused(service string, why *reason.Reason)
	// Retried counts a retry.
	Retried(service string, why *reason.Reason)
	// Added records the time of a request outside exchanges with targets.
	Added(time.Duration)
}

// Gateway serves callers.
type Gateway struct {
	instance string
	limits   settings.Limits
	snapshot func() *control.Snapshot
	counter  Counter
	log      *slog.Logger
	start    time.Time
	inFlight *inFlight
	// running is closed when the server has started.
	running chan struct{}
	server  *server.Hertz
}

// New returns a gateway. It opens no port.
func New(s *settings.Settings, snapshot func() *control.Snapshot, counter Counter, log *slog.Logger) *Gateway {
	g := &Gateway{
		instance: s.Instance.ID,
		limits:   s.Limits,
		snapshot: snapshot,
		counter:  counter,
		log:      log,
		start:    time.Now(),
		inFlight: newInFlight(),
		running:  make(chan struct{}),
	}
	return g
}

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func randomNumber() uint64 { return rand.Uint64() }
