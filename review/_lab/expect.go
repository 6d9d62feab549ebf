package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bookingClients  = 30
	bookingBody     = "slot=18%3A30&family=204&bank=padova-centro"
	bookingWork     = 60 * time.Millisecond
	bookingDeadline = 1200 * time.Millisecond
	bookingSpacing  = 40 * time.Millisecond
	// longIdle is within the idle time after which clients reuse a connection: four fifths of idleTimeoutS, 12 s.
	longIdle  = 11 * time.Second
	shortIdle = time.Second
	// continueWait is how long clients wait for the interim answer before they send the body without it.
	continueWait = 300 * time.Millisecond
	// allowedDenials and allowedDenialShare are the limits of the rule.
	allowedDenials     = 5
	allowedDenialShare = 500
)

// expectAfterIdle lets clients send two bookings on a kept connection, with Expect: 100-continue. The trouble is the idle time between
// the two, 11 s instead of 1 s.
func expectAfterIdle(w *world) (bool, error) {
	if err := w.startServers(6, bookingWork, bookingWork); err != nil {
		return false, err
	}
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	idle := shortIdle
	if w.trouble {
		idle = longIdle
	}
	var denied, answered, sent atomic.Int64
	var group sync.WaitGroup
	for i := range bookingClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * bookingSpacing)
			c, err := dial(w.edges[i%len(w.edges)].front())
			if err != nil {
				w.note("client %d: %v", i, err)
				return
			}
			defer c.close()
			for round := range 2 {
				id := fmt.Sprintf("book%02d-%d", i, round)
				sent.Add(1)
				r := c.bookWithExpect(id)
				w.note("%s: %s, ran %d times", id, r, len(w.runs.of(id)))
				switch {
				case r.err == nil && r.status == http.StatusOK:
					answered.Add(1)
				case r.err == nil && isDenial(r.status):
					denied.Add(1)
				}
				if r.err != nil || r.closing {
					return
				}
				if round == 0 {
					time.Sleep(idle)
				}
			}
		})
	}
	group.Wait()
	allowed := allowedDenials + sent.Load()/allowedDenialShare
	w.note("%d bookings, %d answered with 200, %d denied with a 4xx of the load balancer; the rule allows %d", sent.Load(), answered.Load(), denied.Load(), allowed)
	return denied.Load() > allowed, nil
}

// isDenial reports whether the rule counts a status as a denial.
func isDenial(status int) bool {
	return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
}

// bookWithExpect sends a booking with Expect: 100-continue.
func (c *client) bookWithExpect(id string) reply {
	start := time.Now()
	request := head(http.MethodPost, unsafePath+"2f", id, bookingDeadline, fmt.Sprintf("Content-Length: %d", len(bookingBody)), "Expect: 100-continue")
	if _, err := io.WriteString(c.conn, request); err != nil {
		return reply{err: err}
	}
	const interim = "HTTP/1.1 100"
	_ = c.conn.SetReadDeadline(start.Add(continueWait))
	if b, err := c.reader.Peek(len(interim)); err == nil && string(b) != interim {
		// A final answer came first, so the body is not sent.
		return c.readReply(start.Add(bookingDeadline))
	}
	if _, err := io.WriteString(c.conn, bookingBody); err != nil {
		return reply{err: err}
	}
	return c.readReply(start.Add(bookingDeadline))
}
