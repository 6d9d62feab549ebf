package storeread

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

var testStart = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)

// Guards against reads that are too rare for the bound on departures or too many, and against missing reads when a
// leader fails.
func TestTopicReadSchedule(t *testing.T) {
	r := Topic{interval: TargetsInterval}
	if !r.Due(testStart, Priority{Rank: 5, IsLeader: false, FirstRead: testStart}) {
		t.Error("an unknown topic is not read")
	}
	r.ReadStarted(testStart)
	if r.Due(testStart, Priority{Rank: 0, IsLeader: true, FirstRead: testStart}) {
		t.Error("a read is due while another one is in flight")
	}
	r.ReadSucceeded(testStart, topic.Position{Offset: 10})
	cases := []struct {
		age  time.Duration
		rank int
		want bool
	}{
		{TargetsInterval - time.Millisecond, 0, false}, {TargetsInterval, 0, true}, {TargetsInterval, 1, false},
		{TargetsInterval + FirstRankDelay, 1, true}, {TargetsInterval + FirstRankDelay, 2, false}, {time.Second, 3, true},
	}
	for _, c := range cases {
		if got := r.Due(testStart.Add(c.age), Priority{Rank: c.rank, IsLeader: true, FirstRead: testStart}); got != c.want {
			t.Errorf("age %s, rank %d: due %v, want %v", c.age, c.rank, got, c.want)
		}
	}
	r.Behind = true
	if r.Due(testStart, Priority{Rank: 5, IsLeader: false, FirstRead: testStart}) || !r.Due(testStart, Priority{Rank: 5, IsLeader: true, FirstRead: testStart}) {
		t.Error("an instance that lacks records reads although its leader may send them, or the leader does not read")
	}
	r.PeersFailed = true
	if !r.Due(testStart, Priority{Rank: 5, IsLeader: false, FirstRead: testStart}) {
		t.Error("an instance that cannot fetch from peers does not read")
	}
	r.Behind, r.PeersFailed = false, false
	r.ReadFailed(testStart, 1, 0)
	if r.Due(testStart.Add(minBackoff), Priority{Rank: 0, IsLeader: true, FirstRead: testStart}) || !r.Due(testStart.Add(2*time.Second), Priority{Rank: 0, IsLeader: true, FirstRead: testStart}) {
		t.Error("after a failed read, the next one is due within the shortest backoff, or is not due after 2 s")
	}
	for range 10 {
		r.ReadFailed(testStart, 1, 0)
	}
	if !r.Due(testStart.Add(2*MaxBackoff), Priority{Rank: 0, IsLeader: true, FirstRead: testStart}) {
		t.Error("the backoff grows without bound")
	}
}

// Guards against an instance that the store answers but that waits for instances that the store refuses, as if the
// store were down. Departures must be applied within 2 s even then.
func TestServedInstanceDoesNotWaitForRefusedOnes(t *testing.T) {
	const rank, refused = 3, 5
	r := Topic{interval: TargetsInterval}
	r.ReadSucceeded(testStart, topic.Position{Offset: 10})
	own := TargetsInterval + FirstRankDelay + (rank-1)*NearRankStep
	if !r.Due(testStart.Add(own), Priority{Rank: rank, FirstRead: testStart, Failing: refused, StoreAnsweredAt: testStart}) {
		t.Errorf("an instance that the store answered just now does not read after %s", own)
	}
	r.Refresh(testStart.Add(time.Minute), AnswerID{})
	if r.Due(testStart.Add(time.Minute+own), Priority{Rank: rank, FirstRead: testStart, Failing: refused, StoreAnsweredAt: testStart}) {
		t.Error("an instance that the store has not answered for a minute reads at once, like those that it refuses")
	}
}

// Guards against a store that counts as down, so that targets with expired entries are retained, while it only refuses
// the first three ranks and the fourth is about to read.
func TestFourthRankReadsBeforeOutageIsDeclared(t *testing.T) {
	r := Topic{interval: TargetsInterval, Known: true, AsOf: testStart}
	if !r.Due(testStart.Add(outageAfter-20*time.Millisecond), Priority{Rank: 3, FirstRead: testStart, Failing: 3}) {
		t.Errorf("the fourth rank has not read %s after the latest read", outageAfter)
	}
}
