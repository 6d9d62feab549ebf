package intent

import (
	"math/rand/v2"
	"testing"
	"time"
)

// countCheckpoints simulates instances that share a log, in steps of one second, and returns the number of checkpoints
// appended in each period of half the retention. All instances see an append at the end of its step.
func countCheckpoints(instances int, steps int, retention time.Duration) []int {
	state := NewState()
	state.Revision, state.Through = 1, 1
	timers := make([]*CheckpointTimer, instances)
	for i := range timers {
		timers[i] = NewCheckpointTimer(rand.New(rand.NewPCG(uint64(i), 7)))
		timers[i].SetRetention(0, retention)
	}
	period := int(retention / 2 / time.Second)
	counts := make([]int, steps/period)
	for step := range steps {
		now := time.Duration(step) * time.Second
		appended := 0
		for _, timer := range timers {
			if timer.Due(now, state) {
				appended++
			}
		}
		if appended == 0 {
			continue
		}
		counts[min(step/period, len(counts)-1)] += appended
		for _, timer := range timers {
			timer.ObserveCheckpoint(now, 0, NewCheckpoint(state, time.Time{}))
		}
	}
	return counts
}

// Guards against a retention period without a checkpoint, and against every instance appending its own checkpoint.
func TestCheckpointsAreAppendedByFewInstances(t *testing.T) {
	const retention = 24 * time.Hour
	counts := countCheckpoints(20, int(4*retention/time.Second), retention)
	for i, count := range counts {
		if count < 1 && i%2 == 0 || count > 10 {
			t.Errorf("period %d of half the retention has %d checkpoints of 20 instances", i, count)
		}
	}
}

// Guards against an instance that has just started and treats an old checkpoint as new. The age is computed from the
// clock of the writer, which may be ahead.
func TestOldCheckpointIsDueAtOnce(t *testing.T) {
	state := NewState()
	state.Revision, state.Through = 1, 1
	cases := []struct {
		name string
		age  time.Duration
		due  time.Duration
	}{
		{"new", 0, 12*time.Hour + maxCheckpointSpread},
		{"old", 20 * time.Hour, maxCheckpointSpread},
		{"from a clock ahead", -30 * time.Hour, 12*time.Hour + maxCheckpointSpread},
	}
	for _, c := range cases {
		timer := NewCheckpointTimer(rand.New(rand.NewPCG(1, 1)))
		timer.SetRetention(0, 24*time.Hour)
		timer.ObserveCheckpoint(0, c.age, NewCheckpoint(state, time.Time{}))
		if c.due > time.Hour && timer.Due(c.due-maxCheckpointSpread-time.Second, state) {
			t.Errorf("%s: due too early", c.name)
		}
		if !timer.Due(c.due, state) {
			t.Errorf("%s: not due after %s", c.name, c.due)
		}
	}
}
