package edge

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/platform"
)

// shutdownTimeout bounds the shutdown of the readiness server. Its requests need not be completed.
const shutdownTimeout = 100 * time.Millisecond

// MetricsPath is the path of the metrics on the readiness address.
const MetricsPath = "/metrics"

// readiness serves the readiness check of the platform's balancer, and the metrics.
type readiness struct {
	address string
	isReady func() bool
	metrics http.Handler
	// draining makes the readiness check fail.
	draining atomic.Bool
	requests *inbound.HandlerFactory
	server   *server.Hertz
}

func newReadiness(listen settings.EdgeListen, isReady func() bool, metrics http.Handler, log *slog.Logger) *readiness {
	requests := &inbound.HandlerFactory{Limits: inbound.HandlerLimits, Log: log, MaxConnections: listen.MaxReadinessConnections}
	return &readiness{address: listen.Readiness, isReady: isReady, metrics: metrics, requests: requests}
}

// open starts to listen.
func (r *readiness) open() error {
	listener := &inbound.Listener{Address: r.address}
	if err := listener.Open(); err != nil {
		return err
	}
	r.server = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(inbound.ContextWithSocket),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
	)
	r.server.AddProtocol(suite.HTTP1, r.requests)
	r.server.GET(platform.ReadinessPath, r.answerCheck)
	r.server.GET(MetricsPath, adaptor.HertzHandler(r.metrics))
	return nil
}

// run serves until the server fails.
func (r *readiness) run() error { return r.server.Run() }

// startDraining makes the readiness check fail, so that the balancer sends no new connections.
func (r *readiness) startDraining() { r.draining.Store(true) }

// answerCheck answers a readiness check with status 200 or 503.
func (r *readiness) answerCheck(_ context.Context, c *app.RequestContext) {
	if r.draining.Load() || !r.isReady() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
