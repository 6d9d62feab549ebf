package fleet

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// When the store is restored from an older copy, what was written since is gone, and offsets are given out again in a new era.
// The instance that reads next finds so, lists the topics and tells the others, which fetch the listing from their leaders. All
// repeat the departures of the lost time, because an instance that starts or was paused then lists the departed targets.

// eraState is what an instance knows of the era of the store.
type eraState struct {
	// noticed is the newest era that an answer of the store told this instance, at noticedAt.
	noticed   int64
	noticedAt time.Time
	// told is the newest era that a peer told this instance, first at toldAt.
	told   int64
	toldAt time.Time
}

// fetchLimit returns how long a fetch from a peer of a zone takes at most: the time over which the requests of the zone are
// spread, and the timeout of one.
func fetchLimit(zonePeers int) time.Duration {
	return fetchTimeout + time.Duration(zonePeers)*fetchSpreadPerInstance
}

// awaitsPeer reports whether this instance fetches a topic of a newer era from the peer that told of it, before it reads the store
// itself.
func (e eraState) awaitsPeer(t *topicState, now time.Time, limit time.Duration) bool {
	return t.known && !t.peersFailed && e.told > t.next.Era && now.Sub(e.toldAt) < limit
}

// tellEra records an era that a peer told.
func (n *Node) tellEra(era int64, now time.Time) {
	if era > n.era.told {
		n.era.told, n.era.toldAt = era, now
	}
}

// awaitsListing reports whether this instance waits for the targets of a newer era from a peer.
func (n *Node) awaitsListing(now time.Time) bool {
	return n.era.awaitsPeer(&n.targetsTopic, now, fetchLimit(n.members.zonePeerCount()))
}

// listingRequiredAt returns when an era was noticed that is newer than that of a topic, or zero if none was. A read of any
// instance since then is of that era.
func (e eraState) listingRequiredAt(t *topicState) time.Time {
	if t.next.Era >= e.noticed {
		return time.Time{}
	}
	return e.noticedAt
}

// continues reports whether a topic is read on from its position, rather than listed. The store does not have positions of an
// earlier era.
func (e eraState) continues(t *topicState) bool {
	return t.known && !t.relist && t.next.Era >= e.noticed
}

// noticeEra records a new era that any answer of the store told, also one to a write or a refusal.
func (n *Node) noticeEra(now time.Time) {
	if era := n.Store.Era(); era > n.era.noticed {
		n.era.noticed, n.era.noticedAt = era, now
	}
}

// enterEra prepares for the records of a newer era than those that were applied, if next is the position behind them.
func (n *Node) enterEra(next topic.Position, source string, now time.Time) {
	before := n.targetsTopic.next
	if next.Era <= before.Era {
		return
	}
	n.Store.LearnEra(next.Era)
	if !n.targetsTopic.known {
		return
	}
	n.registry.Restored(next.Era, now)
	n.traffic.storeRestores.Add(1)
	// What this instance wrote may be gone: the leaders look for their announcements, and one of them compares the crash marks.
	n.announcement = nil
	if n.storedMarks.listingDue.IsZero() {
		n.storedMarks.listingDue = now
	}
	if source == "store" {
		n.greetAfterListing(now)
	}
	for _, departure := range n.registry.RecentDepartures(now) {
		n.recentChanges = append(n.recentChanges, recentChange{departure, now})
	}
	n.Log.Warn("The store was restored from an older copy.", "source", source, "era_before", before.Era, "era", next.Era,
		"next_before", before.Offset, "next", next.Offset, "config", n.configVersion())
}

// greetAfterListing asks other instances for the departures that this one missed. After a pause it lists targets in the new era
// that departed in the lost time. Whether a member was heard from lately does not matter.
func (n *Node) greetAfterListing(now time.Time) {
	receivers := addressesOf(n.members.heartbeatReceivers(now))
	for _, list := range n.members.remotePeers {
		receivers = append(receivers, addressesOf(list[:min(maxRemoteGreetings, len(list))])...)
	}
	n.sendDatagram(n.newGreeting(now), receivers...)
}

// endOutdatedRead ends a read of an earlier era than the one that is known by now, and reports whether it was one. It says
// nothing about the topic.
func (n *Node) endOutdatedRead(t *topicState, next topic.Position) bool {
	if !t.known || next.Era >= t.next.Era {
		return false
	}
	t.readEnded()
	n.Log.Info("Ignored an answer of an earlier era of the store.", "era", next.Era, "known_era", t.next.Era)
	return true
}
