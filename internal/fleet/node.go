// Package fleet keeps the instances in step with the store and with each other. One goroutine owns all control state:
// members, the records of targets, the configuration. Few instances read the store and tell the others; any instance
// takes over when what it knows gets old. One instance of each zone reads the load of the targets of its zone for all.
package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/ingress"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

const (
	// idleTick is the interval of the control loop of an instance that reads no targets and mostly reacts to datagrams. The
	// loop of the others runs at the interval of their readings.
	idleTick = 100 * time.Millisecond
	// startTick is the interval of the control loop during startTime after the start, when much depends on the first answers
	// of peers and of the store.
	startTick = 10 * time.Millisecond
	startTime = 500 * time.Millisecond
	// acceptPause is the pause after a failed accept.
	acceptPause = 25 * time.Millisecond
	// inboxSize bounds the events that wait for the control loop. Senders never block; an event too many is dropped, and
	// what it told is told again.
	inboxSize = 1024
)

// Config holds what a Node needs.
type Config struct {
	Self  discovery.Member
	Store discovery.Store
	// Seeds are the IP addresses of instances that may know others.
	Seeds []string
	// Bootstrap is true when the whole system starts for the first time, so that no instance is announced yet.
	Bootstrap bool
	Policy    dispatch.Policy
	// Prober reads the load of a target.
	Prober Prober
	// ProbeInterval is the time between two readings of a target.
	ProbeInterval time.Duration
	// TargetHeartbeat is the time between two heartbeats of a target in the store.
	TargetHeartbeat time.Duration
	// Now is the time of the dispatcher since the start, and DetectSuspension that time after a look for a suspension of the machine. If
	// DetectSuspension is nil, suspensions are not noticed.
	Now              func() time.Duration
	DetectSuspension func() (now, suspended time.Duration)
	Random           *rand.Rand
	Log              *slog.Logger
	// CrashMarks holds what this instance knows of requests that crash targets. It may be nil.
	CrashMarks CrashMarks
	// TargetTerminated is called by the control loop when an incarnation of a target is gone that did not say that it leaves. AliveAt is
	// when it last told its load, as time since the start, and again is true if it started again under its id. It must not block,
	// and may be nil.
	TargetTerminated func(id string, aliveAt time.Duration, again bool)
	// TargetsChanged is called by the control loop after the set of registered targets changed. It must not block.
	TargetsChanged func(registered func(id string) bool)
}

// Node is one member of the fleet. View, Ready and the functions for events are safe for concurrent use.
type Node struct {
	Config
	inbox   chan event
	view    atomic.Pointer[ingress.View]
	ready   atomic.Bool
	dropped atomic.Int64
	guard   panicguard.Guard
	traffic Traffic
	claims  atomic.Pointer[claimTable]
	link    link
	sampler *sampler
	started time.Time

	// The fields below belong to the control loop.
	members  *members
	registry *registry.Registry
	// recent are the latest changes of targets with their time, for instances that missed a datagram.
	recent     []recentChange
	recentBase int64
	targets    topicReads
	configs    topicReads
	// served is when the store last answered this instance.
	served time.Time
	config *routes.Config
	table  *routes.Table
	pools  map[string]*dispatch.Pool
	byHash map[uint32]targetRef
	// collected holds the readings of a datagram by service.
	collected []*serviceReadings
	reader    bool
	// stepped is when the control loop last ran, and resumed when it last ran again after a pause of the process.
	stepped, resumed time.Time
	// readerSince is since when this instance reads its zone.
	readerSince time.Time
	// announced is how this instance stands in the store, nil while that is not known.
	announced *discovery.Member
	joining   bool
	// patience is the part of its start patience that this instance waits for the seeds.
	patience  float64
	joinAt    time.Time
	joinPause time.Duration
	seedsAt   time.Time
	seedPause time.Duration
	heartbeat time.Time
	forgotAt  time.Time
	crossAt   time.Time
	storeDown bool
	instances int
	countedAt time.Time
	// sharersKnown is true when instances is more than an estimate of the first seconds.
	sharersKnown bool
	// zoneFailing and failing are the numbers of instances that try to read the store in vain.
	zoneFailing, failing int
	// live is the number of live instances of this zone when they were last counted.
	live     int
	fetching bool
	fetchAt  time.Time
	// share is the part of the zone's targets that this instance reads.
	share share
	// parts are the instances that read the targets of this zone, as its reader assigned them at partsAt.
	parts   []string
	partsAt time.Time
	// zoneTargets are the usable targets of this zone whose services have routes, and zoneServices those services.
	zoneTargets  []registry.Target
	zoneServices map[string]bool
	// sampling is true while the sampler reads the targets of share.
	sampling bool
	rounds   map[string]*serviceRound
	// busy is true while the targets of this zone are filled.
	busy bool
	// remote are readings of other zones that were not passed on to this zone yet.
	remote   []loadSample
	remoteAt time.Time
	// readers are the instances that read the targets of each zone, and toldReaders those of other zones by the word of
	// the reader of this zone.
	readers     map[string]*peerState
	toldReaders []string
	// noted is when the zone was last told how far the store was read, and councilAt when it was told its council.
	noted, councilAt time.Time
	// inUse are the targets of the current view.
	inUse map[string]registry.Target
	// marks are the crash marks that were learnt lately.
	marks []recentMark
	// fetchingMarks is true while those of a peer are fetched, and marksAt when that may be done again.
	fetchingMarks bool
	marksAt       time.Time
	// kept is what this instance knows of the marks in the store.
	kept keptMarks
	// pending are readings that were not sent to other zones yet.
	pending map[uint32]loadSample
}

// targetRef finds a target by the hash of its id.
type targetRef struct {
	id, zone string
	// target and readings are nil for a target whose service has no route.
	target   *dispatch.Target
	readings *serviceReadings
}

// serviceReadings collects the readings of one service out of a datagram. Instances of a large fleet take thousands of readings
// a second over, so that finding their targets must be cheap.
type serviceReadings struct {
	pool     *dispatch.Pool
	readings []dispatch.TargetLoad
}

type loadSample struct {
	note loadNote
	at   time.Duration
}

type recentChange struct {
	change registry.Change
	at     time.Time
}

// New returns a node. It opens no port.
func New(c Config) *Node {
	if c.DetectSuspension == nil {
		c.DetectSuspension = func() (time.Duration, time.Duration) { return c.Now(), 0 }
	}
	n := &Node{
		Config: c, inbox: make(chan event, inboxSize), members: newMembers(c.Self), registry: registry.New(c.TargetHeartbeat),
		pools: map[string]*dispatch.Pool{}, byHash: map[uint32]targetRef{}, pending: map[uint32]loadSample{},
		rounds:     map[string]*serviceRound{},
		recentBase: -1, instances: 1, live: 1,
		targets: topicReads{interval: targetsInterval}, configs: topicReads{interval: configsInterval},
	}
	n.patience = c.Random.Float64()
	n.kept = keptMarks{inStore: map[string]bool{}, read: c.Bootstrap}
	n.sampler = newSampler(c.Prober, c.Now)
	return n
}

// Open opens the sockets.
func (n *Node) Open() error {
	sockets, err := openSockets(n)
	if err != nil {
		return trace.Wrap(err)
	}
	n.link = sockets
	return nil
}

// View returns the current view, or nil before the first configuration and listing of targets.
func (n *Node) View() *ingress.View { return n.view.Load() }

// Ready reports whether the node knows a configuration and targets.
func (n *Node) Ready() bool { return n.ready.Load() }

// DroppedEvents returns the number of events that were dropped because the control loop was behind.
func (n *Node) DroppedEvents() int64 { return n.dropped.Load() }

// post hands an event to the control loop.
func (n *Node) post(e event) {
	select {
	case n.inbox <- e:
	default:
		n.dropped.Add(1)
	}
}

// ReportMisdirected notes that the address of a target answered for another incarnation.
func (n *Node) ReportMisdirected(targetID string) { n.post(misdirected{targetID}) }

// Run keeps the node in step until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.started = time.Now()
	n.stepped = n.started
	n.link.run(ctx)
	defer n.sampler.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-n.inbox:
			n.handleSafely(ctx, e, time.Now())
			if _, isRound := e.(roundRead); isRound {
				// The next round may be due earlier than before.
				timer.Reset(n.nextStep(time.Now()))
			}
		case <-timer.C:
			n.step(ctx, time.Now())
			timer.Reset(n.nextStep(time.Now()))
		case <-ctx.Done():
			n.leave(time.Now())
			return
		}
	}
}

// Traffic returns the counters of what this instance exchanges with others.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// Panics returns the number of messages whose handling ended in a panic.
func (n *Node) Panics() int64 { return n.guard.Panics() }

// handleSafely handles an event. One from outside that ends in a panic is dropped: it comes again, in every instance at
// once, and must not take the fleet down. Control state stays usable, because what is told is told again in full. A panic
// in the node's own steps ends the process, which starts again with nothing of its state.
func (n *Node) handleSafely(ctx context.Context, e event, now time.Time) {
	switch e.(type) {
	case received, stateAsked, stateFetched, marksFetched:
		n.guard.Run(n.Log, "message", func() { n.handle(ctx, e, now) })
	case configsRead, targetsRead, membersRead, keptMarksRead, markKept:
		if !n.guard.Run(n.Log, "store", func() { n.handle(ctx, e, now) }) {
			n.releaseReads(now)
		}
	default:
		n.handle(ctx, e, now)
	}
}

// releaseReads lets topics be read again after an answer of the store that could not be handled.
func (n *Node) releaseReads(now time.Time) {
	n.joining, n.kept.calling = false, false
	for _, topic := range []*topicReads{&n.targets, &n.configs} {
		if topic.reading > 0 {
			topic.failed(now, n.Random.Float64(), n.failing)
		}
	}
}

// step does what time makes due.
func (n *Node) step(ctx context.Context, now time.Time) {
	n.notePause(now)
	n.join(ctx, now)
	n.noteAvailability(now)
	if left := n.registry.Expire(now); len(left) > 0 {
		n.Log.Info("Gave targets up that did not come back.", "count", len(left), "targets", firstOf(left))
		n.publish(now)
	}
	n.noteReader(now)
	n.countFailing(now)
	rank := n.members.rank(now, n.reader)
	n.readConfigs(ctx, now, rank)
	n.readTargets(ctx, now, rank)
	n.probe(now)
	n.announceReader(now)
	n.sendHeartbeat(now)
	n.sendAcross(now)
	n.keepMarks(ctx, now)
	n.noteInstances(now)
}

// pauseLimit is how long the control loop may rest before the process counts as paused. Its ticks are at most idleTick apart.
const pauseLimit = time.Second

// notePause notes that the process was paused, or the machine suspended. Another instance may read the zone since, so that
// this one listens first.
func (n *Node) notePause(now time.Time) {
	_, suspended := n.DetectSuspension()
	pause := now.Sub(n.stepped) + suspended
	n.stepped = now
	if suspended > 0 {
		n.age(suspended)
	}
	if pause < pauseLimit {
		return
	}
	n.Log.Warn("The process was paused.", "pause_ms", pause.Milliseconds(), "suspended_ms", suspended.Milliseconds(), "reader", n.reader)
	n.resumed = now
}

// age makes what was heard and read before a suspension of the machine older by its length.
func (n *Node) age(by time.Duration) {
	for _, at := range []*time.Time{&n.targets.asOf, &n.configs.asOf, &n.partsAt} {
		*at = at.Add(-by)
	}
	n.members.age(by)
}

// noteReader notes whether this instance reads the load of its zone.
func (n *Node) noteReader(now time.Time) {
	reads := n.members.readsZone(now, n.started, n.resumed)
	if reads == n.reader {
		return
	}
	n.reader, n.readerSince = reads, now
	n.remote = nil
	clear(n.pending)
	n.refreshReaders(now)
	n.Log.Info("Changed the reader of the zone.", "reads", reads, "order", n.members.order(now))
}

// noteAvailability notes outages of the store by the age of the latest read of any instance.
func (n *Node) noteAvailability(now time.Time) {
	if !n.targets.known {
		return
	}
	age := now.Sub(n.targets.asOf)
	if down := age > outageAfter; down != n.storeDown {
		n.storeDown = down
		if down {
			n.registry.StoreDown(n.targets.asOf)
			n.Log.Warn("Lost the store.", "age_ms", age.Milliseconds())
		} else {
			n.registry.StoreUp(now)
			n.Log.Info("Regained the store.", "age_ms", age.Milliseconds())
		}
	}
}

// settleTime is how long after a start members count that were announced but not heard yet. When all instances start
// together, each would take itself for the only one.
const settleTime = 3 * time.Second

// countInterval is how often the live instances are counted.
const countInterval = 200 * time.Millisecond

// noteInstances passes the number of live instances on when it changed.
func (n *Node) noteInstances(now time.Time) {
	if now.Sub(n.countedAt) < countInterval {
		return
	}
	n.countedAt = now
	instances := n.members.instances(now, n.reader)
	if now.Sub(n.started) < settleTime {
		instances = n.members.instancesAtStart(now, n.reader)
	}
	n.live = n.members.liveInZone(now)
	n.refreshReaders(now)
	n.forget(now)
	settled := n.settled(now)
	if instances == n.instances && settled == n.sharersKnown {
		return
	}
	n.Log.Info("Changed the number of live instances.", "instances", instances, "before", n.instances, "settled", settled)
	n.instances, n.sharersKnown = instances, settled
	n.publishInstances()
}

// settled reports whether the number of live instances is known: the reader of the zone told it, or enough time has
// passed to hear the others.
func (n *Node) settled(now time.Time) bool {
	return now.Sub(n.started) >= settleTime || !n.reader && n.members.fleet > 0
}

// liveInZone is the number of live instances of this zone, itself included: as the reader told it, or as it was counted.
func (n *Node) liveInZone(now time.Time) int {
	if !n.reader && now.Sub(n.members.fleetAt) < liveFor {
		return max(n.members.zoneLive, 1)
	}
	return n.live
}

// forgetInterval is how often members are looked at that have been silent for long.
const forgetInterval = time.Minute

func (n *Node) forget(now time.Time) {
	if now.Sub(n.forgotAt) >= forgetInterval {
		n.forgotAt = now
		n.members.forget(now)
	}
}

// leave tells peers of the stop and closes the sockets.
func (n *Node) leave(now time.Time) {
	d := &datagram{From: n.Self.ID, Started: n.Self.Started, Leaving: true}
	n.tellZone(d, now)
	n.tellZones(d, now)
	n.link.close()
}
