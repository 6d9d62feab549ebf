package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

// Guards against heartbeats from all members to all, which grow with the square of the zone: 80 instances sent 5,300
// per second.
func TestHeartbeatsGoToStandbys(t *testing.T) {
	for _, size := range []int{5, 20, 80, 800} {
		m := largeZoneSeenBy(size-1, size, noneHeard)
		if got, want := len(m.heartbeatReceivers(testStart)), min(size-1, maxStandbys); got != want {
			t.Errorf("%d members: heartbeats go to %d, want %d", size, got, want)
		}
	}
	m := largeZoneSeenBy(79, 80, noneHeard)
	m.reportedStandbys, m.standbysReportedAt = []string{"a0001", "a0004"}, testStart
	m.peers["a0009"].lastHeard = testStart
	m.recordLeaderClaim(m.peers["a0009"], testStart)
	var ids []string
	for _, p := range m.heartbeatReceivers(testStart) {
		ids = append(ids, p.ID)
	}
	if fmt.Sprint(ids) != "[a0001 a0004 a0009]" {
		t.Errorf("receivers %v, want the reported standbys and the leader", ids)
	}
}

// Guards against a zone without a leader after its leader and all standbys died, and against all others taking over at
// once.
func TestSuccessionBeyondStandbys(t *testing.T) {
	now := testStart.Add(time.Minute)
	first, second := 0, 0
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 10 * time.Millisecond {
		at := now.Add(elapsed)
		for i, counter := range map[int]*int{maxStandbys + 2: &first, maxStandbys + 6: &second} {
			m := largeZoneSeenBy(i, 80, noneHeard)
			m.recordLeaderClaim(m.peers["a0000"], now)
			if *counter == 0 && m.shouldLead(at, testStart, testStart) {
				*counter = int(elapsed / time.Millisecond)
			}
		}
	}
	if first == 0 || first > 1000 {
		t.Errorf("the first member after the standbys takes over after %d ms", first)
	}
	if second-first < 3*int(successionStep/time.Millisecond) {
		t.Errorf("a later member takes over after %d ms, the first one after %d ms", second, first)
	}
}

// Guards against weak members of a large zone that read the store themselves before a strong one did. After a restart
// of 472 instances the announced leaders started last, and all 85 members of a zone took themselves for its leader.
func TestStrongMembersLeadFirstAfterRestart(t *testing.T) {
	leadsFrom := func(capacity int) time.Time {
		m := newMembers(discovery.Member{ID: "a0007", Zone: "a", Address: "127.1.0.7:7000", Capacity: capacity})
		m.add(discovery.Member{ID: "a0001", Zone: "a", Address: "127.1.0.1:7000", Capacity: 800}, testStart)
		m.reportedZoneSize = 80
		return m.earliestLeadership(testStart)
	}
	// fleetStartTime is how much later than the weak members the strong one may start.
	const fleetStartTime = 200 * time.Millisecond
	if strong, weak := leadsFrom(800), leadsFrom(160); weak.Sub(strong) < fleetStartTime {
		t.Errorf("a weak member may lead %s after a strong one", weak.Sub(strong))
	}
}

// Guards against a partitioned member of a large zone that waits for the succession of all others: the last of 80 took
// 4.9 s, while departures must be applied within 2 s.
func TestPartitionedLastMemberLeadsInTime(t *testing.T) {
	const size, bound = 80, 1500 * time.Millisecond
	m := largeZoneSeenBy(size-1, size, noneHeard)
	leader := m.peers["a0000"]
	leader.lastHeard, leader.leaderClaimAt = testStart, testStart
	started := testStart.Add(-time.Minute)
	if m.shouldLead(testStart.Add(leaderTimeout), started, started) {
		t.Error("the last member takes over at once")
	}
	if !m.shouldLead(testStart.Add(bound), started, started) {
		t.Errorf("the last member does not lead after %s of silence", bound)
	}
}

// Guards against a paused leader that goes on leading although another instance took over meanwhile.
func TestPausedLeaderListensFirst(t *testing.T) {
	m := largeZoneSeenBy(0, 3, allHeard)
	resumed := testStart.Add(time.Minute)
	if m.shouldLead(resumed.Add(resumeListenTime-time.Millisecond), testStart, resumed) {
		t.Error("a leader leads at once after a pause of its process")
	}
	if !m.shouldLead(resumed.Add(resumeListenTime), testStart, resumed) {
		t.Error("a leader does not lead again after a pause although no other member does")
	}
	n := newQuietNode(t, newMember("a1", "a"))
	suspended := time.Duration(0)
	n.DetectSuspension = func() (time.Duration, time.Duration) { return time.Second, suspended }
	n.isLeader, n.lastTick = true, testStart
	n.detectPause(testStart.Add(pauseThreshold - time.Millisecond))
	if !n.resumedAt.IsZero() {
		t.Error("a late tick counts as a pause")
	}
	resumedAt := n.lastTick.Add(pauseThreshold)
	n.detectPause(resumedAt)
	n.updateLeadership(resumedAt)
	if n.isLeader {
		t.Error("a paused leader goes on leading")
	}
	// The monotonic clock of a suspended host stops.
	other := newMember("a2", "a")
	n.members.add(other, resumedAt)
	n.members.peers["a2"].lastHeard, n.targetsTopic.AsOf, n.targetsTopic.Known, n.shardsAssignedAt = resumedAt, resumedAt, true, resumedAt
	suspended = 4 * time.Second
	n.detectPause(resumedAt.Add(10 * time.Millisecond))
	n.updateStoreAvailability(resumedAt.Add(10 * time.Millisecond))
	if n.members.peers["a2"].isLive(resumedAt) || !n.storeDown || resumedAt.Sub(n.shardsAssignedAt) < suspended {
		t.Error("data from before a suspension counts as fresh")
	}
}
