package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/storeread"
)

const (
	// announceDelay is how long an instance has to be leader of its zone before it announces itself in the store.
	announceDelay = 400 * time.Millisecond
	// seedWait is how long a starting instance waits at least for an answer of the seeds before it reads the members
	// from the store.
	seedWait = 15 * time.Millisecond
	// minJoinBackoff and maxJoinBackoff bound the growing pause between two reads of the members.
	minJoinBackoff = 700 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
	// announceFactor is the factor by which the number of instances has to change before a leader announces it again.
	announceFactor = 2
)

// join reads the announced members from the store while no other instance is live, and announces this instance when it
// is the leader of its zone. The other instances find each other through the seeds and the leaders, because each call
// to the store is billed.
func (n *Node) join(ctx context.Context, now time.Time) {
	isolated := n.members.isolated(now)
	if isolated || n.members.zoneLeader(now) == nil && !n.isLeader {
		n.greetSeeds(now)
	}
	shouldRead := isolated && now.Sub(n.listeningSince()) >= n.seedAnswerWait()
	shouldAnnounce := n.isLeader && now.Sub(n.leaderSince) >= announceDelay && (isolated || n.instanceCountConverged(now)) && n.announcementOutdated()
	if n.joinInFlight || now.Before(n.nextJoin) || !shouldAnnounce && !shouldRead {
		return
	}
	n.joinInFlight = true
	self := n.Self
	if n.instanceCountConverged(now) {
		self.Fleet = n.instances
	}
	go func() {
		var r membersRead
		n.traffic.storeCalls[CallMembers].Add(1)
		err := n.guardCall(storePart, func() error {
			if r.members, r.err = n.Store.Members(ctx); r.err == nil && shouldAnnounce {
				r = n.announce(ctx, self, r.members)
			}
			return r.err
		})
		r.err = err
		n.deliver(ctx, r)
	}()
}

// seedAnswerWait returns how long this instance waits after its start for an answer of the seeds. On the first start of
// the whole system no instance is announced and the seeds are starting as well, so every instance waits for the whole
// start delay. After a restart of all instances the seeds are starting too; random waits then let the first ones be
// heard before many have called the store.
func (n *Node) seedAnswerWait() time.Duration {
	if n.Bootstrap {
		return max(seedWait, n.startDelay())
	}
	return seedWait + time.Duration(n.startDelayFraction*float64(n.startDelay()))
}

// announcementOutdated reports whether this instance is not announced, or is announced with a number of instances that
// is off by more than announceFactor.
func (n *Node) announcementOutdated() bool {
	return n.announcement == nil || differByFactor(n.announcement.Fleet, n.instances)
}

func differByFactor(a, b int) bool { return a > announceFactor*b || b > announceFactor*a }

// announce announces this instance unless it is announced already, and then reads the members once more. This finds
// instances that were announced at the same time and had read the members before this one was announced.
func (n *Node) announce(ctx context.Context, self discovery.Member, members []discovery.Member) membersRead {
	r := membersRead{members: members, announced: &self}
	i := slices.IndexFunc(members, n.isSelf)
	if i >= 0 && (self.Fleet == 0 || !differByFactor(members[i].Fleet, self.Fleet)) {
		r.announced = &members[i]
		return r
	}
	n.traffic.storeCalls[CallAnnounce].Add(1)
	if r.err = n.Store.Announce(ctx, self); r.err == nil {
		n.traffic.storeCalls[CallMembers].Add(1)
		r.members, r.err = n.Store.Members(ctx)
	}
	return r
}

// isSelf reports whether an announced member is this instance, in the current or an earlier incarnation.
func (n *Node) isSelf(m discovery.Member) bool {
	return m.ID == n.Self.ID && m.Address == n.Self.Address && m.Zone == n.Self.Zone && m.Capacity == n.Self.Capacity
}

func (n *Node) handleMembersRead(e membersRead, now time.Time) {
	n.joinInFlight = false
	n.applyAnnouncedSize(e.members)
	n.addMembers(e.members, now)
	n.joinBackoff = min(max(2*n.joinBackoff, minJoinBackoff), maxJoinBackoff)
	n.nextJoin = now.Add(n.joinBackoff)
	if e.err != nil {
		n.Log.Info("Could not read or announce members.", "error", e.err)
		return
	}
	if e.announced != nil {
		n.announcement = e.announced
		n.joinBackoff = 0
	}
	n.instancesCountedAt = time.Time{}
	n.updateInstanceCount(now)
	n.Log.Info("Read the announced members.", "members", len(e.members), "announced", e.announced != nil)
}

// applyAnnouncedSize derives the size of this zone from the announced size of the fleet. An instance that was announced
// as leader itself need not wait for others after a restart of all instances.
func (n *Node) applyAnnouncedSize(members []discovery.Member) {
	zones, fleet := map[string]bool{}, 0
	for _, m := range members {
		zones[m.Zone] = true
		fleet = max(fleet, m.Fleet)
	}
	if len(zones) > 0 {
		n.members.reportedZoneSize = max(n.members.reportedZoneSize, fleet/len(zones))
	}
	n.members.wasLeader = slices.ContainsFunc(members, n.isSelf)
}

const (
	// fullCoreStartDelay is how long an instance with a whole core waits after its start for peers to send it their
	// state, before it calls the store. Weaker instances start more slowly and wait longer.
	fullCoreStartDelay = 50 * time.Millisecond
	// leaderHelpWait is the additional wait while the zone has a leader that can send its state.
	leaderHelpWait = 800 * time.Millisecond
)

// startDelay returns how long this instance waits after its start before it calls the store. It is 0 without seeds.
func (n *Node) startDelay() time.Duration {
	if len(n.Seeds) == 0 {
		return 0
	}
	return startDelayOf(n.Self)
}

// startDelayOf returns how long a member waits for stronger ones, which start faster and do work for it.
func startDelayOf(m discovery.Member) time.Duration {
	return fullCoreStartDelay * CapacityUnit / time.Duration(max(m.Capacity, minCapacity))
}

// firstReadTime returns when this instance first reads a topic from the store if no peer has sent it.
func (n *Node) firstReadTime(now time.Time, rank int) time.Time {
	at := n.started.Add(n.startDelay())
	if earliest := n.members.earliestLeadership(n.started); len(n.Seeds) > 0 && at.Before(earliest) {
		at = earliest
	}
	if n.members.zoneLeader(now) != nil {
		at = at.Add(leaderHelpWait + time.Duration(rank)*storeread.NearRankStep)
	}
	return at
}
