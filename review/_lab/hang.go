package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lookupWork is how long a server takes for a lookup that it has in its cache, and longBookingWork how long it takes for a booking.
	lookupWork      = 300 * time.Microsecond
	longBookingWork = 160 * time.Millisecond
	lookupServers   = 4
	// lookupClients and steadyBookers are the numbers of clients of both machines together. A booker sends its next booking when it has
	// the answer to the last one, so that about 9 of the 16 slots of the servers are taken.
	lookupClients = 6
	steadyBookers = 9
	// waveInterval is the time between two lookups of a client. All clients send at the same time.
	waveInterval = 100 * time.Millisecond
	// lookupDeadline is what clients send as X-Deadline-Ms.
	lookupDeadline = 2 * time.Second
	// routeTimeout is timeoutS of the routes, and answerSlack how long after it the rule still accepts an answer.
	routeTimeout = 1200 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// killAfter is the time from the first lookup to the kill, killedFor the pause until the platform starts that process again,
	// restartAfter the pause after other ends, and lookupTime the time during which clients send lookups.
	killAfter    = 8 * time.Second
	killedFor    = 3 * time.Second
	restartAfter = time.Second
	lookupTime   = 20 * time.Second
)

// lookups collects what the clients of one machine saw.
type lookups struct {
	answered, refused, unansweredAtTimeout, unansweredLater int
	// cutOff counts the requests on kept connections that a server ran and whose connection ended without an answer.
	cutOff int
}

// hangAfterKill lets clients of the two machines that do not lead their zones send bookings and lookups. The trouble is one SIGKILL of
// the leader of zone padova-a. The platform starts its process again.
func hangAfterKill(w *world) (bool, error) {
	if err := w.startServers(lookupServers, lookupWork, longBookingWork); err != nil {
		return false, err
	}
	// The first machine of a zone by name leads it, so the third and the fourth lead none.
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var mu sync.Mutex
	seen := map[*edge]*lookups{w.edges[1]: {}}
	end := time.Now().Add(lookupTime)
	var group sync.WaitGroup
	for i := range lookupClients {
		group.Go(func() {
			e := w.edges[1]
			keptConnection(w, e, end, i, func(r reply, took time.Duration, keptAndRan bool) {
				mu.Lock()
				defer mu.Unlock()
				seen[e].add(r, took, keptAndRan)
			})
		})
	}
	for i := range steadyBookers {
		group.Go(func() {
			e := w.edges[1]
			keepBooking(w, e, end, i, func(r reply, took time.Duration, keptAndRan bool) {
				mu.Lock()
				defer mu.Unlock()
				seen[e].add(r, took, keptAndRan)
			})
		})
	}
	if w.trouble {
		time.Sleep(killAfter)
		if err := w.killAndRestart(w.edges[0], killedFor); err != nil {
			return false, err
		}
	}
	group.Wait()
	broken := false
	for e, l := range seen {
		w.note("%s, never disturbed, running %t, ready %t: %d answered, %d refused, %d unanswered at timeoutS, of these %d had no answer %s later; %d cut off",
			e.id, e.running(), e.running() && e.ready(), l.answered, l.refused, l.unansweredAtTimeout, l.unansweredLater, answerSlack, l.cutOff)
		hung := l.unansweredLater >= 8 && 2*l.unansweredLater > l.unansweredAtTimeout
		// The process can end by itself instead of hanging, which counts as running. The rule then is LOST.
		ended := !e.running() && l.cutOff > allowedLosses
		broken = broken || hung || ended
	}
	return broken, nil
}

func (l *lookups) add(r reply, took time.Duration, keptAndRan bool) {
	if r.err != nil && keptAndRan && took < lookupDeadline {
		l.cutOff++
	}
	switch {
	case r.err == nil && r.status == http.StatusOK:
		l.answered++
	case r.err == nil:
		l.refused++
	}
	if took >= routeTimeout {
		l.unansweredAtTimeout++
	}
	if r.err != nil && took >= routeTimeout+answerSlack {
		l.unansweredLater++
	}
}

// keptConnection sends a lookup to a machine in each wave until the end, on a connection that it keeps.
func keptConnection(w *world, e *edge, end time.Time, number int, report func(r reply, took time.Duration, keptAndRan bool)) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(waveInterval - time.Since(w.started)%waveInterval)
		c = w.ask(c, e, http.MethodGet, safePath+"2f", fmt.Sprintf("look%02d-%03d", number, n), report)
	}
	if c != nil {
		c.close()
	}
}

// keepBooking sends a booking after the other until the end.
func keepBooking(w *world, e *edge, end time.Time, number int, report func(r reply, took time.Duration, keptAndRan bool)) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		c = w.ask(c, e, http.MethodPost, unsafePath+"2f", fmt.Sprintf("book%02d-%03d", number, n), report)
	}
	if c != nil {
		c.close()
	}
}

// ask sends a request on a connection, or on a new one if there is none. It returns the connection if it can be used again.
func (w *world) ask(c *client, e *edge, method, path, id string, report func(r reply, took time.Duration, keptAndRan bool)) *client {
	kept := c != nil
	if c == nil {
		var err error
		if c, err = dial(e.front()); err != nil {
			w.note("%s cannot connect to %s: %v", id, e.id, err)
			time.Sleep(waveInterval)
			return nil
		}
	}
	sentAt := time.Now()
	r := c.do(method, path, id, lookupDeadline)
	took := time.Since(sentAt)
	runs := len(w.runs.of(id))
	w.note("%s sent to %s, after %4d ms %s, ran %d times", id, e.id, took.Milliseconds(), r, runs)
	report(r, took, kept && runs > 0)
	if r.err != nil || r.closing {
		c.close()
		return nil
	}
	return c
}

// killAndRestart kills the process of a machine and starts it again after a pause.
func (w *world) killAndRestart(e *edge, pause time.Duration) error {
	w.note("SIGKILL of %s", e.id)
	e.signal(syscall.SIGKILL)
	<-e.exited
	time.Sleep(pause)
	w.note("%s starts again", e.id)
	return e.start()
}
