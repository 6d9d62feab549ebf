package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
)

// The limits of the platform's specification: once a request has crashed maxCrashes targets and a stability window has
// passed, undisturbed instances may send it at most maxLateSends more times.
const (
	maxCrashes   = 3
	maxLateSends = 3
)

const (
	// callerTimeout is the deadline of callers, requestTime the mean time of a request on a target, and checkTime how
	// long a target that lost an answer is checked for having crashed.
	callerTimeout  = 1200 * time.Millisecond
	requestTime    = 200 * time.Millisecond
	checkTime      = 300 * time.Millisecond
	lateCloseDelay = 150 * time.Millisecond
	// connectTimeout is the timeout for opening a connection.
	connectTimeout = 150 * time.Millisecond
	// entryTTL is how long after its crash the store keeps the entry of a target.
	entryTTL = entryTTLHeartbeats * targetHeartbeat
	// maxHeldTime is the longest total time for which an innocent request may be held back.
	maxHeldTime        = 6 * time.Second
	entryTTLHeartbeats = 3
	crashTargets       = 24
)

// crashBehavior is what the crashing request does to a target, or how the target answers it.
type crashBehavior int

const (
	// exits ends the process and closes its address and connections.
	exits crashBehavior = iota
	// exitsClosingLate does the same, but the address accepts connections for lateCloseDelay more.
	exitsClosingLate
	// diesSilently ends the process without closing its connections, so that requests in flight get no answer.
	diesSilently
	// restartsAtOnce replaces the process at once by a new one under the same id.
	restartsAtOnce
	// answersError and answersSuccess leave the target running.
	answersError
	answersSuccess
	numCrashBehaviors
)

// modelTarget is a simulated target. It is guarded by crashSimulation.mu.
type modelTarget struct {
	id   string
	slot int
	// listens is true while the address accepts connections. silent is true once the target has died without closing
	// its connections.
	listens, silent bool
	alive           bool
	born            int64
	terminated      chan struct{}
}

// modelGateway sends requests like package ingress does, in virtual time, with a real node and a real crash guard.
type modelGateway struct {
	sim   *crashSimulation
	index int
	node  atomic.Pointer[Node]
	guard *crashguard.Guard
	start time.Time
}

func (g *modelGateway) now() time.Duration { return time.Since(g.start) }

func (g *modelGateway) MergeCrashMark(key string, data []byte) bool {
	f, err := crashguard.ParseFingerprint(key)
	if err != nil {
		return false
	}
	changed, err := g.guard.Receive(g.now(), f, data)
	return changed && err == nil
}

func (g *modelGateway) CrashDigest() uint64 { return g.guard.Digest(g.now()) }

func (g *modelGateway) EachCrashMark(add func(key string, data []byte, refused bool)) {
	g.guard.ForEachMark(g.now(), func(f crashguard.Fingerprint, data []byte, refused bool) { add(f.String(), data, refused) })
}

// modelProber answers load probes of running targets.
type modelProber struct{ sim *crashSimulation }

func (p modelProber) Open(_, _, id string) Probe { return &modelProbe{p.sim, id} }

type modelProbe struct {
	sim *crashSimulation
	id  string
}

var errSilentTarget = errors.New("the target does not answer")

func (p *modelProbe) Read(context.Context) (dispatch.LoadReport, error) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if !slices.ContainsFunc(p.sim.targets, func(t *modelTarget) bool { return t.id == p.id && t.alive }) {
		return dispatch.LoadReport{}, errSilentTarget
	}
	return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil
}

func (p *modelProbe) Close() {}

// crashSimulation runs a fleet whose callers repeatedly send a request that crashes targets, together with innocent
// requests.
type crashSimulation struct {
	*simulation
	behaviors []crashBehavior
	// resendAfter is the shortest time after which the crashing request is sent again, to any instance.
	resendAfter time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	gateways map[int]*modelGateway
	targets  []*modelTarget
	serial   int
	// crashes and sends are those of the crashing request.
	crashes []time.Duration
	sends   []crashSend
	// held is the total time for which each innocent request was held back, by name.
	held map[string]time.Duration
	// popular counts the copies of an innocent request that many callers send.
	popular popularCounts
	stopped bool
}

type crashSend struct {
	instance int
	at       time.Duration
}

func (c *crashSimulation) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *crashSimulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.randomInt(int(limit)))
}

// attachGateway creates the gateway of a node that is about to start.
func (c *crashSimulation) attachGateway(i int, config *Config) {
	g := &modelGateway{sim: c, index: i, start: time.Now()}
	g.guard = crashguard.New(func(f crashguard.Fingerprint, data []byte) {
		if node := g.node.Load(); node != nil {
			node.SpreadCrashMark(f.String(), data)
		}
	})
	config.CrashMarks, config.Prober = g, modelProber{c}
	config.TargetTerminated = func(id string, lastSeen time.Duration, restarted bool) {
		if restarted {
			g.guard.TargetRestarted(g.now(), id, lastSeen)
			return
		}
		g.guard.TargetTerminated(g.now(), id, lastSeen)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[i] = g
}

// detachGateway removes the gateway of a node that is about to stop.
func (c *crashSimulation) detachGateway(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[i] = nil
}

// gateway returns the gateway of an instance, or nil while it is down.
func (c *crashSimulation) gateway(i int) *modelGateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateways[i]
}

// startTraffic registers the targets and starts the callers.
func (c *crashSimulation) startTraffic() {
	for i := range crashTargets {
		c.registerTarget(i, "")
	}
	for i := range 12 {
		go c.sendRepeatedly(fmt.Sprint("innocent", i), 150*time.Millisecond, false)
	}
	if c.resendAfter > 0 {
		time.AfterFunc(settlingTime, func() { go c.sendRepeatedly("poison", c.resendAfter, true) })
	}
}

// registerTarget starts a target in a slot, under the given id or a new one.
func (c *crashSimulation) registerTarget(slot int, id string) {
	c.mu.Lock()
	c.serial++
	if id == "" {
		id = fmt.Sprintf("c%d", c.serial)
	}
	t := &modelTarget{id: id, slot: slot, listens: true, alive: true, born: int64(c.serial), terminated: make(chan struct{})}
	if slot < len(c.targets) {
		c.targets[slot] = t
	} else {
		c.targets = append(c.targets, t)
	}
	c.mu.Unlock()
	c.store.append(id, &registry.Entry{
		ID: id, Address: fmt.Sprintf("10.2.0.%d:80", 1+slot), Zone: fmt.Sprintf("z%d", slot%scheduleZones), Service: "s", Slots: 4, Born: t.born,
	})
}

// terminateTarget terminates a target and starts a new one in its slot some seconds later, or at once.
func (c *crashSimulation) terminateTarget(t *modelTarget, behavior crashBehavior) {
	c.mu.Lock()
	t.alive = false
	t.listens, t.silent = behavior == exitsClosingLate, behavior == diesSilently
	c.mu.Unlock()
	close(t.terminated)
	if behavior == restartsAtOnce {
		c.registerTarget(t.slot, t.id)
		return
	}
	time.AfterFunc(lateCloseDelay, func() { c.mu.Lock(); t.listens = false; c.mu.Unlock() })
	time.AfterFunc(entryTTL, func() { c.store.append(t.id, nil) })
	back := entryTTL + time.Second + c.randomDuration(3*time.Second)
	time.AfterFunc(back, func() {
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if !stopped {
			c.registerTarget(t.slot, "")
		}
	})
}

// sendRepeatedly sends a request again and again to random running instances.
func (c *crashSimulation) sendRepeatedly(name string, pause time.Duration, poison bool) {
	f := crashguard.FingerprintOf("h 10.9.0.1", "POST", "/"+name, nil)
	for {
		time.Sleep(pause + c.randomDuration(pause))
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if stopped {
			return
		}
		g := c.gateway(c.randomInt(c.instancesPerZone * scheduleZones))
		if g == nil || g.node.Load() == nil || g.node.Load().View() == nil {
			continue
		}
		began := c.now()
		if held, _ := g.execute(f, poison); held && !poison {
			c.mu.Lock()
			c.held[name] += c.now() - began + pause
			c.mu.Unlock()
		}
	}
}

// pickTarget returns a random target that the instance knows, or nil.
func (g *modelGateway) pickTarget() *modelTarget {
	pool := g.node.Load().View().Pools["s"]
	c := g.sim
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.DeleteFunc(slices.Clone(c.targets), func(t *modelTarget) bool { return pool.Target(t.id) == nil })
	if len(known) == 0 {
		return nil
	}
	return known[c.random.IntN(len(known))]
}

// execute sends a request to at most two targets. It reports whether the guard refused the request, and how long it made the
// request wait.
func (g *modelGateway) execute(f crashguard.Fingerprint, poison bool) (held bool, waited time.Duration) {
	deadline := g.now() + callerTimeout
	for attempts := 0; attempts < 2; {
		asked := g.now()
		admission, refused := g.admit(f, deadline)
		waited += g.now() - asked
		if refused {
			return true, waited
		}
		t := g.pickTarget()
		if g.sim.randomInt(4) == 0 {
			time.Sleep(g.sim.randomDuration(300 * time.Millisecond))
		}
		if t == nil || g.now() >= deadline || g.sim.gateway(g.index) != g {
			admission.Release()
			return false, waited
		}
		if !g.guard.StillAdmitted(g.now(), f, &admission) {
			admission.Release()
			continue
		}
		attempts++
		done := g.runOn(t, f, poison, deadline)
		admission.Release()
		if done {
			return false, waited
		}
	}
	return false, waited
}

func (g *modelGateway) admit(f crashguard.Fingerprint, deadline time.Duration) (crashguard.Admission, bool) {
	for {
		admission, wait, refused := g.guard.Admit(g.now(), f)
		if wait == nil || refused {
			return admission, refused
		}
		if g.now() >= deadline {
			return admission, true
		}
		select {
		case <-wait:
		case <-time.After(crashguard.PollInterval):
		}
	}
}

// runOn runs a request on a target. It reports whether the request is answered or out of time.
func (g *modelGateway) runOn(t *modelTarget, f crashguard.Fingerprint, poison bool, deadline time.Duration) bool {
	c := g.sim
	c.mu.Lock()
	listens, alive, silent := t.listens, t.alive, t.silent
	behavior := c.behaviors[c.random.IntN(len(c.behaviors))]
	c.mu.Unlock()
	switch {
	case silent:
		time.Sleep(connectTimeout)
		return false
	case !listens:
		g.guard.TargetTerminated(g.now(), t.id, 0)
		return false
	case !alive:
		return false
	}
	suspect := g.guard.HasCrashEvidence(f)
	attempt := crashguard.Attempt{Target: t.id, Incarnation: fmt.Sprintf("%s/%d", t.id, t.born), SentAt: g.now()}
	if poison {
		c.mu.Lock()
		c.sends = append(c.sends, crashSend{g.index, c.now()})
		c.mu.Unlock()
	}
	select {
	case <-t.terminated:
		if g.isSilent(t) {
			time.Sleep(max(deadline-g.now(), 0))
			g.guard.Unanswered(g.now(), f, attempt)
			return true
		}
		g.handleLostAnswer(t, f, attempt, suspect)
		return false
	case <-time.After(requestTime/2 + c.randomDuration(requestTime)):
	}
	switch {
	case !poison || behavior == answersSuccess:
		g.guard.Answered(g.now(), f)
		return true
	case behavior == answersError:
		return true
	}
	c.mu.Lock()
	first := t.alive
	t.alive = false
	if first {
		c.crashes = append(c.crashes, c.now())
	}
	c.mu.Unlock()
	if first {
		c.terminateTarget(t, behavior)
	}
	if behavior == diesSilently {
		time.Sleep(max(deadline-g.now(), 0))
		g.guard.Unanswered(g.now(), f, attempt)
		return true
	}
	g.handleLostAnswer(t, f, attempt, suspect)
	return false
}

func (g *modelGateway) isSilent(t *modelTarget) bool {
	g.sim.mu.Lock()
	defer g.sim.mu.Unlock()
	return t.silent
}

// handleLostAnswer checks a target that lost an answer. A suspect request has an extra connection to the target, which
// breaks with the process.
func (g *modelGateway) handleLostAnswer(t *modelTarget, f crashguard.Fingerprint, attempt crashguard.Attempt, suspect bool) {
	g.guard.ConnectionLost(g.now(), f, attempt, checkTime)
	refuses := func() bool {
		g.sim.mu.Lock()
		defer g.sim.mu.Unlock()
		return !g.sim.targets[t.slot].listens
	}
	if suspect || refuses() {
		g.guard.TargetTerminated(g.now(), t.id, 0)
		return
	}
	time.AfterFunc(checkTime, func() {
		if refuses() {
			g.guard.TargetTerminated(g.now(), t.id, 0)
		}
	})
}

// violations returns the violations of the limits on crashes and on held requests.
func (c *crashSimulation) violations() []string {
	return append(c.exceededLimits(), c.heldForLong()...)
}

// exceededLimits returns the violations of the limits on sends of the crashing request.
func (c *crashSimulation) exceededLimits() []string {
	var found []string
	if len(c.crashes) >= maxCrashes {
		bound := c.crashes[maxCrashes-1] + stabilityWindow
		late := 0
		for _, s := range c.sends {
			if s.at > bound && c.undisturbed(s.instance, s.at) {
				late++
			}
		}
		if late > maxLateSends {
			found = append(found, fmt.Sprintf("%d sends after the third crash at %v, %d crashes in all", late, bound-stabilityWindow, len(c.crashes)))
		}
	}
	return found
}

// heldForLong returns the innocent requests that were held back for more than maxHeldTime in all.
func (c *crashSimulation) heldForLong() []string {
	var found []string
	for name, held := range c.held {
		if held > maxHeldTime {
			found = append(found, fmt.Sprintf("%s was held back for %v", name, held))
		}
	}
	return found
}

// simulateCrashes runs a schedule with a request that shows the given behaviors on its targets.
func simulateCrashes(t *testing.T, s schedule, behaviors []crashBehavior, resendAfter time.Duration, seed uint64) (*crashSimulation, []string) {
	c := newCrashSimulation(s, behaviors, resendAfter, seed)
	synctest.Test(t, func(*testing.T) { c.runAll(seed) })
	return c, c.violations()
}

func newCrashSimulation(s schedule, behaviors []crashBehavior, resendAfter time.Duration, seed uint64) *crashSimulation {
	c := &crashSimulation{
		behaviors: behaviors, resendAfter: resendAfter, random: rand.New(rand.NewPCG(seed, 31)), gateways: map[int]*modelGateway{}, held: map[string]time.Duration{},
		simulation: newSimulation(s, seed),
	}
	c.onConfigure, c.onStopping, c.onAllStarted = c.attachGateway, c.detachGateway, c.startTraffic
	c.onStarted = func(i int, n *Node) { c.gateway(i).node.Store(n) }
	return c
}

// runAll runs the schedule and waits until the requests in flight have ended.
func (c *crashSimulation) runAll(seed uint64) {
	c.run(rand.New(rand.NewPCG(seed, 32)))
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	time.Sleep(time.Minute)
}
