package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/clock"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
)

// readConfigs starts a read of the configurations if this instance is due to read them.
func (n *Node) readConfigs(ctx context.Context, now time.Time, rank int) {
	// Failed reads of targets show that the store does not answer this instance, and overdue ones that it may answer
	// nobody. Reading one topic is then enough to find out.
	overdue := n.targetsTopic.Known && n.configsTopic.Known && now.Sub(n.targetsTopic.AsOf) >= storeread.TargetsInterval+storeread.FirstRankDelay
	if n.targetsTopic.HasFailed() || overdue && !n.storeAnswersSlowly(now) {
		n.configsHeldAt = now
		return
	}
	if !n.configsTopic.Due(now, n.configsPriority(now, rank)) {
		return
	}
	n.configsTopic.ReadStarted(now)
	n.logRead("configs", &n.configsTopic, rank, now)
	n.traffic.storeCalls[CallConfigs].Add(1)
	// The operator's records are listed as well if a peer that knows no evacuations told how far they were read.
	next := n.configsTopic.Next
	continues := n.era.Continues(&n.configsTopic) && !n.evacuations.Next().Before(next)
	go func() {
		r := configsRead{startedAt: now}
		r.err = n.guardCall(storePart, func() (err error) {
			r.records, r.next, err = storeread.FetchConfigs(ctx, n.Store, next, continues)
			return err
		})
		n.deliver(ctx, r)
	}()
}

// maxConfigsHold is the age of the configuration from which on it is read although the targets are overdue.
const maxConfigsHold = storeread.ConfigsInterval + storeread.TargetsInterval

// storeAnswersSlowly reports whether the store has answered this instance lately, and the configuration is still too old. A store
// that takes longer for an answer than the time from which on the targets count as overdue would otherwise never be asked for the
// configuration, and all instances would refuse requests with keys.
func (n *Node) storeAnswersSlowly(now time.Time) bool {
	return now.Sub(n.configsTopic.AsOf) >= maxConfigsHold && now.Sub(n.storeAnsweredAt) < storeread.StoreAnswerValidity
}

// readPriority returns the priority of this instance for reads of the store.
func (n *Node) readPriority(now time.Time, rank int) storeread.Priority {
	return storeread.Priority{
		Rank: rank, IsLeader: n.isLeader, FirstRead: n.firstReadTime(now, rank), Failing: n.failingInFleet, StoreAnsweredAt: n.storeAnsweredAt,
	}
}

// configsPriority returns the priority of this instance for reads of the configurations.
func (n *Node) configsPriority(now time.Time, rank int) storeread.Priority {
	priority := n.readPriority(now, rank)
	priority.RequiredAsOf = n.era.ListingRequiredAt(&n.configsTopic)
	priority.HeldAt = n.configsHeldAt
	return priority
}

// targetsPriority returns the priority of this instance for reads of the targets.
func (n *Node) targetsPriority(now time.Time, rank int) storeread.Priority {
	priority := n.readPriority(now, rank)
	priority.RequiredAsOf = n.era.ListingRequiredAt(&n.targetsTopic)
	priority.AwaitsPeer = n.awaitsListing(now)
	if at := n.registry.ExpiredDecidedAt(); !at.IsZero() && !now.Before(at) {
		priority.RequiredAsOf = clock.Later(priority.RequiredAsOf, at.Add(storeread.ExpiredReadMargin))
	}
	return priority
}

// updateFailingCounts counts the instances whose reads of the store fail: those of this zone, this one included, and
// those of the whole fleet as far as they are known.
func (n *Node) updateFailingCounts(now time.Time) {
	n.failingInZone = 0
	if n.targetsTopic.IsFailing(now) {
		n.failingInZone = 1
	}
	n.failingInZone += n.members.failingPeers(now)
	n.failingInFleet = n.failingInZone + n.members.remoteFailing(now)
	if !n.isLeader && now.Sub(n.members.fleetLiveAt) < livenessTimeout {
		n.failingInFleet = max(n.failingInFleet, n.members.reportedFailing)
	}
}

// broadcastFailure announces at once that a read of this instance failed, so that few others attempt one.
func (n *Node) broadcastFailure(now time.Time) {
	n.updateFailingCounts(now)
	d := n.newDatagram(now)
	n.sendToZone(d, now)
	n.sendToOtherZones(d, now)
}

// logRead logs a read of a topic that other instances usually read for this one.
func (n *Node) logRead(name string, t *storeread.Topic, rank int, now time.Time) {
	if n.isLeader && t.Known {
		return
	}
	n.Log.Info("Reading the store.", "topic", name, "known", t.Known, "behind", t.Behind, "alone", t.PeersFailed,
		"age_ms", now.Sub(t.AsOf).Milliseconds(), "rank", rank, "reader", n.isLeader)
}

func (n *Node) handleConfigsRead(e configsRead, now time.Time) {
	e.startedAt = n.startOfCall(e.startedAt)
	if e.err == nil && n.endOutdatedRead(&n.configsTopic, e.next) {
		return
	}
	if e.err != nil && e.startedAt.Before(n.resumedAt) {
		n.endReadOfPause(&n.configsTopic, e.err)
		return
	}
	if e.err != nil {
		n.configsTopic.ReadFailed(now, n.Random.Float64(), n.failingInFleet)
		n.Log.Info("Could not read configurations.", "error", e.err, "age_ms", now.Sub(n.configsTopic.AsOf).Milliseconds())
		return
	}
	n.configsTopic.ReadSucceeded(e.startedAt, e.next)
	n.storeAnsweredAt = e.startedAt
	evacuated := n.applyEvacuationRecords(e.records, e.next, now)
	for _, config := range e.records.Configs {
		n.applyNewestConfig(config, "store", now)
	}
	if evacuated {
		n.publishView(now)
	}
	n.broadcastUpdate(now)
}

// readerHash returns the hash that identifies an incarnation of an instance as a reader of the store.
func readerHash(m discovery.Member) uint32 {
	return max(hashID(fmt.Sprintf("%s/%d", m.ID, m.Started)), 1)
}

// endReadOfPause ends a read that failed after a pause in which its answer may have timed out. It tells nothing about the
// store, so the next read is due at once.
func (n *Node) endReadOfPause(t *storeread.Topic, err error) {
	t.ReadEnded()
	n.Log.Info("A read failed after a pause of the process.", "error", err)
}

// applyConfig puts a configuration into force unless it is older than the current one or invalid.
func (n *Node) applyConfig(config *routes.Config, source string, now time.Time) {
	if config == nil || n.table != nil && config.Version <= n.table.Version {
		return
	}
	table, err := routes.Build(config, n.table, n.Random)
	if err != nil {
		n.Log.Warn("Rejected an invalid configuration. The current one stays in force.", "version", config.Version, "error", err)
		return
	}
	n.logSplits(n.table)
	n.config, n.table = config, table
	n.applySharedLimits(config)
	n.configsTopic.Behind = false
	n.Log.Info("Configuration in force.", "version", config.Version, "routes", len(config.Routes), "source", source)
	n.publishView(now)
}

// readTargets starts a read of the records of targets if this instance is due to read them.
func (n *Node) readTargets(ctx context.Context, now time.Time, rank int) {
	if !n.targetsTopic.Due(now, n.targetsPriority(now, rank)) {
		return
	}
	n.targetsTopic.ReadStarted(now)
	n.logRead("targets", &n.targetsTopic, rank, now)
	n.traffic.storeCalls[CallTargets].Add(1)
	next, continues := n.targetsTopic.Next, n.era.Continues(&n.targetsTopic)
	waitForMarks := n.readMarksWithListing(ctx, now)
	go func() {
		r := targetsRead{startedAt: now}
		r.err = n.guardCall(storePart, func() (err error) {
			r.changes, r.next, r.complete, err = storeread.FetchTargets(ctx, n.Store, next, continues)
			return err
		})
		if r.err == nil {
			waitForMarks()
		}
		n.deliver(ctx, r)
	}()
}

func (n *Node) handleTargetsRead(e targetsRead, now time.Time) {
	e.startedAt = n.startOfCall(e.startedAt)
	if e.err == nil && n.endOutdatedRead(&n.targetsTopic, e.next) {
		return
	}
	if e.err != nil && e.startedAt.Before(n.storeAnsweredAt) {
		n.targetsTopic.ReadEnded()
		n.Log.Info("A read of targets failed after a later one succeeded.", "error", e.err)
		return
	}
	if e.err != nil && e.startedAt.Before(n.resumedAt) {
		n.endReadOfPause(&n.targetsTopic, e.err)
		return
	}
	if e.err != nil {
		n.targetsTopic.ReadFailed(now, n.Random.Float64(), n.failingInFleet)
		n.broadcastFailure(now)
		n.Log.Info("Could not read targets.", "error", e.err, "age_ms", now.Sub(n.targetsTopic.AsOf).Milliseconds())
		return
	}
	first := !n.targetsTopic.Known
	n.enterEra(e.next, "store", now)
	n.targetsTopic.ReadSucceeded(e.startedAt, e.next)
	n.storeAnsweredAt = e.startedAt
	n.registry.StoreAnswered(now, e.startedAt)
	n.updateStoreAvailability(now)
	changed := false
	if e.complete {
		changed = n.replaceTargets(e.changes, e.next, "store", now)
		n.targetsTopic.Relist = false
	} else {
		changed = n.applyChanges(n.classifyRemovals(e.changes, now), now)
	}
	n.registry.AdvanceReadPosition(n.targetsTopic.Next)
	if changed || first {
		n.publishView(now)
	}
	n.broadcastUpdate(now)
}
