package fleet

import (
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

// maxLoggedTargets is the largest number of targets that one log line names.
const maxLoggedTargets = 16

func truncateForLog(ids []string) []string { return ids[:min(len(ids), maxLoggedTargets)] }

// replaceTargets applies a complete listing of the targets. It reports whether anything changed.
func (n *Node) replaceTargets(changes []registry.Change, next topic.Position, source string, now time.Time) bool {
	departed, changed := n.registry.Replace(changes, next, now)
	// Recent changes are still repeated, because those that started lately may not know of the departures among them.
	n.recentChangesBase = next
	n.Log.Info("Applied a listing of the targets.", "source", source, "records", len(changes), "next", next.Offset, "era", next.Era,
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
// instances that missed them. It reports whether any of them may have changed the targets that are usable or probed.
func (n *Node) applyChanges(changes []registry.Change, now time.Time) bool {
	changed := false
	for _, c := range changes {
		effect := n.registry.Merge(c, now)
		n.logChange(c, effect)
		unchanged := c.Entry != nil && !c.Lapsed && (effect == registry.Unchanged || effect == registry.Outdated)
		if unchanged && !n.registry.EntriesReturn(now) {
			continue
		}
		changed = changed || !unchanged
		// While entries return, other instances may have taken a target that this one still had for expired.
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

// splitByPosition splits changes into those before a position and the others.
func splitByPosition(changes []registry.Change, p topic.Position) (before, rest []registry.Change) {
	for _, c := range changes {
		if c.Position().Before(p) {
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
	var dropped, running []string
	for _, c := range departures {
		switch n.registry.Learn(c, now) {
		case registry.DepartureLearned:
			n.recentChanges = append(n.recentChanges, recentChange{c, now})
		case registry.LateWriteFound:
			n.recentChanges = append(n.recentChanges, recentChange{c, now})
			dropped = append(dropped, c.ID)
		case registry.FoundRunningByPeer:
			n.recentChanges = append(n.recentChanges, recentChange{c, now})
			running = append(running, c.ID)
		}
	}
	if len(dropped) > 0 {
		n.Log.Info("Dropped targets that a peer knows to have departed before their entries were written.", "targets", truncateForLog(dropped))
	}
	if len(running) > 0 {
		n.Log.Info("A peer found targets running whose entries were held.", "targets", truncateForLog(running))
	}
	if len(dropped)+len(running) > 0 {
		n.publishView(now)
	}
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
	if !n.targetsTopic.Known {
		return nil
	}
	for len(n.recentChanges) > 0 && (now.Sub(n.recentChanges[0].seenAt) > repeatPeriod || len(n.recentChanges) > maxRepeatedChanges) {
		n.recentChangesBase = topic.Later(n.recentChangesBase, n.recentChanges[0].change.Position().Next())
		n.recentChanges = n.recentChanges[1:]
	}
	answering := now.Sub(n.registry.StoreAnsweringSince()).Milliseconds()
	update := &targetsUpdate{
		Base: n.recentChangesBase.Offset, BaseEra: n.recentChangesBase.Era, Next: n.targetsTopic.Next.Offset, NextEra: n.targetsTopic.Next.Era,
		AgeMS: now.Sub(n.targetsTopic.AsOf).Milliseconds(), StoreAnsweringMS: &answering, Answer: n.targetsTopic.Answer,
	}
	if era, at := n.registry.LatestRestore(); era > 0 {
		update.RestoredEra, update.RestoredMS = era, now.Sub(at).Milliseconds()
	}
	for _, r := range n.recentChanges {
		update.Changes = append(update.Changes, n.currentVerdict(r.change, now))
	}
	return update
}

// currentVerdict returns a change with the current verdict of this instance on it. A target that is not retained any more has
// departed, unless a later change tells that it is back: told as departed it would be held until it is found running.
func (n *Node) currentVerdict(c registry.Change, now time.Time) registry.Change {
	if !c.Lapsed {
		return n.registry.WithKnowledge(c, now)
	}
	if n.registry.IsBackSince(c.ID, c.Position()) {
		return c
	}
	if c.Lapsed, c.Hold = n.registry.Retained(c.ID, now); !c.Lapsed {
		c.Entry = nil
	}
	return c
}

// recordStoreAnswers records what a peer knows of the answers of the store. It returns the time of the latest one.
func (n *Node) recordStoreAnswers(update *targetsUpdate, now time.Time) time.Time {
	until := n.targetsTopic.DateAnswer(update.Answer, now.Add(-time.Duration(update.AgeMS)*time.Millisecond))
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
	if !n.targetsTopic.Known {
		n.targetsTopic.Behind = true
		return false
	}
	next := update.next()
	n.era.Tell(next.Era, now)
	if next.After(n.targetsTopic.Next) && update.base().After(n.targetsTopic.Next) {
		n.targetsTopic.Behind = true
		return false
	}
	changed := false
	applied, missed := splitByPosition(update.Changes, n.targetsTopic.Next)
	n.learnDepartures(applied, now)
	if next.After(n.targetsTopic.Next) {
		n.registry.Restored(update.RestoredEra, now.Add(-time.Duration(update.RestoredMS)*time.Millisecond))
		n.enterEra(next, "peer", now)
		changed = n.applyChanges(missed, now)
		n.targetsTopic.Next = next
		n.registry.AdvanceReadPosition(next)
	}
	if !next.Before(n.targetsTopic.Next) {
		n.targetsTopic.Refresh(asOf, update.Answer)
		n.targetsTopic.Behind = false
	}
	n.updateStoreAvailability(now)
	return changed
}
