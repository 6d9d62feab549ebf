package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

// The figures of the model are those of a service of the users' sites. Times are in virtual time, so that the pools run as
// they do in an instance.
const (
	modelTick        = time.Millisecond
	callerDelay      = 8 * time.Millisecond
	targetDelay      = time.Millisecond
	claimDelay       = 1200 * time.Microsecond
	remoteClaimDelay = 2500 * time.Microsecond
	readingPeriod    = 25 * time.Millisecond
	crossPeriod      = 3 * readingPeriod
	noiseShare       = 0.35
	noiseFactor      = 4.0
	noisePeriod      = 300 * time.Millisecond
	// A target is slowed by kneeFactor beyond kneeShare of its slots. The site files say 1.7; with that the model prefers
	// four fifths of the slots, which the bench does not confirm, so that a smaller factor stands here.
	kneeShare   = 0.8
	kneeFactor  = 1.35
	targetSlots = 4
	targetQueue = 8
	drainTime   = 5 * time.Second
	// clump is how many callers come at the same moment.
	clump = 2
)

// modelClass is a kind of request.
type modelClass struct {
	route                              string
	work, objective, timeout, deadline time.Duration
	worth, late                        float64
	priority                           int
	idempotent                         bool
}

// longClass are requests that take most of their latency objective when a target's machine is busy.
var longClass = modelClass{
	"stock-digest", 300 * time.Millisecond, 800 * time.Millisecond, 1070 * time.Millisecond, 2 * time.Second, 1, 0.1, 2, true,
}

// modelTarget runs jobs at a speed that its neighbours and its own load change.
type modelTarget struct {
	id, zone       string
	noisy          bool
	noiseUntil     time.Duration
	running, queue []*modelJob
}

type modelJob struct {
	left time.Duration
	done chan bool
}

func (t *modelTarget) pace() float64 {
	pace := 1.0
	if t.noisy {
		pace *= noiseFactor
	}
	return pace
}

func (t *modelTarget) advance(now time.Duration, random *rand.Rand) {
	if now >= t.noiseUntil {
		t.noisy = random.Float64() < noiseShare
		t.noiseUntil = now + time.Duration(random.ExpFloat64()*float64(noisePeriod))
	}
	pace := t.pace()
	if float64(len(t.running)) > kneeShare*targetSlots {
		pace *= kneeFactor
	}
	kept := t.running[:0]
	for _, j := range t.running {
		if j.left -= time.Duration(float64(modelTick) / pace); j.left > 0 {
			kept = append(kept, j)
		} else {
			j.done <- true
		}
	}
	t.running = kept
	for len(t.running) < targetSlots && len(t.queue) > 0 {
		t.running, t.queue = append(t.running, t.queue[0]), t.queue[1:]
	}
}

// add takes a job, or reports false when the target is full.
func (t *modelTarget) add(j *modelJob) bool {
	switch {
	case len(t.running) < targetSlots:
		t.running = append(t.running, j)
	case len(t.queue) < targetQueue:
		t.queue = append(t.queue, j)
	default:
		return false
	}
	return true
}

// loadModel is a fleet of pools in front of modelled targets, in one synctest bubble.
type loadModel struct {
	random  *rand.Rand
	start   time.Time
	mu      sync.Mutex
	targets map[string]*modelTarget
	order   []*modelTarget
	pools   map[string][]*Pool
	all     []*Pool
	total   credit
	// overfull counts the milliseconds of targets with more requests than slots, and busy all of them.
	overfull, busy int
}

type credit struct{ owed, earned float64 }

func (c credit) ratio() float64 { return c.earned / c.owed }

// modelLoad describes a day of the model.
type modelLoad struct {
	seed      uint64
	length    time.Duration
	perSecond float64
	policy    Policy
	class     modelClass
	// claims tells whether the instances announce requests to the one that reads the target's zone.
	claims bool
	// targets is the number of targets of each zone.
	targets []int
}

var modelZones = []struct {
	name      string
	instances int
	share     float64
}{{"a", 8, 0.35}, {"b", 5, 0.28}, {"c", 6, 0.37}}

// playLoad plays a load and returns what the callers got.
func playLoad(t *testing.T, load modelLoad) *loadModel {
	t.Helper()
	m := &loadModel{
		random: rand.New(rand.NewPCG(load.seed, 5)), targets: map[string]*modelTarget{},
		pools: map[string][]*Pool{},
	}
	synctest.Test(t, func(*testing.T) { m.play(load) })
	return m
}

func (m *loadModel) now() time.Duration { return time.Since(m.start) }

func (m *loadModel) play(load modelLoad) {
	m.start = time.Now()
	var registered []registry.Target
	instances := 0
	for zone, z := range modelZones {
		for i := range load.targets[zone] {
			id := fmt.Sprintf("%s%d", z.name, i)
			m.targets[id] = &modelTarget{id: id, zone: z.name}
			m.order = append(m.order, m.targets[id])
			registered = append(registered, registry.Target{Entry: registry.Entry{ID: id, Address: id, Zone: z.name, Slots: targetSlots}})
		}
		instances += z.instances
	}
	for _, z := range modelZones {
		for range z.instances {
			p := NewPool(load.policy, z.name, m.now, rand.New(rand.NewPCG(m.random.Uint64(), 1)))
			p.SetTargets(registered, instances, time.Now())
			if load.claims {
				p.SendClaim = func(id string, number uint32) bool { return m.claim(p, z.name, id, number) }
			}
			m.pools[z.name] = append(m.pools[z.name], p)
			m.all = append(m.all, p)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	for tick := 0; m.now() < load.length+drainTime; tick++ {
		time.Sleep(modelTick)
		m.mu.Lock()
		now := m.now()
		for _, t := range m.order {
			t.advance(now, m.random)
			m.busy++
			if len(t.running)+len(t.queue) > targetSlots {
				m.overfull++
			}
		}
		if at := time.Duration(tick) * modelTick; at%readingPeriod == 0 {
			m.read(at%crossPeriod == 0)
		}
		if now < load.length {
			m.arrive(ctx, load, now)
		}
		m.mu.Unlock()
	}
	cancel()
	synctest.Wait()
}

// arrive starts the requests of one tick.
func (m *loadModel) arrive(ctx context.Context, load modelLoad, now time.Duration) {
	for _, z := range modelZones {
		for expected := load.perSecond * z.share * modelTick.Seconds(); expected > 0; expected-- {
			if m.random.Float64() >= expected/clump {
				continue
			}
			for range clump {
				go m.call(ctx, z.name, load.class, now)
			}
		}
	}
}

type modelReading struct {
	target string
	LoadReport
}

func observations(p *Pool, readings []modelReading) []TargetLoad {
	list := make([]TargetLoad, 0, len(readings))
	for _, r := range readings {
		list = append(list, TargetLoad{p.Target(r.target), r.LoadReport})
	}
	return list
}

// read hands the load of the targets to the pools of their zone, and to those of the other zones less often.
func (m *loadModel) read(across bool) {
	byZone := map[string][]modelReading{}
	for _, t := range m.order {
		byZone[t.zone] = append(byZone[t.zone], modelReading{t.id, LoadReport{
			Running: len(t.running), Waiting: len(t.queue), Slots: targetSlots, Slowdown: t.pace(), ReceivedAt: m.now(),
		}})
	}
	time.AfterFunc(2*targetDelay, func() {
		for zone, readings := range byZone {
			for other, pools := range m.pools {
				for _, p := range pools {
					if zone == other || across {
						p.UpdateLoad(observations(p, readings))
					}
				}
			}
		}
	})
}

// call is one request of a caller with one retry.
func (m *loadModel) call(ctx context.Context, zone string, class modelClass, began time.Duration) {
	m.mu.Lock()
	work := time.Duration(float64(class.work) * math.Exp(0.3*m.random.NormFloat64()-0.045))
	m.total.owed += class.worth
	m.mu.Unlock()
	deadline := began + class.deadline
	for range 2 {
		time.Sleep(callerDelay)
		m.mu.Lock()
		pool := m.pools[zone][m.random.IntN(len(m.pools[zone]))]
		m.mu.Unlock()
		ok, retryAfter := m.serve(ctx, pool, class, work, min(deadline, m.now()+class.timeout))
		time.Sleep(callerDelay)
		if ok {
			m.mu.Lock()
			switch now := m.now(); {
			case now <= began+class.objective:
				m.total.earned += class.worth
			case now <= deadline:
				m.total.earned += class.late
			}
			m.mu.Unlock()
			return
		}
		left := deadline - m.now()
		if left <= 0 || retryAfter < 0 && !class.idempotent {
			return
		}
		retryAfter = max(retryAfter, 20*time.Millisecond)
		time.Sleep(min(retryAfter, left/3))
	}
}

// serve is what an instance does with a request.
func (m *loadModel) serve(ctx context.Context, pool *Pool, class modelClass, work, deadline time.Duration) (bool, time.Duration) {
	pool.RecordRequest()
	ask := &Request{Route: class.route, Priority: class.priority, Objective: class.objective, Arrived: m.now(), Deadline: deadline}
	for attempt := range 2 {
		if attempt > 0 && !pool.MayRetry() {
			return false, 100 * time.Millisecond
		}
		d := pool.Acquire(ctx, ask)
		if d.Target == nil {
			return false, d.RetryAfter
		}
		time.Sleep(targetDelay)
		j := &modelJob{left: work, done: make(chan bool, 1)}
		m.mu.Lock()
		target := m.targets[d.Target.ID]
		accepted := target.add(j)
		m.mu.Unlock()
		if !accepted {
			pool.Release(ask, d, DoneInfo{Result: Shed})
			ask.Excluded = append(ask.Excluded, d.Target)
			continue
		}
		timer := time.NewTimer(max(deadline-m.now(), 0))
		select {
		case <-j.done:
		case <-timer.C:
			m.mu.Lock()
			j.left = 0
			m.mu.Unlock()
		}
		timer.Stop()
		time.Sleep(targetDelay)
		m.mu.Lock()
		load := &LoadReport{Running: len(target.running), Waiting: len(target.queue), Slots: targetSlots, Slowdown: target.pace(), ReceivedAt: m.now()}
		m.mu.Unlock()
		if m.now() >= deadline {
			pool.Release(ask, d, DoneInfo{Result: Failed})
			return false, -1
		}
		pool.Release(ask, d, DoneInfo{Result: Answered, Load: load})
		return true, 0
	}
	return false, 100 * time.Millisecond
}

// claim hands a claim to the pool that reads the target's zone.
func (m *loadModel) claim(pool *Pool, zone, id string, number uint32) bool {
	tz := m.targets[id].zone
	reader := m.pools[tz][0]
	if reader == pool {
		return false
	}
	delay := claimDelay
	if tz != zone {
		delay = remoteClaimDelay
	}
	time.AfterFunc(delay, func() {
		if room, occupied := reader.HandleClaim(id); !room {
			time.AfterFunc(delay, func() { pool.HandleDenial(id, number, occupied) })
		}
	})
	return true
}

// overfullShare is the share of the targets' time with more requests than slots.
func (m *loadModel) overfullShare() float64 { return float64(m.overfull) / float64(m.busy) }

// rushSeeds is the number of seeds over which the credit is compared, because single runs differ by 0.1.
const rushSeeds = 8

// Guards against a rush on the same free slots: 19 instances choose by readings of the same age, and without claims they
// filled the targets of scale-1 of pannolink beyond their slots in a fifth of the time, with queues up to 12 requests.
func TestClaimsPreventRush(t *testing.T) {
	var overfull, credit [2]float64
	for seed := range uint64(rushSeeds) {
		for i, claims := range []bool{false, true} {
			m := playLoad(t, modelLoad{
				seed: seed, length: 10 * time.Second, perSecond: 95, policy: DefaultPolicy(), class: longClass,
				targets: []int{5, 4, 4}, claims: claims,
			})
			overfull[i] += m.overfullShare() / rushSeeds
			credit[i] += m.total.ratio() / rushSeeds
		}
	}
	t.Logf("overfull %.3f without claims, %.3f with; credit %.3f, %.3f", overfull[0], overfull[1], credit[0], credit[1])
	if overfull[0] < 4*overfull[1] {
		t.Errorf("targets are overfull %.3f of the time without claims, %.3f with", overfull[0], overfull[1])
	}
	if credit[1] < credit[0] {
		t.Errorf("callers get %.3f of the credit without claims, %.3f with", credit[0], credit[1])
	}
}
