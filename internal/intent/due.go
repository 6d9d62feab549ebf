package intent

import (
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

const (
	// A checkpoint becomes due when half of the retention has passed since the last one. The other half is left
	// for outages and for the random delay.
	checkpointAgeDivisor = 2
	// The random delay is spread over this part of the retention, so that mostly one instance appends.
	checkpointSpreadDivisor = 16
	maxCheckpointSpread     = 5 * time.Minute
	// unknownAgeSpread applies when the age of the last checkpoint is not known, for example when there is none.
	unknownAgeSpread = 10 * time.Second
	// checkpointRetry separates attempts of one instance. 20 instances at one attempt in 30 s use under 1 % of
	// a log that takes 200 appends a second.
	checkpointRetry = 30 * time.Second
	// Short delays are at most this part of a short retention.
	retryDivisor = 8
)

// CheckpointTimer decides when this instance appends a checkpoint. No instance leads: each one waits for a random
// delay and appends only if no newer checkpoint appeared. Times are monotonic times since the start of the process.
// It is owned by one goroutine.
type CheckpointTimer struct {
	random *rand.Rand
	// retention is 0 until the first page.
	retention time.Duration
	due       time.Duration
	scheduled bool
	// covered is the highest offset of a state that a checkpoint in the log holds.
	covered logservice.Offset
}

// NewCheckpointTimer returns a timer that draws its delays from random.
func NewCheckpointTimer(random *rand.Rand) *CheckpointTimer { return &CheckpointTimer{random: random} }

// SetRetention takes note of the log's retention. The first call schedules a checkpoint after a short delay, which a
// checkpoint of known age in the log replaces.
func (t *CheckpointTimer) SetRetention(now, retention time.Duration) {
	t.retention = retention
	if !t.scheduled {
		t.schedule(now + t.delay(min(unknownAgeSpread, retention/retryDivisor)))
	}
}

// ObserveCheckpoint takes note of a checkpoint in the log. Age is how old it is by the wall clock; a negative age, from a clock
// that is ahead, counts as 0. Clocks may differ by up to a quarter of the retention without a record being lost.
func (t *CheckpointTimer) ObserveCheckpoint(now, age time.Duration, c *Checkpoint) {
	if c.State.Through < t.covered {
		return
	}
	t.covered = c.State.Through
	left := max(0, t.retention/checkpointAgeDivisor-max(0, age))
	spread := min(t.retention/checkpointSpreadDivisor, maxCheckpointSpread)
	t.schedule(now + left + t.delay(spread))
}

// Due reports whether to append a checkpoint of the state now, and schedules the next attempt. A state that lacks a
// change of a newer format is never due: a fresh instance that started from it would go back to an older revision.
func (t *CheckpointTimer) Due(now time.Duration, s *State) bool {
	if !t.scheduled || now < t.due || s.Revision == 0 || len(s.LeftOut) > 0 {
		return false
	}
	retry := min(checkpointRetry, t.retention/retryDivisor)
	t.schedule(now + retry + t.delay(retry))
	return true
}

func (t *CheckpointTimer) schedule(at time.Duration) { t.due, t.scheduled = at, true }

func (t *CheckpointTimer) delay(spread time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(max(1, spread))))
}
