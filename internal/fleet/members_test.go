package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

var begin = time.Unix(1_000_000, 0)

func member(id, zone string) discovery.Member {
	address := fmt.Sprintf("127.0.0.%d:%d", id[0], 1000+int(id[1]))
	return discovery.Member{ID: id, Zone: zone, Address: address, Started: 1}
}

// table returns the members as one of them sees them after all were heard.
func table(self string, at time.Time, all ...discovery.Member) *members {
	var m *members
	for _, each := range all {
		if each.ID == self {
			m = newMembers(each)
		}
	}
	for _, each := range all {
		if m.learn(each, at) {
			m.peers[each.ID].heard = at
		}
	}
	return m
}

// Guards against a zone without a reader after its reader died, and against two readers while it lives.
func TestReaderSuccession(t *testing.T) {
	all := []discovery.Member{member("a1", "a"), member("a2", "a"), member("a3", "a")}
	now := begin.Add(time.Minute)
	second, third := table("a2", now, all...), table("a3", now, all...)
	for _, m := range []*members{second, third} {
		m.peers["a1"].readerAt = now
	}
	if second.readsZone(now, begin, begin) || third.readsZone(now, begin, begin) {
		t.Error("a later member reads while the first one does")
	}
	now = now.Add(readerSilence + successionStep + time.Millisecond)
	if !second.readsZone(now, begin, begin) {
		t.Error("the second member does not take over")
	}
	third.peers["a2"].readerAt = now
	if third.readsZone(now, begin, begin) {
		t.Error("the third member reads as well")
	}
	if first := table("a1", now, all...); !first.readsZone(now, begin, begin) {
		t.Error("the first member does not read")
	}
}

// Guards against reads of the store by every instance, which are paid for, and against none when those before are gone.
func TestRanksDiffer(t *testing.T) {
	var all []discovery.Member
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 3 {
			all = append(all, member(fmt.Sprintf("%s%d", zone, i), zone))
		}
	}
	readers := map[int]string{}
	for _, id := range []string{"a0", "b0", "c0"} {
		rank := table(id, begin, all...).rank(begin, true)
		if other, taken := readers[rank]; taken {
			t.Errorf("%s and %s share rank %d", id, other, rank)
		}
		readers[rank] = id
	}
	if rank := table("a1", begin, all...).rank(begin, false); rank <= 2 {
		t.Errorf("an instance that does not read its zone has rank %d", rank)
	}
}

// Guards against an earlier incarnation that takes the place of a later one.
func TestLaterIncarnationWins(t *testing.T) {
	m := newMembers(member("a1", "a"))
	later := member("a2", "a")
	later.Started = 9
	if !m.learn(later, begin) || m.learn(member("a2", "a"), begin) {
		t.Error("the earlier incarnation replaced the later one")
	}
	if m.learn(member("a1", "a"), begin) {
		t.Error("the instance met itself")
	}
}

// Guards against a wrong number of instances, by which budgets and waiting times are shared.
func TestCountsInstances(t *testing.T) {
	all := []discovery.Member{member("a1", "a"), member("a2", "a"), member("b1", "b")}
	m := table("a1", begin, all...)
	m.peers["b1"].live = 5
	if got := m.instances(begin, true); got != 7 {
		t.Errorf("a reader counts %d", got)
	}
	m.fleet, m.fleetAt = 12, begin
	if got := m.instances(begin, false); got != 12 {
		t.Errorf("an instance that was told counts %d", got)
	}
	if got := m.instances(begin, true); got != 7 {
		t.Errorf("a reader that another one told counts %d", got)
	}
	if got := m.instances(begin.Add(2*liveFor), false); got != 1 {
		t.Errorf("alone it counts %d", got)
	}
}

// Guards against reads that are too rare for the bound on departures, too many, or missing when a reader fails.
func TestTopicReads(t *testing.T) {
	r := topicReads{interval: targetsInterval}
	if !r.due(begin, turn{rank: 5, reader: false, first: begin}) {
		t.Error("an unknown topic is not read")
	}
	r.begin(begin)
	if r.due(begin, turn{rank: 0, reader: true, first: begin}) {
		t.Error("two reads at a time")
	}
	r.succeeded(begin, 10)
	cases := []struct {
		age  time.Duration
		rank int
		want bool
	}{
		{targetsInterval - time.Millisecond, 0, false}, {targetsInterval, 0, true}, {targetsInterval, 1, false},
		{targetsInterval + standbyDelay, 1, true}, {targetsInterval + standbyDelay, 2, false}, {time.Second, 3, true},
	}
	for _, c := range cases {
		if got := r.due(begin.Add(c.age), turn{rank: c.rank, reader: true, first: begin}); got != c.want {
			t.Errorf("age %s, rank %d: %v", c.age, c.rank, got)
		}
	}
	r.behind = true
	if r.due(begin, turn{rank: 5, reader: false, first: begin}) || !r.due(begin, turn{rank: 5, reader: true, first: begin}) {
		t.Error("an instance that lacks records reads although the reader of its zone may tell them, or the reader does not")
	}
	r.alone = true
	if !r.due(begin, turn{rank: 5, reader: false, first: begin}) {
		t.Error("an instance that nobody tells does not read")
	}
	r.behind, r.alone = false, false
	r.failed(begin, 1, 0)
	if r.due(begin.Add(firstBackoff), turn{rank: 0, reader: true, first: begin}) || !r.due(begin.Add(2*time.Second), turn{rank: 0, reader: true, first: begin}) {
		t.Error("the pause after a failure")
	}
	for range 10 {
		r.failed(begin, 1, 0)
	}
	if !r.due(begin.Add(2*lastBackoff), turn{rank: 0, reader: true, first: begin}) {
		t.Error("the pause grows without bound")
	}
}

// Guards against an instance that the store answers and that waits for others, which it turns away, as if it were down. The
// pattern is a store that turns some instances away, with departures that bind after 2 s.
func TestServedInstanceDoesNotWaitForThoseTurnedAway(t *testing.T) {
	const rank, turnedAway = 3, 5
	r := topicReads{interval: targetsInterval}
	r.succeeded(begin, 10)
	own := targetsInterval + standbyDelay + (rank-1)*standbyStep
	if !r.due(begin.Add(own), turn{rank: rank, first: begin, failing: turnedAway, served: begin}) {
		t.Errorf("an instance that the store answered just now does not read after %s", own)
	}
	r.fresh(begin.Add(time.Minute))
	if r.due(begin.Add(time.Minute+own), turn{rank: rank, first: begin, failing: turnedAway, served: begin}) {
		t.Error("an instance that the store has not answered for a minute joins those that it turns away at once")
	}
}

// Guards against instances that count as trying in vain for good after an outage, because others read again before they do:
// all others then waited 300 ms for each of them, and a configuration came 2.6 s late (CONFIG, hunt-86a7-3 of
// tuul-benches-grown). The pattern is a change of the configuration just after an outage of the store.
func TestFailuresEndWithTheOutage(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	n.targets.known, n.targets.asOf = true, begin
	outage := begin.Add(4 * time.Second)
	n.targets.failed(outage, 0.5, 0)
	if d := n.base(outage); d.Failing != 1 {
		t.Error("an instance that fails in an outage does not tell it")
	}
	n.targets.fresh(outage)
	n.countFailing(outage)
	if d := n.base(outage); d.Failing != 0 || n.zoneFailing != 0 {
		t.Error("an instance counts as failing although another one reads the store")
	}
}

// Guards against configurations that are read late after an outage, by the instance that reads the targets: the store answers
// it, so that it need not wait for others.
func TestAnswerOnOneTopicCountsForTheOther(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	n.handleTargets(targetsRead{began: begin, listed: true, next: 1}, begin)
	n.failing = 20
	n.configs.known, n.configs.asOf = true, begin
	if at := begin.Add(configsInterval); !n.configs.due(at, n.turn(at, 0)) {
		t.Error("the reader waits for instances that failed in the outage")
	}
}

// Guards against a store that counts as unavailable, so that entries which lapse stay in use, while it only turns the first
// three in line away and the fourth is about to read.
func TestFourthInLineReadsBeforeTheStoreCountsAsAway(t *testing.T) {
	r := topicReads{interval: targetsInterval, known: true, asOf: begin}
	if !r.due(begin.Add(outageAfter-20*time.Millisecond), turn{rank: 3, first: begin, failing: 3}) {
		t.Errorf("the fourth in line has not read %s after the latest read", outageAfter)
	}
}

// Guards against targets that nobody reads, or that several instances read, when there are too many for one of them, and
// against a part that stays with an instance which fell silent.
func TestReadingParts(t *testing.T) {
	var all []discovery.Member
	for i := range 8 {
		m := member(fmt.Sprintf("a%d", i), "a")
		m.Capacity = 250
		all = append(all, m)
	}
	for _, targets := range []int{1, 16, 17, 95, 400} {
		m := table("a0", begin, all...)
		parts := m.assignParts(begin, targets, nil)
		if want := min(8, (targets+15)/16); len(parts) != want || parts[0] != "a0" {
			t.Errorf("%d targets are read by %v, want %d instances", targets, parts, want)
		}
		for target := range targets {
			readers := 0
			for i := range parts {
				if (share{i, len(parts)}).includes(hashID(fmt.Sprint("t", target))) {
					readers++
				}
			}
			if readers != 1 {
				t.Errorf("target %d of %d is read by %d instances", target, targets, readers)
			}
		}
	}
	m := table("a0", begin, all...)
	parts := m.assignParts(begin, 40, nil)
	now := begin.Add(partSilence + time.Millisecond)
	for _, id := range []string{"a2", "a3"} {
		m.peers[id].heard = now
	}
	if parts = m.assignParts(now, 40, parts); fmt.Sprint(parts) != "[a0 a2 a3]" {
		t.Errorf("after a1 fell silent: %v", parts)
	}
}

// Guards against weak instances that read for strong ones.
func TestStrongReadFirst(t *testing.T) {
	weak, strong := member("a1", "a"), member("a2", "a")
	strong.Capacity = 800
	m := table("a1", begin, weak, strong)
	m.peers["a2"].readerAt = begin
	if m.readsZone(begin, begin.Add(-time.Minute), begin.Add(-time.Minute)) {
		t.Error("the weak instance reads")
	}
	if parts := table("a2", begin, weak, strong).assignParts(begin, 50, nil); len(parts) != 1 {
		t.Errorf("parts %v", parts)
	}
}
