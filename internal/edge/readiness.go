package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/basillink/basillink/platform"
)

// exitWait bounds the end of the readiness listener, which carries no request worth waiting for.
const exitWait = 100 * time.Millisecond

// MetricsPath serves the metrics on the readiness address.
const MetricsPath = "/metrics"

// readiness tells the platform's balancer whether this instance accepts callers.
type readiness struct {
	address string
	isReady func() bool
	metrics http.Handler
	leaving atomic.Bool
	server  *server.Hertz
}

func newReadiness(address string, isReady func() bool, metrics http.Handler) *readiness {
	return &readiness{address: address, isReady: isReady, metrics: metrics}
}

func (r *readiness) open() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(exitWait),
	)
	r.server.GET(platform.ReadinessPath, r.answer)
	r.server.GET(MetricsPath, adaptor.HertzHandler(r.metrics))
	return nil
}

func (r *readiness) run() error { return r.server.Run() }

// leave makes the balancer send no further connections.
func (r *readiness) leave() { r.leaving.Store(true) }

func (r *readiness) answer(_ context.Context, c *app.RequestContext) {
	if r.leaving.Load() || !r.isReady() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
