package credit

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Guards against two owners after the writer of a challenge has restarted: its record makes nobody the owner, and the owner before it
// keeps its lease.
func TestChallengeOfEndedProcessIsAwaited(t *testing.T) {
	const now = 100 * time.Millisecond
	end := topic.Position{Era: firstEra, Offset: 3}
	record := &OwnerRecord{Holder: Holder{ID: "a", Address: "a:1", Started: 7}, Era: firstEra, Challenge: true}
	challenger := NewTenure(record.Holder)
	challenger.setNewest(Holder{}, topic.Position{Era: firstEra, Offset: 2}, now+TTL, now+TTL)
	challenger.challenging = true
	challenger.AppendDone(now, AppendResult{StartedAt: now, At: topic.Position{Era: firstEra, Offset: 2}, End: end})
	ownAnnouncement, _ := challenger.Announcement(now)
	reader := NewTenure(Holder{ID: "c", Address: "c:1", Started: 8})
	reader.ReadDone(now, record, end, nil)
	readerAnnouncement, _ := reader.Announcement(now)
	for name, learn := range map[string]func(*Tenure){
		"read":                    func(t *Tenure) { t.ReadDone(now, record, end, nil) },
		"announced by the writer": func(t *Tenure) { t.Heard(now, ownAnnouncement) },
		"announced by a reader":   func(t *Tenure) { t.Heard(now, readerAnnouncement) },
		"announced after a conflict": func(t *Tenure) {
			t.AppendDone(now, AppendResult{End: end, Conflict: true})
			t.Heard(now, ownAnnouncement)
		},
	} {
		candidate := NewTenure(Holder{ID: "b", Address: "b:1", Started: 8})
		situation := Situation{MayCall: true, Era: firstEra}
		candidate.Next(situation)
		learn(candidate)
		candidate.calling = false
		candidate.HolderRestarted(now, "a", 9)
		situation.Now = now
		if step, _ := candidate.Next(situation); step != NoStep {
			t.Errorf("%s: step %d while the owner before the challenge has a lease", name, step)
		}
		situation.Now = now + TTL + time.Millisecond
		if step, at := candidate.Next(situation); step != AppendStep || at != end {
			t.Errorf("%s: step %d at %+v after all leases have ended", name, step, at)
		}
	}
}
