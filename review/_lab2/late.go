package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/routes"
)

func init() { cases["late"] = runLate }

const (
	heartbeatInterval = 1500 * time.Millisecond
	// lateAfter is how long after it was sent the lost heartbeat is executed.
	lateAfter = 5900 * time.Millisecond
	// leaveAfter is how long after the lost heartbeat the server leaves: more than stabilityWindowS.
	leaveAfter = 3800 * time.Millisecond
	// drainTime is drainS, and expiry the time of silence after which the store removes an entry.
	drainTime = 2 * time.Second
	expiry    = 3 * heartbeatInterval
	// stability is stabilityWindowS.
	stability  = 3 * time.Second
	lateLength = 20 * time.Second
	// coldTime is how long a server is slow after its start, and startAfter when the server that leaves starts.
	coldTime   = 3 * time.Second
	startAfter = 5 * time.Second
)

// runLate lets a server leave after one of its heartbeats got no answer. The store executes that heartbeat after the server's
// entry has been removed.
func runLate(l *lab) verdict {
	arrived := &arrivals{byID: map[string]string{}}
	var servers []*server
	for i := range 4 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "desk", "north-a", 6, 50*time.Millisecond)
		if err != nil {
			l.logf("%v", err)
			return notRun
		}
		handler := arrived.wrap(s, *s.handler.Load())
		s.handler.Store(&handler)
		servers = append(servers, s)
	}
	l.register(servers[1:])
	leaver := servers[0]
	l.store.PutConfig(&routes.Config{
		Version: 1, Services: []routes.Service{{Name: "desk", HealthPath: "/health", MaxConnections: 250}},
		Routes: []routes.Route{{
			Name: "reserve", Host: host, PathPrefix: "/reserve/", Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond,
			Priority: 1, MaxAttempts: 2, Split: []routes.Share{{Service: "desk", Weight: 1}},
		}},
	})
	if err := l.startNodes("north-a", "north-a", "north-a"); err != nil {
		l.logf("%v", err)
		return notRun
	}
	l.logf("traffic starts: 12 clients reserve")
	trafficAt := time.Now()
	var all exchanges
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &caller{lab: l, node: i % len(l.nodes)}
			defer c.close()
			for time.Since(trafficAt) < lateLength {
				all.add(c.send(http.MethodPost, "/reserve/x", 1500*time.Millisecond))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	goneAt, lateAt := l.leave(leaver)
	wait.Wait()
	return l.judgeDrain(&all, arrived, leaver, goneAt, lateAt)
}

// leave starts a server, sends its heartbeats until it leaves, and does what the store does. The heartbeats up to the third change
// the rest of the time for which the server is slow, and so the entry; the store records no others. It returns when the removal of
// the entry was acknowledged, and when the late heartbeat was executed.
func (l *lab) leave(s *server) (goneAt, lateAt time.Duration) {
	time.Sleep(startAfter)
	s.born = time.Now().UnixMilli()
	s.heartbeat(l.store, 1, coldTime)
	l.logf("%s starts: heartbeat 1, slow for another %s", s.id, coldTime)
	time.Sleep(heartbeatInterval)
	lostAt := time.Now()
	if l.trouble {
		l.logf("%s sends heartbeat 2; the store does not answer and has not executed it yet", s.id)
	} else {
		s.heartbeat(l.store, 2, coldTime-heartbeatInterval)
	}
	time.Sleep(heartbeatInterval)
	s.heartbeat(l.store, 3, 0)
	l.logf("the store executes and answers heartbeat 3 of %s; heartbeat 4 changes only the sequence", s.id)
	time.Sleep(leaveAfter - time.Since(lostAt))
	l.store.DropTarget(s.id)
	goneAt = time.Since(l.started)
	l.logf("%s leaves: the removal of its entry is acknowledged; it goes on to serve", s.id)
	time.Sleep(lateAfter - time.Since(lostAt))
	lateAt = time.Since(l.started)
	if l.trouble {
		s.heartbeat(l.store, 2, coldTime-heartbeatInterval)
		l.logf("the store executes heartbeat 2 of %s, %s after it was sent", s.id, lateAfter)
	}
	time.Sleep(expiry)
	l.store.DropTarget(s.id)
	l.logf("the store removes the entry of %s after three heartbeat intervals of silence", s.id)
	return goneAt, lateAt
}

// judgeDrain counts the requests that reached a server and that clients sent later than drainTime after it had left, and those of
// them that were sent later than the stability window after the late write.
func (l *lab) judgeDrain(all *exchanges, arrived *arrivals, s *server, goneAt, lateAt time.Duration) verdict {
	late, settled := 0, 0
	var first, last time.Duration
	for _, e := range all.list {
		if e.sentAt <= goneAt+drainTime || arrived.serverOf(e.id) != s.id {
			continue
		}
		if late++; late == 1 {
			first = e.sentAt
		}
		first, last = min(first, e.sentAt), max(last, e.sentAt)
		if e.sentAt > lateAt+stability {
			settled++
		}
	}
	l.logf("%d requests reached %s that were sent later than %s after it had left, from %.3f s to %.3f s; %d of them later than %s after the late write",
		late, s.id, drainTime, first.Seconds(), last.Seconds(), settled, stability)
	if settled > 0 {
		return broken
	}
	return held
}
