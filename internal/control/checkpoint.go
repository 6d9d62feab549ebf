package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

// checkpointPollInterval is the interval at which an instance checks whether a checkpoint is due.
const checkpointPollInterval = 500 * time.Millisecond

// Checkpointer appends a checkpoint to the log whenever one is due.
type Checkpointer struct {
	Log    logservice.Log
	Loop   *Loop
	Logger *slog.Logger
}

// Run appends checkpoints until ctx is done.
func (c *Checkpointer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkpointPollInterval)
		payload, err := c.Loop.dueCheckpoint(ctx)
		if err != nil || payload == nil {
			continue
		}
		offset, err := c.Log.Append(ctx, payload)
		if err != nil {
			c.Logger.Warn("Could not append a checkpoint.", "error", err)
			continue
		}
		c.Logger.Info("Appended a checkpoint.", "offset", offset)
	}
}

// dueCheckpoint returns the encoded record of a checkpoint if one is due, else nil.
func (l *Loop) dueCheckpoint(ctx context.Context) ([]byte, error) {
	var checkpoint *intent.Checkpoint
	err := l.Do(ctx, func() {
		if l.checkpointTimer.Due(l.now(), l.fold.State()) {
			checkpoint = intent.NewCheckpoint(l.fold.State(), time.Now())
		}
	})
	if err != nil || checkpoint == nil {
		return nil, err
	}
	return (&intent.Record{Kind: intent.KindCheckpoint, Checkpoint: checkpoint}).Encode()
}

// observeCheckpoints updates the checkpoint timer with the retention of the log and the valid checkpoints in a page.
func (l *Loop) observeCheckpoints(page logservice.Page) {
	l.checkpointTimer.SetRetention(l.now(), page.Retention)
	for _, r := range page.Records {
		if !intent.IsCheckpoint(r.Payload) {
			continue
		}
		record, err := intent.DecodeRecord(r.Payload)
		if err != nil || record.Kind != intent.KindCheckpoint || record.Checkpoint.Verify() != nil {
			continue
		}
		age := time.Since(time.UnixMilli(record.Checkpoint.AtMS))
		l.checkpointTimer.ObserveCheckpoint(l.now(), age, record.Checkpoint)
	}
}

// newRandom returns a randomly seeded random source.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
