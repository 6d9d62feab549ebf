package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// event is an input of the control loop.
type event interface{}

// datagramReceived is a datagram of a peer.
type datagramReceived struct {
	datagram *datagram
	from     string
}

// configsRead is the result of a read of configurations.
type configsRead struct {
	startedAt time.Time
	configs   []*routes.Config
	next      int64
	err       error
}

// targetsRead is the result of a read of targets. complete is true when it holds the newest record of every target.
type targetsRead struct {
	startedAt time.Time
	changes   []registry.Change
	complete  bool
	next      int64
	err       error
}

// membersRead is the result of a read of the announced members. announced is the entry of this instance, nil if the
// read did not announce it.
type membersRead struct {
	members   []discovery.Member
	announced *discovery.Member
	err       error
}

// stateFetched is the answer of a peer to a request for its state.
type stateFetched struct {
	state       *State
	requestedAt time.Time
	err         error
}

// marksFetched is the answer of a peer to a request for its crash marks.
type marksFetched struct {
	marks  []discovery.CrashMark
	peerID string
	err    error
}

// stateRequested is a request of a peer for the state of this instance.
type stateRequested struct {
	request StateRequest
	reply   chan State
}

// roundFinished holds the results of one round of load probes.
type roundFinished struct{ results []probeResult }

// targetMisdirected reports that the address of a target was answered by another incarnation.
type targetMisdirected struct{ targetID string }

// handle processes one event.
func (n *Node) handle(ctx context.Context, e event, now time.Time) {
	switch e := e.(type) {
	case datagramReceived:
		n.handleDatagram(ctx, e, now)
	case configsRead:
		n.handleConfigsRead(e, now)
	case targetsRead:
		n.handleTargetsRead(e, now)
	case membersRead:
		n.handleMembersRead(e, now)
	case stateFetched:
		n.handleStateFetched(e, now)
	case storedMarksRead:
		n.handleStoredMarksRead(e, now)
	case markStored:
		n.handleMarkStored(e, now)
	case marksFetched:
		n.handleMarksFetched(e, now)
	case stateRequested:
		e.reply <- n.stateFor(e.request, now)
	case roundFinished:
		n.handleRoundFinished(e, now)
	case markBroadcast:
		n.broadcastMark(e.mark, now)
	case targetMisdirected:
		if n.registry.Drop(e.targetID) {
			n.Log.Info("Dropped a target whose address answers for another one.", "target", e.targetID)
			n.publishView(now)
		}
	}
}

// readConfigs starts a read of the configurations if this instance is due to read them.
func (n *Node) readConfigs(ctx context.Context, now time.Time, rank int) {
	// Failed reads of targets show that the store does not answer this instance, and overdue ones that it may answer
	// nobody. Reading one topic is then enough to find out.
	overdue := n.targetsTopic.known && n.configsTopic.known && now.Sub(n.targetsTopic.asOf) >= targetsReadInterval+firstRankDelay
	if n.targetsTopic.backoff > 0 || overdue || !n.configsTopic.due(now, n.readPriority(now, rank)) {
		return
	}
	n.configsTopic.readStarted(now)
	n.logRead("configs", &n.configsTopic, rank, now)
	n.traffic.storeCalls[CallConfigs].Add(1)
	next, known := n.configsTopic.next, n.configsTopic.known
	go func() {
		r := configsRead{startedAt: now}
		r.err = n.guardCall(storePart, func() (err error) {
			r.configs, r.next, err = n.fetchConfigs(ctx, next, known)
			return err
		})
		n.deliver(ctx, r)
	}()
}

// fetchConfigs reads the configurations from an offset on, or the newest one if none is known or the offset is no longer
// available.
func (n *Node) fetchConfigs(ctx context.Context, from int64, known bool) (configs []*routes.Config, next int64, err error) {
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

// deliver passes the result of an own call to the control loop. It blocks until there is space, because the loop
// depends on the result.
func (n *Node) deliver(ctx context.Context, e event) {
	select {
	case n.inbox <- e:
	case <-ctx.Done():
	}
}

func isTrimmed(err error) bool {
	var trimmed *discovery.TrimmedError
	return errors.As(err, &trimmed)
}

func (n *Node) handleConfigsRead(e configsRead, now time.Time) {
	e.startedAt = n.startOfCall(e.startedAt)
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
		n.applyConfig(config, "store", now)
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
	if !n.targetsTopic.due(now, n.readPriority(now, rank)) {
		return
	}
	n.targetsTopic.readStarted(now)
	n.logRead("targets", &n.targetsTopic, rank, now)
	n.traffic.storeCalls[CallTargets].Add(1)
	next, known := n.targetsTopic.next, n.targetsTopic.known && !n.targetsTopic.relist
	go func() {
		r := targetsRead{startedAt: now}
		r.err = n.guardCall(storePart, func() (err error) {
			r.changes, r.next, r.complete, err = n.fetchTargets(ctx, next, known)
			return err
		})
		n.deliver(ctx, r)
	}()
}

// fetchTargets reads the records of targets from an offset on, or the newest record of each target if none are known or the
// offset is no longer available. The result is complete in the latter case.
func (n *Node) fetchTargets(ctx context.Context, from int64, known bool) (changes []registry.Change, next int64, complete bool, err error) {
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
	n.registry.AdvanceReadOffset(n.targetsTopic.next)
	if changed || first {
		n.publishView(now)
	}
	n.broadcastUpdate(now)
}

// maxLoggedTargets is the largest number of targets that one log line names.
const maxLoggedTargets = 16

func truncateForLog(ids []string) []string { return ids[:min(len(ids), maxLoggedTargets)] }

// replaceTargets applies a complete listing of the targets. It reports whether anything changed.
func (n *Node) replaceTargets(changes []registry.Change, next int64, source string, now time.Time) bool {
	departed, changed := n.registry.Replace(changes, next, now)
	n.recentChanges, n.recentChangesBase = nil, next
	n.Log.Info("Applied a listing of the targets.", "source", source, "records", len(changes), "next", next,
		"left", len(departed), "targets", truncateForLog(departed))
	return changed
}

// classifyRemovals decides for each removal whether it may be the effect of an outage of the store.
func (n *Node) classifyRemovals(changes []registry.Change, now time.Time) []registry.Change {
	for i := range changes {
		changes[i] = n.registry.Classify(changes[i], now)
	}
	return changes
}

// applyChanges applies classified changes of targets and remembers those that others have to apply too, to repeat them for
// instances that missed them. It reports whether any of them may have changed the usable targets.
func (n *Node) applyChanges(changes []registry.Change, now time.Time) bool {
	changed := false
	for _, c := range changes {
		effect := n.registry.Merge(c, now)
		n.logChange(c, effect)
		if c.Entry != nil && !c.Lapsed && (effect == registry.Unchanged || effect == registry.Outdated) {
			continue
		}
		changed = changed || effect != registry.Held
		n.recentChanges = append(n.recentChanges, recentChange{c, now})
	}
	return changed
}

// logChange logs a change of a target. Entries that change nothing are not logged.
func (n *Node) logChange(c registry.Change, effect registry.Effect) {
	switch {
	case effect == registry.Outdated:
		n.Log.Info("Ignored an outdated entry of a target.", "target", c.ID, "offset", c.Offset, "born", c.Entry.Born, "sequence", c.Entry.Sequence)
	case effect == registry.Held:
		n.Log.Info("Holding an entry of a target that may be outdated.", "target", c.ID, "offset", c.Offset, "born", c.Entry.Born, "sequence", c.Entry.Sequence)
	case c.Lapsed:
		n.Log.Info("The entry of a target expired.", "target", c.ID, "offset", c.Offset, "hold_ms", c.Hold.Milliseconds())
	case c.Entry == nil:
		n.Log.Info("A target is gone.", "target", c.ID, "offset", c.Offset)
	case effect == registry.Changed:
		n.Log.Info("A target changed.", "target", c.ID, "offset", c.Offset, "service", c.Entry.Service, "draining", c.Entry.Draining,
			"warmup_ms", c.Entry.WarmupLeft.Milliseconds(), "born", c.Entry.Born, "sequence", c.Entry.Sequence)
	}
}

// splitByOffset splits changes into those before an offset and the others.
func splitByOffset(changes []registry.Change, offset int64) (before, rest []registry.Change) {
	for _, c := range changes {
		if c.Offset < offset {
			before = append(before, c)
		} else {
			rest = append(rest, c)
		}
	}
	return before, rest
}

// learnDepartures takes over what a peer knows of recent departures, and repeats it for the others, which may have started at the
// same time.
func (n *Node) learnDepartures(departures []registry.Change, now time.Time) {
	var dropped []string
	for _, c := range departures {
		switch n.registry.Learn(c, now) {
		case registry.DepartureLearned:
			n.recentChanges = append(n.recentChanges, recentChange{c, now})
		case registry.LateWriteFound:
			n.recentChanges = append(n.recentChanges, recentChange{c, now})
			dropped = append(dropped, c.ID)
		}
	}
	if len(dropped) == 0 {
		return
	}
	n.Log.Info("Dropped targets that a peer knows to have departed before their entries were written.", "targets", truncateForLog(dropped))
	n.publishView(now)
}

// admitHeldTargets puts targets into use whose entries were held and have proved to be newer.
func (n *Node) admitHeldTargets(now time.Time) {
	if !n.targetsTopic.known {
		return
	}
	admitted := n.registry.AdmitHeld(now, n.targetsTopic.asOf)
	if len(admitted) == 0 {
		return
	}
	n.Log.Info("Targets whose entries were held are running.", "count", len(admitted), "targets", truncateForLog(admitted))
	n.publishView(now)
}

// repeatPeriod is how long changes and crash marks are repeated in datagrams. It covers several lost datagrams in a
// row.
const repeatPeriod = 1500 * time.Millisecond

// maxRepeatedChanges is the largest number of changes in one datagram. An instance that missed more of them fetches the
// whole state.
const maxRepeatedChanges = 24

// targetsUpdate returns how far the records of targets were read, with the latest changes, or nil if they were not read
// yet.
func (n *Node) targetsUpdate(now time.Time) *targetsUpdate {
	if !n.targetsTopic.known {
		return nil
	}
	for len(n.recentChanges) > 0 && (now.Sub(n.recentChanges[0].seenAt) > repeatPeriod || len(n.recentChanges) > maxRepeatedChanges) {
		n.recentChangesBase = max(n.recentChangesBase, n.recentChanges[0].change.Offset+1)
		n.recentChanges = n.recentChanges[1:]
	}
	answering := now.Sub(n.registry.StoreAnsweringSince()).Milliseconds()
	update := &targetsUpdate{
		Base: n.recentChangesBase, Next: n.targetsTopic.next, AgeMS: now.Sub(n.targetsTopic.asOf).Milliseconds(), StoreAnsweringMS: &answering,
		Answer: n.targetsTopic.answer,
	}
	for _, r := range n.recentChanges {
		update.Changes = append(update.Changes, n.currentVerdict(r.change, now))
	}
	return update
}

// currentVerdict returns a change with the current verdict of this instance on it. A target that is not retained any more has
// departed, or a later change tells that it is back.
func (n *Node) currentVerdict(c registry.Change, now time.Time) registry.Change {
	if !c.Lapsed {
		return n.registry.WithKnowledge(c, now)
	}
	if c.Lapsed, c.Hold = n.registry.Retained(c.ID, now); !c.Lapsed {
		c.Entry = nil
	}
	return c
}

// configStatus returns the version of the configuration in force, 0 for none, or nil while that is unknown.
func (n *Node) configStatus(now time.Time) *configStatus {
	if !n.configsTopic.known {
		return nil
	}
	return &configStatus{Version: n.configVersion(), AgeMS: now.Sub(n.configsTopic.asOf).Milliseconds(), Answer: n.configsTopic.answer}
}

// recordStoreAnswers records what a peer knows of the answers of the store. It returns the time of the latest one.
func (n *Node) recordStoreAnswers(update *targetsUpdate, now time.Time) time.Time {
	until := n.targetsTopic.answerTimes.date(update.Answer, now.Add(-time.Duration(update.AgeMS)*time.Millisecond))
	since := until
	if update.StoreAnsweringMS != nil {
		since = now.Add(-time.Duration(*update.StoreAnsweringMS) * time.Millisecond)
	}
	n.registry.StoreAnswered(since, until)
	return until
}

// mergeTargetsUpdate applies the update of a peer. It reports whether anything changed.
func (n *Node) mergeTargetsUpdate(update *targetsUpdate, now time.Time) bool {
	asOf := n.recordStoreAnswers(update, now)
	if !n.targetsTopic.known {
		n.targetsTopic.behind = true
		return false
	}
	if update.Next > n.targetsTopic.next && update.Base > n.targetsTopic.next {
		n.targetsTopic.behind = true
		return false
	}
	changed := false
	applied, missed := splitByOffset(update.Changes, n.targetsTopic.next)
	n.learnDepartures(applied, now)
	if update.Next > n.targetsTopic.next {
		changed = n.applyChanges(missed, now)
		n.targetsTopic.next = update.Next
		n.registry.AdvanceReadOffset(update.Next)
	}
	if update.Next >= n.targetsTopic.next {
		n.targetsTopic.refresh(asOf, update.Answer)
		n.targetsTopic.behind = false
	}
	n.updateStoreAvailability(now)
	return changed
}
