package fleet

import (
	"time"

	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// When the store is restored from an older copy, what was written since is gone, and offsets are given out again in a new era.
// The instance that reads next finds so, lists the topics and tells the others, which fetch the listing from their leaders. All
// repeat the departures of the lost time, because an instance that starts or was paused then lists the departed targets.

// fetchLimit returns how long a fetch from a peer of a zone takes at most: the time over which the requests of the zone are
// spread, and the timeout of one.
func fetchLimit(zonePeers int) time.Duration {
	return fetchTimeout + time.Duration(zonePeers)*fetchSpreadPerInstance
}

// awaitsListing reports whether this instance waits for the targets of a newer era from a peer.
func (n *Node) awaitsListing(now time.Time) bool {
	return n.era.AwaitsPeer(&n.targetsTopic, now, fetchLimit(n.members.zonePeerCount()))
}

// enterEra prepares for the records of a newer era than those that were applied, if next is the position behind them.
func (n *Node) enterEra(next topic.Position, source string, now time.Time) {
	before := n.targetsTopic.Next
	if next.Era <= before.Era {
		return
	}
	n.Store.LearnEra(next.Era)
	if !n.targetsTopic.Known {
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
func (n *Node) endOutdatedRead(t *storeread.Topic, next topic.Position) bool {
	if !t.Known || next.Era >= t.Next.Era {
		return false
	}
	t.ReadEnded()
	n.Log.Info("Ignored an answer of an earlier era of the store.", "era", next.Era, "known_era", t.Next.Era)
	return true
}
