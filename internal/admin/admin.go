// Package admin serves the admin listener: liveness, readiness, metrics, status
// and explanations of routing decisions.
package admin

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/logservice"
)

// shutdownTimeout is how long Shutdown waits for requests in flight. No admin request is worth a longer wait.
const shutdownTimeout = time.Second

// Status is the body of an answer to GET /status.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// State is the state of the instance: starting, ready, draining or stopped.
	State string `json:"state"`
	Ready bool   `json:"ready"`
	// InFlight is the number of requests from callers that are being served.
	InFlight int64 `json:"in_flight"`
	// Revision is the revision in force, 0 while there is none.
	Revision logservice.Offset `json:"revision"`
	// AppliedOffset is the offset of the last log record that has been applied.
	AppliedOffset logservice.Offset `json:"through"`
	// Services maps each service in force to its revision.
	Services map[string]logservice.Offset `json:"services"`
	// Configuration is the state of the configuration: none, in_force, stale or cut_off.
	Configuration string `json:"configuration"`
	// Departed lists the addresses of the targets that receive no requests because they have departed.
	Departed []string `json:"departed"`
	// Members is the number of known instances by state, including this one.
	Members map[string]int `json:"members"`
}

// Source provides the data that the admin listener serves. Its functions must be safe for concurrent use.
type Source struct {
	Instance string
	Zone     string
	State    func() string
	InFlight func() int64
	Snapshot func() *control.Snapshot
	// Members returns the number of known instances by state. If it is nil, the status contains no members and no
	// configuration.
	Members func() map[string]int
	// Configuration returns the state of the configuration. It must not be nil unless Members is.
	Configuration func() string
	Ready         func() bool
	Metrics       http.Handler
}

// Server serves the admin listener.
type Server struct {
	address  string
	source   Source
	requests *inbound.HandlerFactory
	server   *server.Hertz
}

// New returns a server for address that keeps at most maxConnections connections. It does not open the listener; call Listen and
// then Run.
func New(address string, maxConnections int, source Source, log *slog.Logger) *Server {
	requests := &inbound.HandlerFactory{Limits: inbound.HandlerLimits, Log: log, MaxConnections: maxConnections}
	return &Server{address: address, source: source, requests: requests}
}

// ClosedConnections counts the connections that were closed at the limit.
func (s *Server) ClosedConnections() inbound.ClosedCounts { return s.requests.ClosedConnections() }

// Panics returns the number of requests whose handling panicked.
func (s *Server) Panics() int64 { return s.requests.Panics() }

// Listen opens the listener and registers the handlers.
func (s *Server) Listen() error {
	listener := &inbound.Listener{Address: s.address}
	if err := listener.Open(); err != nil {
		return trace.Wrap(err)
	}
	s.server = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(inbound.ContextWithSocket),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
	)
	s.server.AddProtocol(suite.HTTP1, s.requests)
	s.server.GET("/livez", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "live\n") })
	s.server.GET("/readyz", s.handleReady)
	s.server.GET("/status", s.handleStatus)
	s.server.GET("/explain", s.handleExplain)
	s.server.GET("/metrics", adaptor.HertzHandler(s.source.Metrics))
	return nil
}

// Run serves until Shutdown is called. Listen must be called before.
func (s *Server) Run() error { return s.server.Run() }

// Shutdown closes the listener and waits at most shutdownTimeout for requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// handleReady reports whether callers may send requests to this instance. It is separate from liveness, because an
// instance must not be restarted only because it is not ready.
func (s *Server) handleReady(_ context.Context, c *app.RequestContext) {
	if !s.source.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", s.source.State())
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *Server) handleStatus(_ context.Context, c *app.RequestContext) {
	status := Status{
		Instance: s.source.Instance,
		Zone:     s.source.Zone,
		State:    s.source.State(),
		Ready:    s.source.Ready(),
		InFlight: s.source.InFlight(),
		Services: map[string]logservice.Offset{},
	}
	if s.source.Members != nil {
		status.Members = s.source.Members()
		status.Configuration = s.source.Configuration()
	}
	if snapshot := s.source.Snapshot(); snapshot != nil {
		status.Departed = snapshot.Departed
		status.Revision = snapshot.Revision
		status.AppliedOffset = snapshot.AppliedOffset
		for name, service := range snapshot.Services {
			status.Services[name] = service.Revision
		}
	}
	c.JSON(http.StatusOK, status)
}
