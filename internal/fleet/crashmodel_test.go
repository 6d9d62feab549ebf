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

// The rule of the platform's pages: after the third crash and a stability window, three more sends by instances in touch.
const (
	crashesOfRule = 3
	sendsOfRule   = 3
)

const (
	// callerPatience is the deadline of callers, workTime that of an innocent request on a target, and lookTime how long a look
	// at a target that lost an answer goes on.
	callerPatience = 1200 * time.Millisecond
	workTime       = 200 * time.Millisecond
	lookTime       = 300 * time.Millisecond
	lateClose      = 150 * time.Millisecond
	// connectTime bounds the opening of a connection.
	connectTime = 150 * time.Millisecond
	// lapseTime is when the entry of a silent target is removed.
	lapseTime = silentTargetHeartbeats * targetHeartbeat
	// longestHold is how long a request that is answered by each target that outlives it may be refused in all.
	longestHold            = 6 * time.Second
	silentTargetHeartbeats = 3
	targetsOfCrashes       = 24
)

// crashKind is how a target ends under the request, or answers it.
type crashKind int

const (
	endsAtOnce crashKind = iota
	endsLate
	endsSilently
	returnsAtOnce
	fails
	answers
	crashKinds
)

// modelTarget is a target of the model. The lock of the model guards it.
type modelTarget struct {
	id   string
	slot int
	// listens is true while something accepts connections, and silent once the target ended without a sign.
	listens, silent bool
	alive           bool
	born            int64
	ended           chan struct{}
}

// modelGateway sends requests of callers as package ingress does, in virtual time, beside a real node and a real guard.
type modelGateway struct {
	crash *crashPlay
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
	news, err := g.guard.Receive(g.now(), f, data)
	return news && err == nil
}

func (g *modelGateway) CrashDigest() uint64 { return g.guard.Digest(g.now()) }

func (g *modelGateway) EachCrashMark(add func(key string, data []byte, refused bool)) {
	g.guard.ForEachMark(g.now(), func(f crashguard.Fingerprint, data []byte, refused bool) { add(f.String(), data, refused) })
}

// modelProber reads the load of the targets that live.
type modelProber struct{ crash *crashPlay }

func (p modelProber) Open(_, _, id string) Probe { return &modelProbe{p.crash, id} }

type modelProbe struct {
	crash *crashPlay
	id    string
}

var errSilentTarget = errors.New("the target does not answer")

func (p *modelProbe) Read(context.Context) (dispatch.LoadReport, error) {
	p.crash.mu.Lock()
	defer p.crash.mu.Unlock()
	if !slices.ContainsFunc(p.crash.targets, func(t *modelTarget) bool { return t.id == p.id && t.alive }) {
		return dispatch.LoadReport{}, errSilentTarget
	}
	return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil
}

func (p *modelProbe) Close() {}

// crashPlay runs a fleet whose callers send a request again and again that crashes targets, beside innocent ones.
type crashPlay struct {
	*play
	kinds []crashKind
	// again is the least time after which the request comes again, at any instance.
	again time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	gateways map[int]*modelGateway
	targets  []*modelTarget
	serial   int
	crashes  []time.Duration
	sends    []crashSend
	held     map[string]time.Duration
	stopped  bool
}

type crashSend struct {
	instance int
	at       time.Duration
}

func (c *crashPlay) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *crashPlay) within(most time.Duration) time.Duration { return time.Duration(c.draw(int(most))) }

// attach gives a node that starts a gateway.
func (c *crashPlay) attach(i int, config *Config) {
	g := &modelGateway{crash: c, index: i, start: time.Now()}
	g.guard = crashguard.New(func(f crashguard.Fingerprint, data []byte) {
		if node := g.node.Load(); node != nil {
			node.SpreadCrashMark(f.String(), data)
		}
	})
	config.CrashMarks, config.Prober = g, modelProber{c}
	config.TargetTerminated = func(id string, aliveAt time.Duration, again bool) {
		if again {
			g.guard.TargetRestarted(g.now(), id, aliveAt)
			return
		}
		g.guard.TargetTerminated(g.now(), id, aliveAt)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[i] = g
}

// detach ends the gateway of a node that ends.
func (c *crashPlay) detach(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[i] = nil
}

// gateway returns the gateway of an instance, or nil while it is down.
func (c *crashPlay) gateway(i int) *modelGateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateways[i]
}

// begin registers the targets and starts the callers.
func (c *crashPlay) begin() {
	for i := range targetsOfCrashes {
		c.register(i, "")
	}
	for i := range 12 {
		go c.call(fmt.Sprint("innocent", i), 150*time.Millisecond, false)
	}
	time.AfterFunc(settling, func() { go c.call("poison", c.again, true) })
}

// register starts a target, under the id of the one before it or a new one.
func (c *crashPlay) register(slot int, id string) {
	c.mu.Lock()
	c.serial++
	if id == "" {
		id = fmt.Sprintf("c%d", c.serial)
	}
	t := &modelTarget{id: id, slot: slot, listens: true, alive: true, born: int64(c.serial), ended: make(chan struct{})}
	if slot < len(c.targets) {
		c.targets[slot] = t
	} else {
		c.targets = append(c.targets, t)
	}
	c.mu.Unlock()
	c.store.append(id, &registry.Entry{
		ID: id, Address: fmt.Sprintf("10.2.0.%d:80", 1+slot), Zone: fmt.Sprintf("z%d", slot%zonesOfSchedule), Service: "s", Slots: 4, Born: t.born,
	})
}

// end ends a target, and starts it again some seconds later.
func (c *crashPlay) end(t *modelTarget, kind crashKind) {
	c.mu.Lock()
	t.alive = false
	t.listens, t.silent = kind == endsLate, kind == endsSilently
	c.crashes = append(c.crashes, c.now())
	c.mu.Unlock()
	close(t.ended)
	if kind == returnsAtOnce {
		c.register(t.slot, t.id)
		return
	}
	time.AfterFunc(lateClose, func() { c.mu.Lock(); t.listens = false; c.mu.Unlock() })
	time.AfterFunc(lapseTime, func() { c.store.append(t.id, nil) })
	back := lapseTime + time.Second + c.within(3*time.Second)
	time.AfterFunc(back, func() {
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if !stopped {
			c.register(t.slot, "")
		}
	})
}

// call sends a request again and again at instances that are up.
func (c *crashPlay) call(name string, pause time.Duration, poison bool) {
	f := crashguard.FingerprintOf("h 10.9.0.1", "POST", "/"+name, nil)
	for {
		time.Sleep(pause + c.within(pause))
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if stopped {
			return
		}
		g := c.gateway(c.draw(c.perZone * zonesOfSchedule))
		if g == nil || g.node.Load() == nil || g.node.Load().View() == nil {
			continue
		}
		began := c.now()
		if g.execute(f, poison) && !poison {
			c.mu.Lock()
			c.held[name] += c.now() - began + pause
			c.mu.Unlock()
		}
	}
}

// choose returns a random target that the instance knows, or nil.
func (g *modelGateway) choose() *modelTarget {
	pool := g.node.Load().View().Pools["s"]
	c := g.crash
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.DeleteFunc(slices.Clone(c.targets), func(t *modelTarget) bool { return pool.Target(t.id) == nil })
	if len(known) == 0 {
		return nil
	}
	return known[c.random.IntN(len(known))]
}

// execute sends a request to at most two targets. It reports whether the guard held it.
func (g *modelGateway) execute(f crashguard.Fingerprint, poison bool) (held bool) {
	deadline := g.now() + callerPatience
	for attempts := 0; attempts < 2; {
		entry, refused := g.admit(f, deadline)
		if refused {
			return true
		}
		t := g.choose()
		if g.crash.draw(4) == 0 {
			time.Sleep(g.crash.within(300 * time.Millisecond))
		}
		if t == nil || g.now() >= deadline || g.crash.gateway(g.index) != g {
			entry.Release()
			return false
		}
		if !g.guard.StillAdmitted(g.now(), f, &entry) {
			entry.Release()
			continue
		}
		attempts++
		done := g.run(t, f, poison, deadline)
		entry.Release()
		if done {
			return false
		}
	}
	return false
}

func (g *modelGateway) admit(f crashguard.Fingerprint, deadline time.Duration) (crashguard.Admission, bool) {
	for {
		entry, wait, refused := g.guard.Admit(g.now(), f)
		if wait == nil || refused {
			return entry, refused
		}
		if g.now() >= deadline {
			return entry, true
		}
		select {
		case <-wait:
		case <-time.After(crashguard.PollInterval):
		}
	}
}

// run runs a request on a target. It reports whether the request is answered or out of time.
func (g *modelGateway) run(t *modelTarget, f crashguard.Fingerprint, poison bool, deadline time.Duration) bool {
	c := g.crash
	c.mu.Lock()
	listens, alive, silent := t.listens, t.alive, t.silent
	kind := c.kinds[c.random.IntN(len(c.kinds))]
	c.mu.Unlock()
	switch {
	case silent:
		time.Sleep(connectTime)
		return false
	case !listens:
		g.guard.TargetTerminated(g.now(), t.id, 0)
		return false
	case !alive:
		return false
	}
	suspect := g.guard.HasCrashEvidence(f)
	sent := crashguard.Attempt{Target: t.id, Incarnation: fmt.Sprintf("%s/%d", t.id, t.born), SentAt: g.now()}
	if poison {
		c.mu.Lock()
		c.sends = append(c.sends, crashSend{g.index, c.now()})
		c.mu.Unlock()
	}
	select {
	case <-t.ended:
		if g.silent(t) {
			time.Sleep(max(deadline-g.now(), 0))
			g.guard.Unanswered(g.now(), f, sent)
			return true
		}
		g.lost(t, f, sent, suspect)
		return false
	case <-time.After(workTime/2 + c.within(workTime)):
	}
	switch {
	case !poison || kind == answers:
		g.guard.Answered(g.now(), f)
		return true
	case kind == fails:
		return true
	}
	c.mu.Lock()
	first := t.alive
	t.alive = false
	c.mu.Unlock()
	if first {
		c.end(t, kind)
	}
	if kind == endsSilently {
		time.Sleep(max(deadline-g.now(), 0))
		g.guard.Unanswered(g.now(), f, sent)
		return true
	}
	g.lost(t, f, sent, suspect)
	return false
}

func (g *modelGateway) silent(t *modelTarget) bool {
	g.crash.mu.Lock()
	defer g.crash.mu.Unlock()
	return t.silent
}

// lost looks at a target that lost an answer. A suspect had a witness, which breaks with the process.
func (g *modelGateway) lost(t *modelTarget, f crashguard.Fingerprint, run crashguard.Attempt, suspect bool) {
	g.guard.ConnectionLost(g.now(), f, run, lookTime)
	refuses := func() bool {
		g.crash.mu.Lock()
		defer g.crash.mu.Unlock()
		return !g.crash.targets[t.slot].listens
	}
	if suspect || refuses() {
		g.guard.TargetTerminated(g.now(), t.id, 0)
		return
	}
	time.AfterFunc(lookTime, func() {
		if refuses() {
			g.guard.TargetTerminated(g.now(), t.id, 0)
		}
	})
}

// verdict returns what broke the rule, or held innocent requests for long.
func (c *crashPlay) verdict() []string {
	var broken []string
	if len(c.crashes) >= crashesOfRule {
		bound := c.crashes[crashesOfRule-1] + stabilityWindow
		late := 0
		for _, s := range c.sends {
			if s.at > bound && c.inTouch(s.instance, s.at) {
				late++
			}
		}
		if late > sendsOfRule {
			broken = append(broken, fmt.Sprintf("%d sends after the third crash at %v, %d crashes in all", late, bound-stabilityWindow, len(c.crashes)))
		}
	}
	for name, held := range c.held {
		if held > longestHold {
			broken = append(broken, fmt.Sprintf("%s was held for %v", name, held))
		}
	}
	return broken
}

// playCrashes plays a schedule with a request whose runs end targets in the kinds.
func playCrashes(t *testing.T, s schedule, kinds []crashKind, again time.Duration, seed uint64) (*crashPlay, []string) {
	c := &crashPlay{
		kinds: kinds, again: again, random: rand.New(rand.NewPCG(seed, 31)), gateways: map[int]*modelGateway{}, held: map[string]time.Duration{},
		play: &play{
			schedule: s, absent: map[int]bool{},
			net:   &virtualNet{random: rand.New(rand.NewPCG(seed, 23)), nodes: map[string]*Node{}, cut: map[string]bool{}, loss: 0.01},
			store: &virtualStore{},
		},
	}
	c.configure, c.ended, c.begun = c.attach, c.detach, c.begin
	c.started = func(i int, n *Node) { c.gateway(i).node.Store(n) }
	synctest.Test(t, func(*testing.T) {
		c.run(rand.New(rand.NewPCG(seed, 32)))
		c.mu.Lock()
		c.stopped = true
		c.mu.Unlock()
		// Requests that are under way end by themselves.
		time.Sleep(time.Minute)
	})
	return c, c.verdict()
}
