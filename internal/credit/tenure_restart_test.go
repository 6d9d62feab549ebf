package credit

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Guards against a restart of all instances after which nobody grants credit until the lease of a process that has ended expires,
// and against an owner that is replaced although its process runs.
func TestLeaseOfEndedProcessIsNotAwaited(t *testing.T) {
	const now = 100 * time.Millisecond
	end := topic.Position{Era: firstEra, Offset: 3}
	record := &OwnerRecord{Holder: Holder{ID: "a", Address: "a:1", Started: 7}, Era: firstEra, OwnedMS: 5000}
	for name, c := range map[string]struct {
		id      string
		started int64
		want    Step
	}{
		"later incarnation of the holder":   {"a", 8, AppendStep},
		"the holder itself":                 {"a", 7, NoStep},
		"earlier incarnation of the holder": {"a", 6, NoStep},
		"another instance":                  {"c", 8, NoStep},
	} {
		candidate := NewTenure(Holder{ID: "b", Address: "b:1", Started: 8})
		situation := Situation{MayCall: true, Era: firstEra}
		if step, _ := candidate.Next(situation); step != ReadStep {
			t.Fatalf("%s: first step %d, want a read", name, step)
		}
		candidate.ReadDone(now, record, end, nil)
		candidate.HolderRestarted(now, c.id, c.started)
		situation.Now = now
		step, at := candidate.Next(situation)
		if step != c.want || step == AppendStep && at != end {
			t.Errorf("%s: step %d at %+v, want %d at %+v", name, step, at, c.want, end)
		}
		situation.Now = now + TTL
		if step, _ := candidate.Next(situation); step == NoStep && c.want == NoStep {
			t.Errorf("%s: no step after the lease has ended", name)
		}
	}
}
