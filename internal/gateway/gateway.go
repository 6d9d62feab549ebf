// Package gateway accepts requests of callers, sends them to targets and returns
// the answers. Each request is served by one goroutine, which reads the snapshot
// of the control loop and never writes control state.
package gateway

import (
	"context"
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
}

// Gateway serves callers.
type Gateway struct {
	instance string
	limits   settings.Limits
	snapshot func() *control.Snapshot
	counter  Counter
	log      *slog.Logger
	start    time.Time
	server   *server.Hertz
}

// New returns a gateway that listens on the caller address of the settings.
func New(s *settings.Settings, snapshot func() *control.Snapshot, counter Counter, log *slog.Logger) *Gateway {
	g := &Gateway{
		instance: s.Instance.ID,
		limits:   s.Limits,
		snapshot: snapshot,
		counter:  counter,
		log:      log,
		start:    time.Now(),
	}
	g.server = server.New(
		server.WithHostPorts(s.Listen.Caller),
		server.WithMaxRequestBodySize(s.Limits.MaxRequestBodyBytes),
		server.WithMaxHeaderBytes(s.Limits.MaxHeaderBytes),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithSenseClientDisconnection(true),
		server.WithUseRawPath(true),
	)
	g.server.NoRoute(g.serve)
	return g
}

// Run serves until Shutdown.
func (g *Gateway) Run() error { return g.server.Run() }

// Shutdown stops accepting and waits for the requests in flight until the context ends.
func (g *Gateway) Shutdown(ctx context.Context) error { return g.server.Shutdown(ctx) }

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func randomNumber() uint64 { return rand.Uint64() }
