package intent

import (
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

const (
	// A checkpoint becomes due when retention/checkpointAgeDivisor has passed since the last one. The rest of the
	// retention is a reserve for outages and for the random delay.
	checkpointAgeDivisor = 2
	// A random delay of up to retention/checkpointSpreadDivisor makes it likely that only one instance appends.
	checkpointSpreadDivisor = 16
	// maxCheckpointSpread is the upper limit of that delay.
	maxCheckpointSpread = 5 * time.Minute
	// initialCheckpointSpread is the upper limit of the random delay before the first checkpoint while the age of the
	// last one is unknown, for example because the log has none.
	initialCheckpointSpread = 10 * time.Second
	// checkpointRetryInterval is the minimum time between two attempts of one instance. With 20 instances, one attempt
	// each in 30 s uses less than 1 % of a log that accepts 200 appends/s.
	checkpointRetryInterval = 30 * time.Second
	// shortRetentionDivisor keeps delays small against a short retention: initialCheckpointSpread and
	// checkpointRetryInterval apply only up to retention/shortRetentionDivisor.
	shortRetentionDivisor = 8
)

// CheckpointTimer decides when this instance appends a checkpoint. There is no leader: each instance waits for a random
// delay and appends only if no newer checkpoint appeared in the meantime. The argument now is the monotonic time since
// the start of the process. A CheckpointTimer is not safe for concurrent use.
type CheckpointTimer struct {
	random *rand.Rand
	// retention is the retention of the log, 0 until SetRetention is called.
	retention time.Duration
	dueAt     time.Duration
	scheduled bool
	// coveredThrough is the highest offset that the state of a checkpoint in the log covers.
	coveredThrough logservice.Offset
}

// NewCheckpointTimer returns a timer that draws its delays from random. No checkpoint is due before SetRetention is called.
func NewCheckpointTimer(random *rand.Rand) *CheckpointTimer { return &CheckpointTimer{random: random} }

// SetRetention sets the retention of the log. The first call schedules a checkpoint after a short random delay;
// ObserveCheckpoint reschedules it.
func (t *CheckpointTimer) SetRetention(now, retention time.Duration) {
	t.retention = retention
	if !t.scheduled {
		t.schedule(now + t.randomDelay(min(initialCheckpointSpread, retention/shortRetentionDivisor)))
	}
}

// ObserveCheckpoint reschedules the next checkpoint after c was read from the log. The age of c comes from wall clocks; a
// negative age, caused by a clock that is ahead, counts as 0. Wall clocks may differ by up to a quarter of the retention
// without the loss of a record.
func (t *CheckpointTimer) ObserveCheckpoint(now, age time.Duration, c *Checkpoint) {
	if c.State.Through < t.coveredThrough {
		return
	}
	t.coveredThrough = c.State.Through
	remaining := max(0, t.retention/checkpointAgeDivisor-max(0, age))
	spread := min(t.retention/checkpointSpreadDivisor, maxCheckpointSpread)
	t.schedule(now + remaining + t.randomDelay(spread))
}

// Due reports whether a checkpoint of s must be appended now. If so, it schedules the next attempt. It returns false for
// a state that left out a change of a newer format, because an instance that starts from its checkpoint would go back to
// an older revision.
func (t *CheckpointTimer) Due(now time.Duration, s *State) bool {
	if !t.scheduled || now < t.dueAt || s.Revision == 0 || len(s.LeftOut) > 0 {
		return false
	}
	retry := min(checkpointRetryInterval, t.retention/shortRetentionDivisor)
	t.schedule(now + retry + t.randomDelay(retry))
	return true
}

func (t *CheckpointTimer) schedule(at time.Duration) { t.dueAt, t.scheduled = at, true }

// randomDelay returns a delay from 0 to spread, exclusive.
func (t *CheckpointTimer) randomDelay(spread time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(max(1, spread))))
}
