package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
)

// coldModel runs the pools of several instances with the same targets and one owner of the credits, without a network.
type coldModel struct {
	now     func() time.Duration
	random  *rand.Rand
	pools   []*Pool
	targets []registry.Target
	// workTime is how long a warm target works on a request.
	workTime time.Duration

	mu sync.Mutex
	// coldFrom and coldUntil are the time in which each target is cold.
	coldFrom, coldUntil map[string]time.Duration
	// arrivals are the times at which requests reached each target while it was cold.
	arrivals map[string][]time.Duration
	running  map[string]int
	served   int
	refused  map[*reason.Reason]int
	// lateRefusals counts the refusals later than the latency objective.
	lateRefusals int
}

const (
	coldModelSlots = 6
	// coldOverage and coldSlack are what the platform tolerates beyond the rate of a cold target.
	coldOverage = 1.5
	coldSlack   = 8
)

func newColdModel(now func() time.Duration, seed uint64, instances, outOfTouch, targets int) *coldModel {
	m := &coldModel{
		now: now, random: rand.New(rand.NewPCG(seed, 7)), workTime: 220 * time.Millisecond, coldFrom: map[string]time.Duration{},
		coldUntil: map[string]time.Duration{}, arrivals: map[string][]time.Duration{}, running: map[string]int{}, refused: map[*reason.Reason]int{},
	}
	for i := range targets {
		r := target(fmt.Sprintf("t%02d", i), "a")
		r.Slots = coldModelSlots
		m.targets = append(m.targets, r)
	}
	owner := newFakeOwner(now)
	for i := range instances {
		var source credit.Source = owner
		if i < outOfTouch {
			source = unreachableOwner{}
		}
		p := newColdPool(source, now, m.targets...)
		p.random = rand.New(rand.NewPCG(seed, uint64(i)))
		p.SetInstances(instances, true)
		m.pools = append(m.pools, p)
	}
	return m
}

// turnCold makes a target cold. Its health answers tell all instances after up to 120 ms.
func (m *coldModel) turnCold(id string, length time.Duration) {
	m.mu.Lock()
	m.coldFrom[id], m.coldUntil[id] = m.now(), m.now()+length
	until := m.coldUntil[id]
	m.mu.Unlock()
	probed := time.Duration(m.random.Int64N(int64(100 * time.Millisecond)))
	for _, p := range m.pools {
		time.AfterFunc(probed+time.Duration(m.random.Int64N(int64(20*time.Millisecond))), func() { p.MarkCold(id, until) })
	}
}

// probe tells all instances the load of all targets every 50 ms until a time.
func (m *coldModel) probe(until time.Duration) {
	for m.now() < until {
		time.Sleep(50 * time.Millisecond)
		for _, r := range m.targets {
			m.mu.Lock()
			running := m.running[r.ID]
			m.mu.Unlock()
			for _, p := range m.pools {
				p.report(running, r)
			}
		}
	}
}

// send sends one request from an instance and records where it arrives.
func (m *coldModel) send(p *Pool) {
	r := coldRequest(p)
	for {
		d := p.Acquire(context.Background(), r)
		if d.Target == nil {
			m.mu.Lock()
			m.refused[d.Refusal]++
			if p.now() > r.Arrived+r.Objective {
				m.lateRefusals++
			}
			m.mu.Unlock()
			return
		}
		if !p.AcceptsDecision(d) {
			p.Release(r, d, DoneInfo{Result: Cancelled, NotReached: true})
			continue
		}
		time.Sleep(time.Millisecond)
		p.Release(r, d, m.runOn(d.Target.ID))
		return
	}
}

// runOn runs a request on a target.
func (m *coldModel) runOn(id string) DoneInfo {
	m.mu.Lock()
	at, work := m.now(), m.workTime
	if at >= m.coldFrom[id] && at < m.coldUntil[id] {
		m.arrivals[id] = append(m.arrivals[id], at)
		work *= 2
	}
	m.running[id]++
	m.mu.Unlock()
	time.Sleep(work)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[id]--
	m.served++
	return DoneInfo{Result: Answered}
}

// demand sends requests at a rate from random instances for some time.
func (m *coldModel) demand(perSecond float64, length time.Duration) {
	for end := m.now() + length; m.now() < end; {
		time.Sleep(time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second)))
		p := m.pools[m.random.IntN(len(m.pools))]
		go m.send(p)
	}
}

// busiestSecond returns the most requests that reached one cold target in one second. The caller holds m.mu.
func (m *coldModel) busiestSecond() int {
	most := 0
	for _, arrivals := range m.arrivals {
		for i, from := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at < from+time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

const coldBound = coldRate*coldOverage + coldSlack

// Guards against a target that turns cold under load and crashes, because instances send it more together than it tolerates.
func TestTargetTurnsColdUnderLoad(t *testing.T) {
	for seed := range uint64(5) {
		inBubble(t, func(t *testing.T, now func() time.Duration) {
			m := newColdModel(now, seed, 8, 1, 6)
			go m.probe(now() + 12*time.Second)
			// The targets bear some 160 requests a second while all are warm.
			m.demand(100, time.Second)
			m.turnCold("t00", 5*time.Second)
			m.demand(100, 2*time.Second)
			m.demand(300, 2*time.Second)
			m.demand(100, 2*time.Second)
			time.Sleep(5 * time.Second)
			m.mu.Lock()
			defer m.mu.Unlock()
			if most := m.busiestSecond(); float64(most) > coldBound {
				t.Errorf("seed %d: %d requests in one second, bound %.1f", seed, most, coldBound)
			}
			if len(m.arrivals["t00"]) < 5 {
				t.Errorf("seed %d: only %d requests reached the cold target", seed, len(m.arrivals["t00"]))
			}
			t.Logf("seed %d: busiest second %d of %.1f, %d on the cold target, %d served, refused %v", seed, m.busiestSecond(), coldBound, len(m.arrivals["t00"]), m.served, m.refused)
		})
	}
}

// Guards against a zone that is taken back cold beside a burst: its targets get more than they tolerate, or much less, or the requests
// without credit wait for long before they are refused.
func TestAllTargetsColdInABurst(t *testing.T) {
	for seed := range uint64(5) {
		inBubble(t, func(t *testing.T, now func() time.Duration) {
			m := newColdModel(now, seed, 8, 2, 12)
			for _, r := range m.targets {
				m.turnCold(r.ID, 5*time.Second)
			}
			time.Sleep(150 * time.Millisecond)
			go m.probe(now() + 12*time.Second)
			m.demand(400, 4*time.Second)
			time.Sleep(10 * time.Second)
			m.mu.Lock()
			defer m.mu.Unlock()
			if most := m.busiestSecond(); float64(most) > coldBound {
				t.Errorf("seed %d: %d requests in one second, bound %.1f", seed, most, coldBound)
			}
			total := 0
			for _, arrivals := range m.arrivals {
				total += len(arrivals)
			}
			if tolerated := coldRate * 4 * len(m.targets); total < tolerated*3/5 {
				t.Errorf("seed %d: %d requests reached the cold targets, which tolerate %d", seed, total, tolerated)
			}
			if m.refused[reason.ColdTargets] == 0 || m.lateRefusals > 0 || len(m.refused) != 1 {
				t.Errorf("seed %d: refused %v, %d of them late", seed, m.refused, m.lateRefusals)
			}
			t.Logf("seed %d: busiest second %d of %.1f, %d on the cold targets, %d served, refused %v", seed, m.busiestSecond(), coldBound, total, m.served, m.refused)
		})
	}
}
