// Package admin serves the admin listener: liveness, readiness, metrics and status.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/platform"
)

// Status is the answer to GET /status.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	// Revision is the revision in force, 0 before the first.
	Revision platform.Offset `json:"revision"`
	// Through is the offset of the last log record that is taken into account.
	Through platform.Offset `json:"through"`
	// Services maps each service in force to its revision.
	Services map[string]platform.Offset `json:"services"`
}

// Source is what the admin listener shows.
type Source struct {
	Instance string
	Zone     string
	Snapshot func() *control.Snapshot
	Ready    func() bool
	Metrics  http.Handler
}

// Server is the admin listener.
type Server struct {
	source Source
	server *server.Hertz
}

// New returns an admin listener on an address.
func New(address string, source Source) *Server {
	s := &Server{source: source, server: server.New(
		server.WithHostPorts(address),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)}
	s.server.GET("/livez", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "live\n") })
	s.server.GET("/readyz", s.ready)
	s.server.GET("/status", s.status)
	s.server.GET("/metrics", adaptor.HertzHandler(source.Metrics))
	return s
}

// Run serves until Shutdown.
func (s *Server) Run() error { return s.server.Run() }

// Shutdown stops the listener.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *Server) ready(_ context.Context, c *app.RequestContext) {
	if !s.source.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *Server) status(_ context.Context, c *app.RequestContext) {
	status := Status{
		Instance: s.source.Instance,
		Zone:     s.source.Zone,
		Ready:    s.source.Ready(),
		Services: map[string]platform.Offset{},
	}
	if snapshot := s.source.Snapshot(); snapshot != nil {
		status.Revision = snapshot.Revision
		status.Through = snapshot.Through
		for name, service := range snapshot.Services {
			status.Services[name] = service.Revision
		}
	}
	c.JSON(http.StatusOK, status)
}
