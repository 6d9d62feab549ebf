package credit

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// ownerAt returns the owner that appended the first record of the topic at a time, and the position behind that record.
func ownerAt(startedAt time.Duration) (*Tenure, topic.Position) {
	owner := NewTenure(Holder{ID: "a", Address: "a:1", Started: 7})
	owner.ReadDone(startedAt, nil, topic.Position{Era: firstEra}, nil)
	end := topic.Position{Era: firstEra, Offset: 1}
	owner.AppendDone(startedAt, AppendResult{StartedAt: startedAt, At: topic.Position{Era: firstEra}, End: end})
	return owner, end
}

// Guards against a lease that is counted from a retry although the earlier append was the one that was executed, so that two instances
// have a lease, and against an owner that does not learn that its renewal was executed.
func TestReadExtendsLeaseFromEarliestAppend(t *testing.T) {
	const first, retry = 700 * time.Millisecond, 1100 * time.Millisecond
	owner, at := ownerAt(0)
	owner.AppendDone(first+minRetry, AppendResult{StartedAt: first, At: at, Failed: true})
	situation := Situation{Now: first + minRetry, MayCall: true, Era: firstEra}
	if step, _ := owner.Next(situation); step != ReadStep {
		t.Fatalf("step %d after a renewal without an answer, want a read", step)
	}
	newest := &OwnerRecord{Holder: owner.self, Era: firstEra}
	owner.ReadDone(first+minRetry, newest, at, nil)
	if until, owns := owner.Owns(first + minRetry); !owns || until != TTL {
		t.Errorf("owner %v until %s after a read that found no renewal, want until %s", owns, until, TTL)
	}
	owner.AppendDone(retry+minRetry, AppendResult{StartedAt: retry, At: at, Failed: true})
	owner.ReadDone(retry+minRetry, newest, at.Next(), nil)
	if until, owns := owner.Owns(retry + minRetry); !owns || until != first+TTL {
		t.Errorf("owner %v until %s after a read that found the renewal, want until %s", owns, until, first+TTL)
	}
	situation.Now = retry + minRetry
	if step, end := owner.Next(situation); step != AppendStep || end != at.Next() {
		t.Errorf("step %d at %+v after the read, want an append at %+v", step, end, at.Next())
	}
	if a, known := owner.Announcement(retry + minRetry); !known || a.valid() < first+TTL-retry-minRetry {
		t.Errorf("the owner announces %+v, which ends before its lease", a)
	}
}

// Guards against a lease that is extended by a record which does not follow the own ones, or which proves no lease.
func TestReadOfOtherRecordExtendsNoLease(t *testing.T) {
	const startedAt = 700 * time.Millisecond
	self := Holder{ID: "a", Address: "a:1", Started: 7}
	behind := topic.Position{Era: firstEra, Offset: 2}
	for name, read := range map[string]struct {
		record OwnerRecord
		end    topic.Position
	}{
		"of another instance": {OwnerRecord{Holder: Holder{ID: "b", Started: 8}, Era: firstEra}, behind},
		"of a restart":        {OwnerRecord{Holder: Holder{ID: "a", Address: "a:1", Started: 8}, Era: firstEra}, behind},
		"a challenge":         {OwnerRecord{Holder: self, Era: firstEra, Challenge: true}, behind},
		"behind another one":  {OwnerRecord{Holder: self, Era: firstEra}, behind.Next()},
		"of a later era":      {OwnerRecord{Holder: self, Era: firstEra + 1}, topic.Position{Era: firstEra + 1, Offset: 2}},
		"of an earlier era":   {OwnerRecord{Holder: self, Era: firstEra}, topic.Position{Era: firstEra + 1, Offset: 2}},
	} {
		owner, at := ownerAt(0)
		now := startedAt + minRetry
		owner.AppendDone(now, AppendResult{StartedAt: startedAt, At: at, Failed: true})
		owner.ReadDone(now, &read.record, read.end, nil)
		if until, owns := owner.Owns(now); owns && until > TTL {
			t.Errorf("%s: owner until %s, want %s at most", name, until, TTL)
		}
	}
}
