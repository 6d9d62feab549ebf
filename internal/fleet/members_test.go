package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

var testStart = time.Unix(1_000_000, 0)

func newMember(id, zone string) discovery.Member {
	address := fmt.Sprintf("127.0.0.%d:%d", id[0], 1000+int(id[1]))
	return discovery.Member{ID: id, Zone: zone, Address: address, Started: 1}
}

// membersSeenBy returns the table of one member after it heard from all others.
func membersSeenBy(self string, at time.Time, all ...discovery.Member) *members {
	var m *members
	for _, each := range all {
		if each.ID == self {
			m = newMembers(each)
		}
	}
	for _, each := range all {
		if m.add(each, at) {
			m.peers[each.ID].lastHeard = at
		}
	}
	return m
}

// Guards against a zone without a leader after its leader died, and against two leaders while it lives.
func TestLeaderSuccession(t *testing.T) {
	all := []discovery.Member{newMember("a1", "a"), newMember("a2", "a"), newMember("a3", "a")}
	now := testStart.Add(time.Minute)
	second, third := membersSeenBy("a2", now, all...), membersSeenBy("a3", now, all...)
	for _, m := range []*members{second, third} {
		m.peers["a1"].leaderClaimAt = now
	}
	if second.shouldLead(now, testStart, testStart) || third.shouldLead(now, testStart, testStart) {
		t.Error("a later member leads while the first one does")
	}
	now = now.Add(leaderTimeout + successionStep + time.Millisecond)
	if !second.shouldLead(now, testStart, testStart) {
		t.Error("the second member does not take over")
	}
	third.peers["a2"].leaderClaimAt = now
	if third.shouldLead(now, testStart, testStart) {
		t.Error("the third member leads as well")
	}
	if first := membersSeenBy("a1", now, all...); !first.shouldLead(now, testStart, testStart) {
		t.Error("the first member does not lead")
	}
}

// Guards against two leaders that read the store at the same rank, and against other instances that read before the
// leaders: each call to the store is billed.
func TestReadRanksAreDistinct(t *testing.T) {
	var all []discovery.Member
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 3 {
			all = append(all, newMember(fmt.Sprintf("%s%d", zone, i), zone))
		}
	}
	leaders := map[int]string{}
	for _, id := range []string{"a0", "b0", "c0"} {
		rank := membersSeenBy(id, testStart, all...).readRank(testStart, true)
		if other, taken := leaders[rank]; taken {
			t.Errorf("leaders %s and %s both have rank %d", id, other, rank)
		}
		leaders[rank] = id
	}
	if rank := membersSeenBy("a1", testStart, all...).readRank(testStart, false); rank <= 2 {
		t.Errorf("an instance that is not a leader has rank %d, want more than those of the 3 leaders", rank)
	}
}

// Guards against an earlier incarnation that replaces a later one.
func TestLaterIncarnationWins(t *testing.T) {
	m := newMembers(newMember("a1", "a"))
	later := newMember("a2", "a")
	later.Started = 9
	if !m.add(later, testStart) || m.add(newMember("a2", "a"), testStart) {
		t.Error("the earlier incarnation replaced the later one")
	}
	if m.add(newMember("a1", "a"), testStart) {
		t.Error("the instance added itself")
	}
}

// Guards against a wrong number of instances, by which budgets and waiting times are divided.
func TestInstanceCount(t *testing.T) {
	all := []discovery.Member{newMember("a1", "a"), newMember("a2", "a"), newMember("b1", "b")}
	m := membersSeenBy("a1", testStart, all...)
	m.peers["b1"].zoneLive = 5
	if got := m.instances(testStart, true); got != 7 {
		t.Errorf("a leader counts %d instances, want 7", got)
	}
	m.fleetLive, m.fleetLiveAt = 12, testStart
	if got := m.instances(testStart, false); got != 12 {
		t.Errorf("an instance whose leader reported 12 counts %d, want 12", got)
	}
	if got := m.instances(testStart, true); got != 7 {
		t.Errorf("a leader that received the count of another one counts %d, want 7", got)
	}
	if got := m.instances(testStart.Add(2*livenessTimeout), false); got != 1 {
		t.Errorf("an isolated instance counts %d, want 1", got)
	}
}

// Guards against instances that count as failing forever after an outage, because others read again before they do: all
// others then waited 300 ms for each of them, and a configuration that changed just after the outage was applied 2.6 s
// late.
func TestFailingCountResetsAfterOutage(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.targetsTopic.Known, n.targetsTopic.AsOf = true, testStart
	outage := testStart.Add(4 * time.Second)
	n.targetsTopic.ReadFailed(outage, 0.5, 0)
	if d := n.newDatagram(outage); d.ZoneFailing != 1 {
		t.Error("an instance whose reads fail in an outage does not announce it")
	}
	n.targetsTopic.Refresh(outage, storeread.AnswerID{})
	n.updateFailingCounts(outage)
	if d := n.newDatagram(outage); d.ZoneFailing != 0 || n.failingInZone != 0 {
		t.Error("an instance counts as failing although another one reads the store")
	}
}

// Guards against configurations that are read late after an outage by the instance that reads the targets: the store
// answers it, so it need not wait for failing instances.
func TestAnswerOnOneTopicCountsForOther(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 1}}, testStart)
	n.failingInFleet = 20
	n.configsTopic.Known, n.configsTopic.AsOf = true, testStart
	if at := testStart.Add(storeread.ConfigsInterval); !n.configsTopic.Due(at, n.readPriority(at, 0)) {
		t.Error("the instance waits for others that failed in the outage")
	}
}

// Guards against targets that no instance or several instances probe when there are too many for one, and against a
// shard that stays with an owner that fell silent.
func TestShardAssignment(t *testing.T) {
	var all []discovery.Member
	for i := range 8 {
		m := newMember(fmt.Sprintf("a%d", i), "a")
		m.Capacity = 250
		all = append(all, m)
	}
	for _, targets := range []int{1, 16, 17, 95, 400} {
		m := membersSeenBy("a0", testStart, all...)
		owners := m.assignShards(testStart, targets, nil)
		if want := min(8, (targets+15)/16); len(owners) != want || owners[0] != "a0" {
			t.Errorf("%d targets are probed by %v, want %d instances", targets, owners, want)
		}
		for target := range targets {
			probing := 0
			for i := range owners {
				if (shard{i, len(owners)}).includes(hashID(fmt.Sprint("t", target))) {
					probing++
				}
			}
			if probing != 1 {
				t.Errorf("target %d of %d is probed by %d instances, want 1", target, targets, probing)
			}
		}
	}
	m := membersSeenBy("a0", testStart, all...)
	owners := m.assignShards(testStart, 40, nil)
	now := testStart.Add(shardOwnerTimeout + time.Millisecond)
	for _, id := range []string{"a2", "a3"} {
		m.peers[id].lastHeard = now
	}
	if owners = m.assignShards(now, 40, owners); fmt.Sprint(owners) != "[a0 a2 a3]" {
		t.Errorf("shard owners after a1 fell silent: %v, want [a0 a2 a3]", owners)
	}
}

// Guards against weak instances that do the work of strong ones.
func TestStrongerInstanceLeads(t *testing.T) {
	weak, strong := newMember("a1", "a"), newMember("a2", "a")
	strong.Capacity = 800
	m := membersSeenBy("a1", testStart, weak, strong)
	m.peers["a2"].leaderClaimAt = testStart
	if m.shouldLead(testStart, testStart.Add(-time.Minute), testStart.Add(-time.Minute)) {
		t.Error("the weak instance leads")
	}
	if owners := membersSeenBy("a2", testStart, weak, strong).assignShards(testStart, 50, nil); len(owners) != 1 {
		t.Errorf("shard owners %v, want one", owners)
	}
}

// Guards against two leaders that start at the same time and never hear of each other, because each sends to the leaders that it
// knows only.
func TestReceiversOfZonesWithoutKnownLeader(t *testing.T) {
	all := []discovery.Member{newMember("a1", "a"), newMember("b1", "b"), newMember("b2", "b"), newMember("c1", "c")}
	now := testStart.Add(time.Minute)
	m := membersSeenBy("a1", now, all...)
	m.peers["c1"].lastHeard = now.Add(-time.Minute)
	if receivers := m.remoteReceivers(now); len(receivers) != 1 || receivers[0].ID != "b1" {
		t.Errorf("receivers %v, want the first live member", receivers)
	}
	m.recordLeaderClaim(m.peers["b2"], now)
	if receivers := m.remoteReceivers(now); len(receivers) != 1 || receivers[0].ID != "b2" {
		t.Errorf("receivers %v, want the leader", receivers)
	}
	if leaders := m.remoteLeaders(now); len(leaders) != 1 {
		t.Errorf("leaders %v, want the one that claimed leadership", leaders)
	}
}
