package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/basillink/basillink/internal/clock"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

// readConfigs starts a read of the configurations if this instance is due to read them.
func (n *Node) readConfigs(ctx context.Context, now time.Time, rank int) {
	// Failed reads of targets show that the store does not answer this instance, and overdue ones that it may answer
	// nobody. Reading one topic is then enough to find out.
	overdue := n.targetsTopic.known && n.configsTopic.known && now.Sub(n.targetsTopic.asOf) >= targetsReadInterval+firstRankDelay
	if n.targetsTopic.backoff > 0 || overdue {
		n.configsHeldAt = now
		return
	}
	if !n.configsTopic.due(now, n.configsPriority(now, rank)) {
		return
	}
	n.configsTopic.readStarted(now)
	n.logRead("configs", &n.configsTopic, rank, now)
	n.traffic.storeCalls[CallConfigs].Add(1)
	next, known := n.configsTopic.next, n.era.continues(&n.configsTopic)
	go func() {
		r := configsRead{startedAt: now}
		r.err = n.guardCall(storePart, func() (err error) {
			r.configs, r.next, err = n.fetchConfigs(ctx, next, known)
			return err
		})
		n.deliver(ctx, r)
	}()
}

// fetchConfigs reads the configurations from a position on, or the newest one if none is known or the store does not have the
// records from that position on.
func (n *Node) fetchConfigs(ctx context.Context, from topic.Position, known bool) (configs []*routes.Config, next topic.Position, err error) {
	if known {
		configs, next, err = n.Store.ConfigsSince(ctx, from)
		if !isTrimmed(err) {
			return configs, next, err
		}
	}
	newest, next, err := n.Store.NewestConfig(ctx)
	if newest != nil {
		configs = []*routes.Config{newest}
	}
	return configs, next, err
}

// readPriority returns the priority of this instance for reads of the store.
func (n *Node) readPriority(now time.Time, rank int) readPriority {
	return readPriority{rank: rank, isLeader: n.isLeader, firstRead: n.firstReadTime(now, rank), failing: n.failingInFleet, storeAnsweredAt: n.storeAnsweredAt}
}

// configsPriority returns the priority of this instance for reads of the configurations.
func (n *Node) configsPriority(now time.Time, rank int) readPriority {
	priority := n.readPriority(now, rank)
	priority.requiredAsOf = n.era.listingRequiredAt(&n.configsTopic)
	priority.heldAt = n.configsHeldAt
	return priority
}

// targetsPriority returns the priority of this instance for reads of the targets.
func (n *Node) targetsPriority(now time.Time, rank int) readPriority {
	priority := n.readPriority(now, rank)
	priority.requiredAsOf = n.era.listingRequiredAt(&n.targetsTopic)
	priority.awaitsPeer = n.awaitsListing(now)
	if at := n.registry.ExpiredDecidedAt(); !at.IsZero() && !now.Before(at) {
		priority.requiredAsOf = clock.Later(priority.requiredAsOf, at.Add(expiredReadMargin))
	}
	return priority
}

// updateFailingCounts counts the instances whose reads of the store fail: those of this zone, this one included, and
// those of the whole fleet as far as they are known.
func (n *Node) updateFailingCounts(now time.Time) {
	n.failingInZone = 0
	if n.targetsTopic.isFailing(now) {
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
func (n *Node) logRead(name string, topic *topicState, rank int, now time.Time) {
	if n.isLeader && topic.known {
		return
	}
	n.Log.Info("Reading the store.", "topic", name, "known", topic.known, "behind", topic.behind, "alone", topic.peersFailed,
		"age_ms", now.Sub(topic.asOf).Milliseconds(), "rank", rank, "reader", n.isLeader)
}

func isTrimmed(err error) bool {
	var trimmed *discovery.TrimmedError
	return errors.As(err, &trimmed)
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
		n.configsTopic.readFailed(now, n.Random.Float64(), n.failingInFleet)
		n.Log.Info("Could not read configurations.", "error", e.err, "age_ms", now.Sub(n.configsTopic.asOf).Milliseconds())
		return
	}
	n.configsTopic.readSucceeded(e.startedAt, e.next)
	n.storeAnsweredAt = e.startedAt
	for _, config := range e.configs {
		n.applyNewestConfig(config, "store", now)
	}
	n.broadcastUpdate(now)
}

// endReadOfPause ends a read that failed after a pause in which its answer may have timed out. It tells nothing about the
// store, so the next read is due at once.
func (n *Node) endReadOfPause(topic *topicState, err error) {
	topic.readEnded()
	n.Log.Info("A read failed after a pause of the process.", "error", err)
}

// applyConfig puts a configuration into force unless it is older than the current one or invalid.
func (n *Node) applyConfig(config *routes.Config, source string, now time.Time) {
	if config == nil || n.table != nil && config.Version <= n.table.Version {
		return
	}
	table, err := routes.Build(config)
	if err != nil {
		n.Log.Warn("Rejected an invalid configuration. The current one stays in force.", "version", config.Version, "error", err)
		return
	}
	n.config, n.table = config, table
	n.configsTopic.behind = false
	n.Log.Info("Configuration in force.", "version", config.Version, "routes", len(config.Routes), "source", source)
	n.publishView(now)
}

// readTargets starts a read of the records of targets if this instance is due to read them.
func (n *Node) readTargets(ctx context.Context, now time.Time, rank int) {
	if !n.targetsTopic.due(now, n.targetsPriority(now, rank)) {
		return
	}
	n.targetsTopic.readStarted(now)
	n.logRead("targets", &n.targetsTopic, rank, now)
	n.traffic.storeCalls[CallTargets].Add(1)
	next, known := n.targetsTopic.next, n.era.continues(&n.targetsTopic)
	go func() {
		r := targetsRead{startedAt: now}
		r.err = n.guardCall(storePart, func() (err error) {
			r.changes, r.next, r.complete, err = n.fetchTargets(ctx, next, known)
			return err
		})
		n.deliver(ctx, r)
	}()
}

// fetchTargets reads the records of targets from a position on, or the newest record of each target if none are known or the
// store does not have the records from that position on. The result is complete in the latter case.
func (n *Node) fetchTargets(ctx context.Context, from topic.Position, known bool) (changes []registry.Change, next topic.Position, complete bool, err error) {
	if known {
		changes, next, err = n.Store.TargetsSince(ctx, from)
		if !isTrimmed(err) {
			return changes, next, false, err
		}
	}
	changes, next, err = n.Store.NewestTargets(ctx)
	return changes, next, true, err
}

func (n *Node) handleTargetsRead(e targetsRead, now time.Time) {
	e.startedAt = n.startOfCall(e.startedAt)
	if e.err == nil && n.endOutdatedRead(&n.targetsTopic, e.next) {
		return
	}
	if e.err != nil && e.startedAt.Before(n.storeAnsweredAt) {
		n.targetsTopic.readEnded()
		n.Log.Info("A read of targets failed after a later one succeeded.", "error", e.err)
		return
	}
	if e.err != nil && e.startedAt.Before(n.resumedAt) {
		n.endReadOfPause(&n.targetsTopic, e.err)
		return
	}
	if e.err != nil {
		n.targetsTopic.readFailed(now, n.Random.Float64(), n.failingInFleet)
		n.broadcastFailure(now)
		n.Log.Info("Could not read targets.", "error", e.err, "age_ms", now.Sub(n.targetsTopic.asOf).Milliseconds())
		return
	}
	first := !n.targetsTopic.known
	n.enterEra(e.next, "store", now)
	n.targetsTopic.readSucceeded(e.startedAt, e.next)
	n.storeAnsweredAt = e.startedAt
	n.registry.StoreAnswered(now, e.startedAt)
	n.updateStoreAvailability(now)
	changed := false
	if e.complete {
		changed = n.replaceTargets(e.changes, e.next, "store", now)
		n.targetsTopic.relist = false
	} else {
		changed = n.applyChanges(n.classifyRemovals(e.changes, now), now)
	}
	n.registry.AdvanceReadPosition(n.targetsTopic.next)
	if changed || first {
		n.publishView(now)
	}
	n.broadcastUpdate(now)
}
