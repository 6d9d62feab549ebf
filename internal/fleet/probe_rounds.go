package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

const (
	// shardAssignmentTTL is how long an assignment of shards remains valid without being repeated.
	shardAssignmentTTL = time.Second
	// maxDirectShards is the number of shards up to which each owner sends its load reports to the zone directly. With
	// more shards the leader collects them and sends them to the zone in one datagram.
	maxDirectShards = 3
	// shardedIntervalFactor is the factor by which the shortest probe interval grows in a zone with several shards, and
	// relayedIntervalFactor that in a zone with more than maxDirectShards: every load report is sent to every instance
	// of the zone, and such zones have many instances.
	shardedIntervalFactor = 1.4
	relayedIntervalFactor = 2
	// probesPerRequest is how often a target is probed per request that it is expected to receive. More probes would
	// not change which target is selected.
	probesPerRequest = 20
	// maxProbeInterval is the longest time between two probes of a target. The slowdown of a target changes several
	// times a second.
	maxProbeInterval = 100 * time.Millisecond
	// maxMissingFactor limits the factor by which the probe interval grows while members of the zone are missing.
	maxMissingFactor = 2
	// tickSlack is how much earlier than due a round may start, so that one tick serves services that are due at nearly
	// the same time.
	tickSlack = 2 * time.Millisecond
	// statusInterval is how often the leader sends to its zone how far the store was read.
	statusInterval = 100 * time.Millisecond
)

// probeState is the state of the load probes of one service in this zone.
type probeState struct {
	// roundStartedAt is the start of the latest round of probes.
	roundStartedAt time.Time
	// inFlight is the decaying peak of the mean number of in-flight requests of a target, as of inFlightAt.
	inFlight   float64
	inFlightAt time.Time
}

// inFlightDecayTime is the time constant of the decay. Without the decaying peak, a service with few targets would often
// look idle, because all of them are idle between two requests.
const inFlightDecayTime = time.Second

// updateInFlight adds the mean number of in-flight requests of the targets of one round.
func (r *probeState) updateInFlight(inFlight float64, now time.Time) {
	faded := r.inFlight * math.Exp(-float64(now.Sub(r.inFlightAt))/float64(inFlightDecayTime))
	r.inFlight, r.inFlightAt = max(inFlight, faded), now
}

// expectRequests has the targets of this zone probed at short intervals when its evacuation ends. They had no requests, and get many
// before the next slow round would show that; one that turns cold meanwhile would be known too late.
func (n *Node) expectRequests(zone string, now time.Time) {
	if zone != n.Self.Zone {
		return
	}
	for _, state := range n.probeStates {
		state.updateInFlight(1, now)
	}
}

// startDueProbes starts a round of probes of the services that are due, if this instance owns a shard of its zone.
func (n *Node) startDueProbes(now time.Time) {
	if n.table == nil {
		return
	}
	own := n.ownShard(now, len(n.zoneTargets))
	n.setShard(own)
	if own.count == 0 {
		return
	}
	if !n.samplerSynced {
		n.samplerSynced = true
		n.syncSampler()
	}
	due := map[string]bool{}
	for service := range n.zoneServices {
		state := n.probeStates[service]
		if state == nil {
			state = &probeState{}
			n.probeStates[service] = state
		}
		if now.Sub(state.roundStartedAt) >= n.serviceProbeInterval(service)-tickSlack {
			state.roundStartedAt = now
			due[service] = true
		}
	}
	if len(due) > 0 {
		dueTarget := func(id, service string) bool { return due[service] && n.mayProbe(id, service) }
		n.sampler.startRound(dueTarget, func(results []probeResult) { n.enqueue(roundFinished{results}) })
	}
}

// mayProbe reports whether a target may be probed. Probes count as requests, so a target that drains or requested a
// backoff is not probed.
func (n *Node) mayProbe(id, service string) bool {
	if n.zoneHeld[id] {
		return true
	}
	pool := n.pools[service]
	if t, evacuated := n.zoneEvacuated[id]; evacuated {
		return pool == nil || pool.HintsAllow(t)
	}
	return pool == nil || pool.Accepts(pool.Target(id))
}

// applyBackpressure applies the backpressure hints that targets sent with their answers to probes.
func (n *Node) applyBackpressure(results []probeResult) {
	for _, r := range results {
		pool := n.pools[r.service]
		if pool == nil || !r.report.Draining && r.report.Backoff <= 0 {
			continue
		}
		t := pool.Target(r.id)
		if evacuated, known := n.zoneEvacuated[r.id]; t == nil && known {
			t = pool.Detached(evacuated)
		}
		if t == nil {
			continue
		}
		if r.report.Draining && pool.MarkDraining(t) {
			n.Log.Info("A target announced that it is draining.", "target", r.id)
		}
		if r.report.Backoff > 0 && pool.SetBackoff(t, r.report.Backoff) {
			n.Log.Info("A target requested a backoff.", "target", r.id, "pause_ms", r.report.Backoff.Milliseconds())
		}
	}
}

// syncSampler makes the sampler probe the targets of this instance's shard.
func (n *Node) syncSampler() {
	targets := slices.Clone(n.zoneTargets)
	targets = slices.DeleteFunc(targets, func(t registry.Target) bool { return !n.shard.includes(hashID(t.ID)) })
	n.sampler.sync(targets, func(service string) string { return n.table.Services[service].HealthPath })
}

// ownShard returns the shard that this instance probes. The leader of the zone assigns the shards.
func (n *Node) ownShard(now time.Time, targets int) shard {
	if n.isLeader {
		n.shardOwners, n.shardsAssignedAt = n.members.assignShards(now, targets, n.shardOwners), now
		return shard{0, len(n.shardOwners)}
	}
	if now.Sub(n.shardsAssignedAt) > shardAssignmentTTL {
		return shard{}
	}
	if i := slices.Index(n.shardOwners, n.Self.ID); i >= 0 {
		return shard{i, len(n.shardOwners)}
	}
	return shard{}
}

// setShard changes the shard that this instance probes.
func (n *Node) setShard(s shard) {
	if s == n.shard {
		return
	}
	n.shard, n.samplerSynced = s, false
	n.Log.Info("Changed the shard of targets to probe.", "part", s.index, "parts", s.count, "targets", len(n.zoneTargets))
	if s.count == 0 {
		n.sampler.stop()
	}
}

// serviceProbeInterval returns the time between two probes of a target of a service. It follows the rate of requests,
// which is the number of in-flight requests of a target divided by their mean service time: the load of a target that
// receives few requests rarely changes.
func (n *Node) serviceProbeInterval(service string) time.Duration {
	shortest := n.minProbeInterval()
	longest := max(shortest, maxProbeInterval)
	interval := longest
	if state, pool := n.probeStates[service], n.pools[service]; state != nil && pool != nil && state.inFlight > 0 {
		interval = time.Duration(float64(pool.MeanServiceTime()) / (probesPerRequest * state.inFlight))
	}
	interval = min(max(interval, shortest), longest)
	return time.Duration(float64(interval) * min(n.members.missingFactor(time.Now()), maxMissingFactor))
}

// minProbeInterval returns the shortest time between two probes of a target.
func (n *Node) minProbeInterval() time.Duration {
	switch {
	case n.shard.count > maxDirectShards:
		return relayedIntervalFactor * n.ProbeInterval
	case n.shard.count > 1:
		return time.Duration(shardedIntervalFactor * float64(n.ProbeInterval))
	}
	return n.ProbeInterval
}

// timeToNextTick returns the time until the next round of probes or idle tick of the control loop.
func (n *Node) timeToNextTick(now time.Time) time.Duration {
	next := idleTickInterval
	if now.Sub(n.started) < startupPeriod {
		next = startupTickInterval
	}
	if n.shard.count > 0 {
		for service := range n.zoneServices {
			if state := n.probeStates[service]; state != nil {
				next = min(next, n.serviceProbeInterval(service)-now.Sub(state.roundStartedAt))
			}
		}
	}
	return max(next, tickSlack)
}

// handleRoundFinished sends the load reports of a finished round to the zone.
func (n *Node) handleRoundFinished(e roundFinished, now time.Time) {
	if n.shard.count == 0 {
		return
	}
	n.traffic.loadProbes.Add(int64(len(e.results)))
	e.results = n.useFoundRunning(e.results, now)
	n.applyBackpressure(e.results)
	n.applyProbedCold(e.results, now)
	d := n.newDatagram(now)
	n.updateInFlight(e.results, now)
	d.Loads = n.loadReports(e.results)
	n.observeLoads(d.Loads)
	if !n.isLeader && n.shard.count <= maxDirectShards {
		n.sendToZone(d, now)
		return
	}
	if !n.isLeader {
		if p := n.members.zoneLeader(now); p != nil {
			n.sendDatagram(d, p.udp)
		}
		return
	}
	n.addQueuedLoads(d, now)
	n.addStatus(d, now)
	n.addStandbys(d, now)
	n.sendToZone(d, now)
}

// addStatus adds to a datagram of the leader to its zone how far the store was read and what others have to know again, when it is
// due.
func (n *Node) addStatus(d *datagram, now time.Time) {
	if now.Sub(n.lastStatusSent) < statusInterval {
		return
	}
	n.lastStatusSent = now
	d.Targets, d.Config, d.ZoneLeaders = n.targetsUpdate(now), n.configStatus(now), n.remoteLeaderIDs()
	d.Marks, d.Cold = n.marksToRepeat(now), n.coldReports()
	n.addCreditOwner(d)
	if len(n.shardOwners) > 1 {
		d.ShardOwners = n.shardOwners
	}
}

// updateInFlight updates the numbers of in-flight requests with the results of a round, and whether the zone is busy.
func (n *Node) updateInFlight(results []probeResult, now time.Time) {
	type load struct{ inFlight, slots, targets int }
	var total load
	services := map[string]load{}
	for _, r := range results {
		if r.failures > 0 || r.noLoadReport {
			continue
		}
		inFlight := r.report.Running + r.report.Waiting
		sum := services[r.service]
		services[r.service] = load{sum.inFlight + inFlight, 0, sum.targets + 1}
		total.inFlight += inFlight
		total.slots += r.report.Slots
	}
	n.zoneBusy = float64(total.inFlight) > busyThreshold*float64(total.slots)
	for service, sum := range services {
		if state := n.probeStates[service]; state != nil {
			state.updateInFlight(float64(sum.inFlight)/float64(sum.targets), now)
		}
	}
}

// loadReports returns the load reports of a round that are sent to other instances. A leader also queues them for the
// other zones.
func (n *Node) loadReports(results []probeResult) []loadReport {
	at := n.Now()
	reports := make([]loadReport, 0, len(results))
	for _, r := range results {
		if r.noLoadReport || r.failures > 0 && r.failures < unreachableFailures {
			continue
		}
		report := loadReport{
			Target: hashID(r.id), Running: uint16(r.report.Running), Waiting: uint16(r.report.Waiting),
			SlowdownPercent: uint16(min(r.report.Slowdown*100, 1<<16-1)), AgeMS: toAgeMS(at - r.report.ReceivedAt),
		}
		if r.failures > 0 {
			report.SlowdownPercent, report.AgeMS = 0, 0
		}
		reports = append(reports, report)
		if n.isLeader {
			n.pendingForOtherZones[report.Target] = timedLoadReport{report, r.report.ReceivedAt}
		}
	}
	return reports
}
