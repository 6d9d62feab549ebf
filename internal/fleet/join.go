package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// announceAfter is how long an instance reads its zone before it announces itself in the store.
	announceAfter = 400 * time.Millisecond
	// seedWait is how long an instance that starts waits for an answer of the seeds before it asks the store for members.
	seedWait = 15 * time.Millisecond
	// joinRetry is the pause before this instance asks the store again for the members, and lastJoinRetry the longest.
	joinRetry     = 700 * time.Millisecond
	lastJoinRetry = 10 * time.Second
	// announceFactor is how much the number of instances must have changed before a reader announces it again.
	announceFactor = 2
)

// join asks the store for the announced members while no other instance is heard, and announces this instance when it
// reads its zone. The others find each other through the seeds and through the readers, because each call to the store is
// paid for.
func (n *Node) join(ctx context.Context, now time.Time) {
	isolated := n.members.isolated(now)
	if isolated || n.members.zoneReader(now) == nil && !n.reader {
		n.greetSeeds(now)
	}
	asks := isolated && now.Sub(n.started) >= n.seedPatience()
	announces := n.reader && now.Sub(n.readerSince) >= announceAfter && (isolated || n.settled(now)) && n.announcementIsOld()
	if n.joining || now.Before(n.joinAt) || !announces && !asks {
		return
	}
	n.joining = true
	self := n.Self
	if n.settled(now) {
		self.Fleet = n.instances
	}
	go func() {
		var r membersRead
		n.traffic.calls[CallMembers].Add(1)
		r.members, r.err = n.Store.Members(ctx)
		if r.err == nil && announces {
			r = n.announce(ctx, self, r.members)
		}
		n.deliver(ctx, r)
	}()
}

// seedPatience is how long this instance waits after its start for an answer of the seeds. When the whole system starts for
// the first time, nobody is announced, and the seeds start as well. After a restart of all they start as well too; the waits are
// spread then, so that few ask before the first ones are heard.
func (n *Node) seedPatience() time.Duration {
	if n.Bootstrap {
		return max(seedWait, n.startPatience())
	}
	return seedWait + time.Duration(n.patience*float64(n.startPatience()))
}

// announcementIsOld reports whether this instance is not announced, or with a number of instances that is far off.
func (n *Node) announcementIsOld() bool {
	return n.announced == nil || differByFactor(n.announced.Fleet, n.instances)
}

func differByFactor(a, b int) bool { return a > announceFactor*b || b > announceFactor*a }

// announce announces this instance unless it is, and reads the members once more. That finds those that were announced at
// the same time and read before this instance was.
func (n *Node) announce(ctx context.Context, self discovery.Member, members []discovery.Member) membersRead {
	r := membersRead{members: members, announced: &self}
	i := slices.IndexFunc(members, n.isSelf)
	if i >= 0 && (self.Fleet == 0 || !differByFactor(members[i].Fleet, self.Fleet)) {
		r.announced = &members[i]
		return r
	}
	n.traffic.calls[CallAnnounce].Add(1)
	if r.err = n.Store.Announce(ctx, self); r.err == nil {
		n.traffic.calls[CallMembers].Add(1)
		r.members, r.err = n.Store.Members(ctx)
	}
	return r
}

// isSelf reports whether an announced member is this instance, in this or an earlier incarnation.
func (n *Node) isSelf(m discovery.Member) bool {
	return m.ID == n.Self.ID && m.Address == n.Self.Address && m.Zone == n.Self.Zone && m.Capacity == n.Self.Capacity
}

func (n *Node) handleMembers(e membersRead, now time.Time) {
	n.joining = false
	n.takeSize(e.members)
	n.meet(e.members, now)
	n.joinPause = min(max(2*n.joinPause, joinRetry), lastJoinRetry)
	n.joinAt = now.Add(n.joinPause)
	if e.err != nil {
		n.Log.Info("Could not read or announce members.", "error", e.err)
		return
	}
	if e.announced != nil {
		n.announced = e.announced
		n.joinPause = 0
	}
	n.countedAt = time.Time{}
	n.noteInstances(now)
	n.Log.Info("Read the announced members.", "members", len(e.members), "announced", e.announced != nil)
}

// takeSize takes over how large the zone was when its reader was announced. An instance that was the reader itself need not
// wait for others after a restart of all.
func (n *Node) takeSize(members []discovery.Member) {
	zones, fleet := map[string]bool{}, 0
	for _, m := range members {
		zones[m.Zone] = true
		fleet = max(fleet, m.Fleet)
	}
	if len(zones) > 0 {
		n.members.toldSize = max(n.members.toldSize, fleet/len(zones))
	}
	n.members.wasReader = slices.ContainsFunc(members, n.isSelf)
}

const (
	// patienceOfCore is how long an instance with a whole core waits after its start for instances that tell it what they
	// know, before it asks the store. Weaker instances start more slowly and wait longer.
	patienceOfCore = 50 * time.Millisecond
	// helpWait is how much longer it waits while a member is heard that comes before it in its zone.
	helpWait = 800 * time.Millisecond
)

// startPatience is how long this instance waits after its start before it asks the store for what it lacks.
func (n *Node) startPatience() time.Duration {
	if len(n.Seeds) == 0 {
		return 0
	}
	return patience(n.Self)
}

// patience is how long a member waits for stronger ones, which start sooner and take work on for it.
func patience(m discovery.Member) time.Duration {
	return patienceOfCore * CapacityUnit / time.Duration(max(m.Capacity, leastCapacity))
}

// firstRead is when this instance reads a topic that nobody told it of.
func (n *Node) firstRead(now time.Time, rank int) time.Time {
	at := n.started.Add(n.startPatience())
	if claim := n.members.mayClaim(n.started); len(n.Seeds) > 0 && at.Before(claim) {
		at = claim
	}
	if n.members.zoneReader(now) != nil {
		at = at.Add(helpWait + time.Duration(rank)*standbyStep)
	}
	return at
}
