package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	addedEdges   = 12
	addedServers = 8
	addedWork    = 60 * time.Millisecond
	// addedPeriod is the time between two requests to one machine on one route.
	addedPeriod = 200 * time.Millisecond
	// addedSettle is the time from the acknowledgement of the new configuration to the first request: configApplyS and stabilityWindowS.
	addedSettle = 5 * time.Second
	addedTime   = 15 * time.Second
	// minAddedRequests is how many requests on added routes the rule asks for, and minServedRatio how often they are to be served,
	// compared with those on the first routes.
	minAddedRequests = 20
	minServedRatio   = 0.25
)

// share counts the requests on a route and those that were served.
type share struct{ sent, served int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// addedRoute sends requests at the same rate to all machines, on a route that was there from the start. The trouble is a configuration
// that adds a route to a service whose servers do not tell their load, and requests on it at the same rate.
func addedRoute(w *world) (bool, error) {
	w.zones = []string{"padova-a", "verona-b"}
	for range addedServers {
		if err := w.addServer(quietServiceName, false, addedWork, addedWork); err != nil {
			return false, err
		}
	}
	if err := w.startServers(addedServers, addedWork, addedWork); err != nil {
		return false, err
	}
	if err := w.startEdges(addedEdges); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	paths := []string{safePath}
	if w.trouble {
		w.putConfig(secondVersion, true)
		w.note("configuration %08x is acknowledged: it adds the route %s", secondVersion, addedPath)
		paths = append(paths, addedPath)
	}
	time.Sleep(addedSettle)
	var mu sync.Mutex
	byPath, byEdge := map[string]share{}, map[string]share{}
	var group sync.WaitGroup
	end := time.Now().Add(addedTime)
	for i, e := range w.edges {
		for _, path := range paths {
			group.Go(func() {
				time.Sleep(time.Duration(i) * addedPeriod / addedEdges)
				sendSteadily(w, e, path, end, func(r reply) {
					mu.Lock()
					defer mu.Unlock()
					byPath[path] = byPath[path].plus(r)
					byEdge[e.id+" "+path] = byEdge[e.id+" "+path].plus(r)
				})
			})
		}
	}
	group.Wait()
	for _, path := range paths {
		for _, e := range w.edges {
			s := byEdge[e.id+" "+path]
			w.note("%s %s: %d sent, %d served", e.id, path, s.sent, s.served)
		}
	}
	first, added := byPath[safePath], byPath[addedPath]
	w.note("first route: %d of %d served, added route: %d of %d served", first.served, first.sent, added.served, added.sent)
	return added.sent >= minAddedRequests && added.ratio() < minServedRatio*first.ratio(), nil
}

// plus counts a request.
func (s share) plus(r reply) share {
	s.sent++
	if r.err == nil && r.status == http.StatusOK {
		s.served++
	}
	return s
}

// sendSteadily sends a request to a machine in each period until the end, on a connection that it keeps.
func sendSteadily(w *world, e *edge, path string, end time.Time, report func(reply)) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		next := time.Now().Add(addedPeriod)
		id := fmt.Sprintf("%s%s-%03d", e.id, path[:5], n)
		c = w.ask(c, e, http.MethodGet, path+"2f", id, func(r reply, _ time.Duration, _ bool) { report(r) })
		time.Sleep(time.Until(next))
	}
	if c != nil {
		c.close()
	}
}
