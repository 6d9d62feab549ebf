package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
)

// The bound on the requests to a cold target: coldWarmupRate x coldBounds.Overage + coldBounds.Slack in each second.
const coldWarmupRate = 5

var coldBounds = credit.Bounds{Window: time.Second, Overage: 0.5, Slack: 8}

// coldFleet is a fleet in virtual time whose instances send requests to targets that turn cold.
type coldFleet struct {
	*creditFleet
	prober *coldProber

	arrivalsMu sync.Mutex
	// arrivals are the times at which requests reached t0.
	arrivals []time.Duration
	refused  int
}

func startColdFleet(t *testing.T, count int, seed uint64) *coldFleet {
	t.Helper()
	f := &coldFleet{prober: &coldProber{until: map[string]time.Time{}}, creditFleet: &creditFleet{
		t: t, startedAt: time.Now(), nodes: make([]*Node, count), stops: make([]func(), count), idle: map[int]bool{}, resumes: map[int]func(){},
		net:   &virtualNet{random: rand.New(rand.NewPCG(seed, 23)), nodes: map[string]*Node{}, partitioned: map[string]bool{}, lossRate: 0.01},
		store: &virtualStore{era: 1},
	}}
	f.store.update(func() { f.store.appendOperator(operatorRecord{config: limitedConfig()}) })
	for i := range scheduleTargets {
		f.store.append(targetEntry(i, false).ID, targetEntry(i, false))
	}
	for i := range count {
		f.startCold(i)
	}
	return f
}

func (f *coldFleet) startCold(i int) {
	self := discovery.Member{ID: address(i), Zone: targetEntry(i%creditZones, false).Zone, Address: address(i), Capacity: testCapacity}
	seeds := []string{"10.0.0.1", "10.0.1.2", "10.0.2.3"}
	f.nodes[i], f.stops[i] = startVirtualNode(f.net, f.store, self, seeds, slog.New(slog.DiscardHandler), func(c *Config) {
		c.Prober = f.prober
		c.CreditBounds = map[credit.Kind]credit.Bounds{credit.ColdTarget: coldBounds}
	})
}

// send sends one request from an instance.
func (f *coldFleet) send(n *Node) {
	pool := n.View().Pools["s"]
	r := &dispatch.Request{Route: "r", Objective: 600 * time.Millisecond, Arrived: n.Now(), Deadline: n.Now() + 2500*time.Millisecond}
	for {
		d := pool.Acquire(context.Background(), r)
		if d.Target == nil {
			f.arrivalsMu.Lock()
			f.refused++
			f.arrivalsMu.Unlock()
			return
		}
		if !pool.AcceptsDecision(d) {
			pool.Release(r, d, dispatch.DoneInfo{Result: dispatch.Cancelled, NotReached: true})
			continue
		}
		if d.Target.ID == "t0" {
			f.arrivalsMu.Lock()
			f.arrivals = append(f.arrivals, f.now())
			f.arrivalsMu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
		pool.Release(r, d, dispatch.DoneInfo{Result: dispatch.Answered})
		return
	}
}

// demand makes all instances that are not idle send requests until a time since the start.
func (f *coldFleet) demand(interval, until time.Duration) {
	for f.now() < until {
		for i, n := range f.nodes {
			if !f.isIdle(i) {
				go f.send(n)
			}
		}
		time.Sleep(interval)
	}
}

// Guards against more requests to a cold target than it tolerates, or none at all, where the whole chain works together: health answers,
// reports between instances, the owner's lease and ledger, the credits of each instance. The owner is killed and an instance is cut off
// meanwhile.
func TestColdTargetGetsCreditsOfTheFleet(t *testing.T) {
	const coldFrom, coldTime = 10 * time.Second, 12 * time.Second
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := startColdFleet(t, 9, seed)
			time.Sleep(8 * time.Second)
			// 9 instances send 225 requests a second to 8 targets, which tolerate 40 while all are cold.
			go f.demand(40*time.Millisecond, coldFrom+coldTime)
			time.Sleep(coldFrom - f.now())
			for i := range scheduleTargets {
				f.prober.turnCold(targetEntry(i, false).ID, coldTime)
			}
			time.Sleep(4 * time.Second)
			f.net.setPartitioned(address(4), true)
			for i, n := range f.nodes {
				if n.CreditStats().Owns {
					f.kill(i)
				}
			}
			time.Sleep(coldFrom + coldTime - f.now())
			f.setIdle(0, true)
			time.Sleep(3 * time.Second)
			for i, stop := range f.stops {
				if f.stops[i] != nil {
					stop()
				}
			}
			time.Sleep(time.Minute)
			f.arrivalsMu.Lock()
			defer f.arrivalsMu.Unlock()
			// Requests of before the first health answer that tells of the coldness count too: nobody could know.
			most, total, busiest := 0, 0, time.Duration(0)
			for i, from := range f.arrivals {
				if from < coldFrom || from >= coldFrom+coldTime {
					continue
				}
				total++
				n := 0
				for _, at := range f.arrivals[i:] {
					if at < from+time.Second && at < coldFrom+coldTime {
						n++
					}
				}
				if n > most {
					most, busiest = n, from-coldFrom
				}
			}
			bound := coldWarmupRate*(1+coldBounds.Overage) + coldBounds.Slack
			t.Logf("seed %d: busiest second %d of %.1f, from %s on, %d requests in all, %d refused", seed, most, bound, busiest, total, f.refused)
			if float64(most) > bound || total < 12 {
				t.Errorf("seed %d: busiest second %d of %.1f, %d requests in all", seed, most, bound, total)
			}
		})
	}
}
