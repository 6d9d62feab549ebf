package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/routes"
)

func init() { cases["burst"] = runBurst }

const (
	routeTimeout   = time.Second
	clientDeadline = 3 * time.Second
	host           = "desk.example"
)

// The burst is the strongest one of the site file, and the rule is applied to requests that were sent later than settleTime
// after its end, when no machine counts as slowed any more.
const (
	burstAt     = 5 * time.Second
	burstFor    = 2700 * time.Millisecond
	burstFactor = 1.8
	settleTime  = 5 * time.Second
	burstLength = 24 * time.Second
	// thinkTime is the mean pause of a client between an answer and its next request.
	thinkTime = 20 * time.Millisecond
)

// runBurst lets the traffic of all clients grow for a few seconds.
func runBurst(l *lab) verdict {
	var servers []*server
	for i := range 2 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "desk", "north-a", 4, 2*time.Millisecond)
		if err != nil {
			l.logf("%v", err)
			return notRun
		}
		servers = append(servers, s)
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.heartbeats(servers, stop)
	l.store.PutConfig(&routes.Config{
		Version:  1,
		Services: []routes.Service{{Name: "desk", HealthPath: "/health", MaxConnections: 250}},
		Routes: []routes.Route{{
			Name: "lookup", Host: host, PathPrefix: "/lookup/", Idempotent: true, Timeout: routeTimeout,
			LatencyObjective: 250 * time.Millisecond, Priority: 1, MaxAttempts: 2, Split: []routes.Share{{Service: "desk", Weight: 1}},
		}},
	})
	if err := l.startNodes("north-a", "north-a", "north-a"); err != nil {
		l.logf("%v", err)
		return notRun
	}
	time.Sleep(4 * time.Second)
	var all exchanges
	trafficAt := time.Since(l.started)
	l.logf("traffic starts: 24 clients, each pauses %s on average after an answer", thinkTime)
	if l.trouble {
		l.logf("between %s and %s after that the pauses are shorter by the factor %.1f", burstAt, burstAt+burstFor, burstFactor)
	}
	var wait sync.WaitGroup
	for i := range 24 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &caller{lab: l, node: i % len(l.nodes)}
			defer c.close()
			for {
				since := time.Since(l.started) - trafficAt
				if since > burstLength {
					return
				}
				pause := float64(thinkTime)
				if l.trouble && since > burstAt && since < burstAt+burstFor {
					pause /= burstFactor
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * pause))
				all.add(c.send(http.MethodGet, "/lookup/x", clientDeadline))
			}
		}()
	}
	wait.Wait()
	return l.judgeTimeouts(&all, trafficAt)
}

// judgeTimeouts applies the rule CONFIG on requests that are unanswered at their route's timeout to each node.
func (l *lab) judgeTimeouts(all *exchanges, from time.Duration) verdict {
	result := held
	for node, n := range l.nodes {
		sent, answered := map[int]int{}, map[int]int{}
		late, stuck := 0, 0
		for _, e := range all.list {
			if e.node != node {
				continue
			}
			second := int((e.sentAt - from).Seconds())
			sent[second]++
			if e.status == http.StatusOK {
				answered[second]++
			}
			if e.sentAt-from < burstAt+burstFor+settleTime || e.took < routeTimeout {
				continue
			}
			late++
			if e.took >= routeTimeout+500*time.Millisecond {
				stuck++
			}
		}
		for second := range int(burstLength.Seconds()) {
			l.logf("%s second %d: %d sent, %d answered with 200", n.id, second, sent[second], answered[second])
		}
		l.logf("%s: later than %s after the burst, %d requests were unanswered at timeoutS, %d of them without an answer 0.5 s later; "+
			"its readiness check succeeds: %t", n.id, settleTime, late, stuck, n.ready())
		if late >= minLateRequests && 2*stuck > late {
			result = broken
		}
	}
	return result
}

// minLateRequests is the least number of unanswered requests that the rule is applied to.
const minLateRequests = 8
