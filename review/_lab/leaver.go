package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	leaverEdges   = 3
	leaverServers = 9
	leaverWork    = 40 * time.Millisecond
	leaverClients = 16
	leaverCycles  = 12
	leaversAtOnce = 3
	// frozenFor is how long a machine stands still, plus up to frozenJitter. leaveSpacing is the time between the removals of two entries.
	// The last one is removed leaveSpacing before the machine goes on.
	frozenFor    = 3400 * time.Millisecond
	frozenJitter = 600 * time.Millisecond
	leaveSpacing = 60 * time.Millisecond
	// drainTime is drainS. A server exits leaverExtra later.
	drainTime   = 2 * time.Second
	leaverExtra = 200 * time.Millisecond
	cyclePause  = 2700 * time.Millisecond
)

// frozenReader lets clients book through two machines while servers leave: their entries are removed, and they serve on for drainS and
// a little longer. The trouble is that a third machine, the leader of the zone, stands still for 3.4 to 4 s each time and goes on just after.
func frozenReader(w *world) (bool, error) {
	if err := w.startServers(leaverServers, leaverWork, leaverWork); err != nil {
		return false, err
	}
	if err := w.startEdges(leaverEdges); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range leaverClients {
		group.Go(func() { bookUntil(w, w.edges[1+i%2], i, stop) })
	}
	var left []*server
	for range leaverCycles {
		if w.trouble {
			w.note("SIGSTOP of %s", w.edges[0].id)
			w.edges[0].signal(syscall.SIGSTOP)
		}
		time.Sleep(frozenFor + rand.N(frozenJitter) - leaversAtOnce*leaveSpacing)
		for range leaversAtOnce {
			left = append(left, w.removeServer())
			time.Sleep(leaveSpacing)
		}
		if w.trouble {
			w.note("SIGCONT of %s", w.edges[0].id)
			w.edges[0].signal(syscall.SIGCONT)
		}
		for range leaversAtOnce {
			if err := w.addServer(serviceName, true, leaverWork, leaverWork); err != nil {
				return false, err
			}
		}
		time.Sleep(cyclePause)
	}
	close(stop)
	group.Wait()
	late := 0
	for _, s := range left {
		late += w.countLate(s)
	}
	w.note("%d requests reached a server later than %s after its entry was removed; the rule allows none", late, drainTime)
	return late > 0, nil
}

// bookUntil sends a booking after the other until stop is closed.
func bookUntil(w *world, e *edge, number int, stop chan struct{}) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		default:
		}
		c = w.ask(c, e, http.MethodPost, unsafePath+"2f", fmt.Sprintf("book%02d-%04d", number, n), func(reply, time.Duration, bool) {})
	}
}

// removeServer removes the entry of the oldest server, which serves on for drainTime and leaverExtra and then exits.
func (w *world) removeServer() *server {
	w.mu.Lock()
	s := w.servers[0]
	w.servers = w.servers[1:]
	w.store.remove(topicServers, s.id)
	s.leftAt = time.Now()
	w.mu.Unlock()
	w.note("the entry of %s is removed", s.id)
	time.AfterFunc(drainTime+leaverExtra, func() {
		w.note("%s exits", s.id)
		s.exit()
	})
	return s
}

// countLate counts the bookings that reached a server too late, and notes what became of them.
func (w *world) countLate(s *server) int {
	late := 0
	for _, r := range w.runs.onServer(s.id) {
		if after := r.at.Sub(s.leftAt); after > drainTime {
			late++
			w.note("%s reached %s %d ms after its entry was removed", r.id, s.id, after.Milliseconds())
		}
	}
	return late
}
