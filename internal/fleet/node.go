// Package fleet synchronizes the instances with the store and with each other. One goroutine, the control loop of a
// Node, owns all control state: the membership, the records of targets and the configuration. Only a few instances read
// the store and forward what they read to the others; any instance takes over when its copy gets too old. In each zone
// one instance, the leader of the zone, probes the load of the zone's targets for all others, and assigns shards of
// them to further instances if there are many.
package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/accept"
	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/evacuation"
	"github.com/basillink/basillink/internal/ingress"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

const (
	// idleTickInterval is the interval of the control loop of an instance that probes no targets and mostly reacts to
	// datagrams. An instance that probes targets ticks at the interval of its probes.
	idleTickInterval = 100 * time.Millisecond
	// startupTickInterval is the interval of the control loop during startupPeriod after the start, when the first
	// answers of peers and of the store decide how soon the instance serves.
	startupTickInterval = 10 * time.Millisecond
	startupPeriod       = 500 * time.Millisecond
	// acceptBackoff is the pause after a failed accept.
	acceptBackoff = 25 * time.Millisecond
	// inboxSize is the number of events that can wait for the control loop. enqueue never blocks: it drops events that
	// do not fit, because their content is sent again. deliver blocks until there is space.
	inboxSize = 1024
)

// Config is the configuration of a Node.
type Config struct {
	Self  discovery.Member
	Store discovery.Store
	// Seeds are the IP addresses of instances that may know other members.
	Seeds []string
	// Bootstrap is true on the very first start of the whole system, when no instance is announced in the store yet.
	Bootstrap bool
	Policy    dispatch.Policy
	// Prober opens the load probes of targets.
	Prober Prober
	// ProbeInterval is the shortest time between two load probes of a target.
	ProbeInterval time.Duration
	// TargetHeartbeat is the interval at which targets renew their entries in the store.
	TargetHeartbeat time.Duration
	// Now returns the time since the start on the clock of the dispatcher. DetectSuspension also returns for how long
	// the host was suspended since the last call of this node. If it is nil, suspensions are not detected.
	Now              func() time.Duration
	DetectSuspension func() (now, suspended time.Duration)
	Random           *rand.Rand
	Log              *slog.Logger
	// CrashMarks holds the crash marks of this instance. It may be nil.
	CrashMarks CrashMarks
	// TargetTerminated is called by the control loop when a target's process is gone without having announced that it
	// drains. lastSeen is when the target last answered a load probe, as time since the start, 0 if unknown; restarted
	// is true if a new process has registered under the same id. It must not block, and may be nil.
	TargetTerminated func(id string, lastSeen time.Duration, restarted bool)
	// TargetsChanged is called by the control loop after the set of registered targets may have changed. registered
	// reports whether a target is among them. It must not block, and may be nil.
	TargetsChanged func(registered func(id string) bool)
	// CreditBounds are what the platform tolerates beyond the limits that all instances share.
	CreditBounds map[credit.Kind]credit.Bounds
}

// Node is the member of the fleet that runs in this process. View, ConfigsAsOf, Ready, the counters, ReportMisdirected and
// SpreadCrashMark are safe for concurrent use.
type Node struct {
	Config
	inbox         chan event
	view          atomic.Pointer[ingress.View]
	configsAsOf   configsAsOf
	ready         atomic.Bool
	droppedEvents atomic.Int64
	guard         panicguard.Guard
	traffic       Traffic
	claimTable    atomic.Pointer[claimTable]
	link          link
	// peerConnections are the connections of peers that call this instance.
	peerConnections *accept.Limit
	sampler         *sampler
	started         time.Time
	flush           flush
	// suspensionClock is the clock of the lease, of grants and of the age of the keys.
	suspensionClock *suspensionClock
	creditServer    *creditServer
	creditPool      *credit.Pool

	// The fields below are owned by the control loop.
	members  *members
	registry *registry.Registry
	// recentChanges are the latest changes of targets, repeated for instances that missed a datagram. They are complete
	// from the position recentChangesBase on.
	recentChanges     []recentChange
	recentChangesBase topic.Position
	targetsTopic      storeread.Topic
	configsTopic      storeread.Topic
	// configsHeldAt is the latest time at which the configurations were not read because the targets could not be.
	configsHeldAt time.Time
	era           storeread.Era
	evacuations   evacuation.Set
	// coldUntil is when targets stop being cold, as their health answers told, by the hash of the target's id.
	coldUntil map[uint32]time.Duration
	// turnedCold is when this instance found by a probe that a target turned cold, for those that it tells again.
	turnedCold  map[uint32]time.Duration
	newerConfig newerConfig
	// storeAnsweredAt is the start of the latest read that the store answered.
	storeAnsweredAt time.Time
	config          *routes.Config
	table           *routes.Table
	pools           map[string]*dispatch.Pool
	targetsByHash   map[uint32]targetRef
	// batches collect the load reports of one datagram, by service.
	batches  []*observationBatch
	isLeader bool
	// lastTick is when the control loop last ticked, and resumedAt when it last did so after the process had been
	// paused.
	lastTick, resumedAt time.Time
	// suspensions are the latest suspensions of the host, oldest first.
	suspensions []suspension
	// unhandledSuspension is the length of the suspensions that were found between two calls of detectPause.
	unhandledSuspension time.Duration
	// leaderSince is when isLeader last changed.
	leaderSince time.Time
	// announcement is the entry of this instance in the store, nil while unknown.
	announcement *discovery.Member
	joinInFlight bool
	// startDelayFraction is the random fraction, from 0 to 1, of the start delay for which this instance waits for the
	// seeds to answer.
	startDelayFraction float64
	nextJoin           time.Time
	joinBackoff        time.Duration
	nextSeedGreeting   time.Time
	seedBackoff        time.Duration
	lastHeartbeat      time.Time
	lastForget         time.Time
	lastCrossZoneSend  time.Time
	storeDown          bool
	// instances is the number of live instances in all zones, this one included.
	instances          int
	instancesCountedAt time.Time
	// instancesConverged is false while instances is only an estimate, in the first seconds after the start.
	instancesConverged bool
	// failingInZone and failingInFleet are the numbers of instances whose reads of the store fail.
	failingInZone, failingInFleet int
	// zoneLive is the number of live instances of this zone at the latest count.
	zoneLive      int
	fetchInFlight bool
	nextFetch     time.Time
	// shard is the part of the zone's targets that this instance probes.
	shard shard
	// shardOwners are the instances that probe the targets of this zone, as its leader assigned them at
	// shardsAssignedAt. The index of an instance is the index of its shard.
	shardOwners      []string
	shardsAssignedAt time.Time
	// zoneTargets are the targets of this zone to probe, those whose services have routes, and zoneServices are those services.
	zoneTargets  []registry.Target
	zoneServices map[string]bool
	// zoneHeld are the ids of those zoneTargets that are not usable: their held entries are used once a probe finds them running.
	zoneHeld map[string]bool
	// zoneEvacuated holds the zoneTargets of an evacuated zone, by id. They are probed although the pools do not know them.
	zoneEvacuated map[string]registry.Target
	// evacuatedSeen tells when the targets of evacuated zones last reported their load, by the hash of the id.
	evacuatedSeen map[uint32]time.Duration
	// samplerSynced is true while the sampler has exactly the targets of shard.
	samplerSynced bool
	probeStates   map[string]*probeState
	// zoneBusy is true while the targets of this zone are heavily loaded.
	zoneBusy bool
	// pendingForZone are load reports of other instances that were not relayed to this zone yet. They were last relayed
	// at lastRelay.
	pendingForZone []timedLoadReport
	lastRelay      time.Time
	// zoneLeaders are the leaders of the zones that this instance knows. reportedLeaders are those of the other zones,
	// as reported by the leader of this zone.
	zoneLeaders     map[string]*peerState
	reportedLeaders []string
	// lastStatusSent is when this zone was last sent how far the store was read, and lastStandbysSent when it was last
	// sent its standbys.
	lastStatusSent, lastStandbysSent time.Time
	// targetsInUse are the targets of the current view.
	targetsInUse map[string]registry.Target
	// recentMarks are the latest crash marks, repeated for instances that missed a datagram.
	recentMarks []recentMark
	// marksFetchInFlight is true while the crash marks of a peer are fetched, and nextMarksFetch is the earliest time
	// of the next fetch.
	marksFetchInFlight bool
	nextMarksFetch     time.Time
	// storedMarks is the state of the crash marks in the store.
	storedMarks storedMarks
	// republishAt is when the view is published again after a panic, zero if nothing is due.
	republishAt time.Time
	// pendingForOtherZones are load reports that were not sent to other zones yet.
	pendingForOtherZones map[uint32]timedLoadReport
	creditOwnership      creditOwnership
}

// targetRef is a target found by the hash of its id.
type targetRef struct {
	id, zone string
	// target and batch are nil for a target whose service has no route.
	target *dispatch.Target
	batch  *observationBatch
}

// observationBatch collects the load reports of one service from one datagram. Instances of a large fleet receive
// thousands of load reports a second, so the lookup of their targets has to be cheap.
type observationBatch struct {
	pool         *dispatch.Pool
	observations []dispatch.TargetLoad
}

type timedLoadReport struct {
	report loadReport
	at     time.Duration
}

type recentChange struct {
	change registry.Change
	seenAt time.Time
}

// New returns a node. It opens no socket.
func New(c Config) *Node {
	if c.DetectSuspension == nil {
		c.DetectSuspension = func() (time.Duration, time.Duration) { return c.Now(), 0 }
	}
	n := &Node{
		Config: c, inbox: make(chan event, inboxSize), members: newMembers(c.Self), registry: registry.New(c.TargetHeartbeat),
		pools: map[string]*dispatch.Pool{}, targetsByHash: map[uint32]targetRef{}, pendingForOtherZones: map[uint32]timedLoadReport{},
		probeStates:       map[string]*probeState{},
		coldUntil:         map[uint32]time.Duration{},
		turnedCold:        map[uint32]time.Duration{},
		recentChangesBase: topic.Position{Offset: -1}, instances: 1, zoneLive: 1,
		targetsTopic: storeread.NewTopic(storeread.TargetsInterval, readerHash(c.Self)), configsTopic: storeread.NewTopic(storeread.ConfigsInterval, readerHash(c.Self)),
	}
	n.peerConnections = accept.NewLimit(maxPeerConnections, fetchTimeout)
	n.startDelayFraction = c.Random.Float64()
	n.storedMarks = storedMarks{inStore: map[string]bool{}, loaded: c.Bootstrap}
	n.suspensionClock = &suspensionClock{detect: func() (time.Duration, time.Duration) { return n.DetectSuspension() }}
	n.creditServer = &creditServer{clock: n.suspensionClock, ledger: credit.NewLedger(c.CreditBounds)}
	n.creditPool, n.creditOwnership = n.newCreditPool(), n.newCreditOwnership()
	n.sampler = newSampler(c.Prober, c.Now, &n.guard, c.Log)
	return n
}

// Open opens the sockets of the node.
func (n *Node) Open() error {
	sockets, err := openSockets(n)
	if err != nil {
		return trace.Wrap(err)
	}
	n.link = sockets
	return nil
}

// View returns the current view, or nil until both a configuration and the targets are known.
func (n *Node) View() *ingress.View { return n.view.Load() }

// Ready reports whether a view has been published.
func (n *Node) Ready() bool { return n.ready.Load() }

// DroppedEvents returns the number of events that were dropped because the inbox of the control loop was full.
func (n *Node) DroppedEvents() int64 { return n.droppedEvents.Load() }

// enqueue passes an event to the control loop, or drops it if the inbox is full.
func (n *Node) enqueue(e event) {
	select {
	case n.inbox <- e:
	default:
		n.droppedEvents.Add(1)
	}
}

// ReportMisdirected reports that the address of a target was answered by another incarnation.
func (n *Node) ReportMisdirected(targetID string) { n.enqueue(targetMisdirected{targetID}) }

// Run runs the control loop until the context is cancelled. Open has to be called first.
func (n *Node) Run(ctx context.Context) {
	n.started = time.Now()
	n.recordTick(n.started)
	n.link.run(ctx)
	defer n.sampler.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-n.inbox:
			n.detectPauseBeforeEvent(e, time.Now())
			n.handleGuarded(ctx, e, time.Now())
			n.publishConfigsAsOf(time.Now)
			if _, isRound := e.(roundFinished); isRound {
				// A finished round can make the next one due earlier.
				timer.Reset(n.timeToNextTick(time.Now()))
			}
		case <-timer.C:
			n.tick(ctx, time.Now())
			n.publishConfigsAsOf(time.Now)
			timer.Reset(n.timeToNextTick(time.Now()))
		case <-ctx.Done():
			n.leave(time.Now())
			return
		}
	}
}

// ClosedPeerConnections returns how many connections of peers were evicted at the limit, and how many new ones were refused.
func (n *Node) ClosedPeerConnections() (evicted, refused int64) { return n.peerConnections.Counts() }

// Traffic returns the counters of the datagrams, load probes and calls to the store.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// tick runs everything that is due.
func (n *Node) tick(ctx context.Context, now time.Time) {
	n.detectPause(now)
	n.republishView(now)
	n.join(ctx, now)
	n.updateStoreAvailability(now)
	n.registry.ForgetDeparted(now)
	if expired := n.registry.EvictExpired(now, n.targetsTopic.AsOf); len(expired) > 0 {
		n.Log.Info("Removed expired targets that did not come back.", "count", len(expired), "targets", truncateForLog(expired))
		n.publishView(now)
	}
	n.admitHeldTargets(now)
	n.expireEvacuations(now)
	n.forgetWarm()
	n.updateLeadership(now)
	n.updateFailingCounts(now)
	n.era.Notice(n.Store.Era(), now)
	rank := n.members.readRank(now, n.isLeader)
	n.readConfigs(ctx, now, rank)
	n.readTargets(ctx, now, rank)
	n.stepCreditOwnership(ctx, now, rank)
	n.fetchNewerConfig(ctx, now)
	n.startDueProbes(now)
	n.sendLeaderHeartbeat(now)
	n.sendHeartbeat(now)
	n.sendCrossZoneUpdate(now)
	n.syncStoredMarks(ctx, now)
	n.updateInstanceCount(now)
}

// updateLeadership updates whether this instance is the leader of its zone.
func (n *Node) updateLeadership(now time.Time) {
	leads := n.members.shouldLead(now, n.started, n.resumedAt)
	if leads == n.isLeader {
		return
	}
	n.isLeader, n.leaderSince = leads, now
	n.pendingForZone = nil
	clear(n.pendingForOtherZones)
	n.updateZoneLeaders(now)
	n.Log.Info("Changed the zone leadership of this instance.", "reads", leads, "order", n.members.successionRank(now))
}

// updateStoreAvailability logs when the latest known read of any instance gets too old, and when there is a new one.
func (n *Node) updateStoreAvailability(now time.Time) {
	if !n.targetsTopic.Known {
		return
	}
	silent := n.registry.StoreSilent(now)
	if silent == n.storeDown {
		return
	}
	n.storeDown = silent
	age := now.Sub(n.targetsTopic.AsOf).Milliseconds()
	if silent {
		n.Log.Warn("Lost the store.", "age_ms", age)
		return
	}
	n.Log.Info("Regained the store.", "age_ms", age, "answering_ms", now.Sub(n.registry.StoreAnsweringSince()).Milliseconds())
}

// convergenceTime is how long after the start members count as live that are known but were not heard from yet. When
// all instances start together, each would otherwise count only itself. After a pause of the process the earlier number
// holds for that long unless more are heard from.
const convergenceTime = 3 * time.Second

// instanceCountInterval is how often the live instances are counted.
const instanceCountInterval = 200 * time.Millisecond

// updateInstanceCount counts the live instances and publishes their number if it changed.
func (n *Node) updateInstanceCount(now time.Time) {
	if now.Sub(n.instancesCountedAt) < instanceCountInterval {
		return
	}
	n.instancesCountedAt = now
	instances := n.members.instances(now, n.isLeader)
	if now.Sub(n.started) < convergenceTime {
		instances = n.members.instancesAtStartup(now, n.isLeader)
	} else if now.Sub(n.resumedAt) < convergenceTime {
		instances = max(instances, n.instances)
	}
	n.zoneLive = n.members.liveInZone(now)
	n.updateZoneLeaders(now)
	n.forgetSilentMembers(now)
	converged := n.instanceCountConverged(now)
	if instances == n.instances && converged == n.instancesConverged {
		return
	}
	n.Log.Info("Changed the number of live instances.", "instances", instances, "before", n.instances, "settled", converged)
	n.instances, n.instancesConverged = instances, converged
	n.publishInstanceCount()
}

// instanceCountConverged reports whether the number of live instances is reliable: the leader of the zone reported it,
// or there was enough time to hear from the others.
func (n *Node) instanceCountConverged(now time.Time) bool {
	return now.Sub(n.listeningSince()) >= convergenceTime || !n.isLeader && n.members.fleetLiveAt.After(n.listeningSince())
}

// liveInZone returns the number of live instances of this zone, itself included: as the leader reported it lately, or
// as counted here.
func (n *Node) liveInZone(now time.Time) int {
	if !n.isLeader && now.Sub(n.members.fleetLiveAt) < livenessTimeout {
		return max(n.members.zoneLive, 1)
	}
	return n.zoneLive
}

// forgetInterval is how often members that have been silent for long are removed.
const forgetInterval = time.Minute

func (n *Node) forgetSilentMembers(now time.Time) {
	if now.Sub(n.lastForget) >= forgetInterval {
		n.lastForget = now
		n.members.forgetSilent(now)
	}
}

// leave announces the stop to the peers and closes the sockets.
func (n *Node) leave(now time.Time) {
	n.logSplits(n.table)
	d := &datagram{From: n.Self.ID, Started: n.Self.Started, Leaving: true}
	n.releaseCreditOwner(d)
	n.sendToZone(d, now)
	n.sendToOtherZones(d, now)
	n.link.close()
}
