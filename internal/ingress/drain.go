package ingress

import (
	"fmt"
	"sync"
	"time"
)

// DrainUntil is like Drain, and tells when the process ends. From then on a request is sent to a target only if it can be
// expected to end before; the others are refused as not run, so that the caller can turn to another instance.
func (g *Gateway) DrainUntil(stop time.Duration) {
	g.stopAt.Store(int64(stop))
	g.Drain()
}

// DrainingError reports that a request was not sent because it would probably not end before the process does.
type DrainingError struct{ Needed, Left time.Duration }

func (e *DrainingError) Error() string {
	return fmt.Sprintf("the instance stops in %s, and the request may take %s", e.Left.Round(time.Millisecond), e.Needed.Round(time.Millisecond))
}

// checkTimeLeft returns a *DrainingError if the process stops before the request can be expected to end. Requests of a route take
// at most about as long as the slowest recent one. Without one, the request may take until its deadline.
func (g *Gateway) checkTimeLeft(call *call, now time.Duration) error {
	stop := time.Duration(g.stopAt.Load())
	if stop == 0 {
		return nil
	}
	needed, left := call.deadline-now, stop-now
	if slowest := g.durations.slowest(call.route.Name, now); slowest > 0 {
		needed = min(needed, slowest)
	}
	if needed <= left {
		return nil
	}
	return &DrainingError{needed, left}
}

// durations holds for each route about how long its slowest recent request took, from the sending to the end of the answer. It
// is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*slowestRequest
}

type slowestRequest struct {
	duration time.Duration
	seenAt   time.Duration
}

const (
	// slowestMargin is by how much longer than the slowest recent request another one may take.
	slowestMargin = 1.25
	// slowestLifetime is how long a slow request counts, unless there is a slower one.
	slowestLifetime = time.Minute
	// maxDurationRoutes limits the routes that are remembered. Beyond it, arbitrary ones are forgotten.
	maxDurationRoutes = 4096
)

// observe records how long a request of a route took.
func (d *durations) observe(route string, duration, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.byRoute[route]
	switch {
	case s == nil:
		d.add(route, &slowestRequest{duration, now})
	case duration >= s.duration || now-s.seenAt > slowestLifetime:
		*s = slowestRequest{duration, now}
	}
}

// add adds a route. The lock must be held.
func (d *durations) add(route string, s *slowestRequest) {
	if d.byRoute == nil {
		d.byRoute = map[string]*slowestRequest{}
	}
	for other := range d.byRoute {
		if len(d.byRoute) < maxDurationRoutes {
			break
		}
		delete(d.byRoute, other)
	}
	d.byRoute[route] = s
}

// slowest returns how long a request of a route may take, or 0 if that is unknown.
func (d *durations) slowest(route string, now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.byRoute[route]
	if s == nil || now-s.seenAt > slowestLifetime {
		return 0
	}
	return time.Duration(slowestMargin * float64(s.duration))
}
