package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

// checkpointPoll is how often an instance looks whether a checkpoint is due.
const checkpointPoll = 500 * time.Millisecond

// Checkpointer appends a checkpoint when one is due.
type Checkpointer struct {
	Log    logservice.Log
	Loop   *Loop
	Logger *slog.Logger
}

// Run appends checkpoints until the context ends.
func (c *Checkpointer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkpointPoll)
		payload, err := c.Loop.dueCheckpoint(ctx)
		if err != nil || payload == nil {
			continue
		}
		offset, err := c.Log.Append(ctx, payload)
		if err != nil {
			c.Logger.Warn("Cannot append a checkpoint.", "error", err)
			continue
		}
		c.Logger.Info("Appended a checkpoint.", "offset", offset)
	}
}

// dueCheckpoint returns the payload of a checkpoint when one is due, else nil.
func (l *Loop) dueCheckpoint(ctx context.Context) ([]byte, error) {
	var checkpoint *intent.Checkpoint
	err := l.Do(ctx, func() {
		if l.checkpoint.Due(l.now(), l.fold.State()) {
			checkpoint = intent.NewCheckpoint(l.fold.State(), time.Now())
		}
	})
	if err != nil || checkpoint == nil {
		return nil, err
	}
	return (&intent.Record{Kind: intent.KindCheckpoint, Checkpoint: checkpoint}).Encode()
}

// noteCheckpoints takes note of the retention and of the checkpoints of a page.
func (l *Loop) noteCheckpoints(page logservice.Page) {
	l.checkpoint.SetRetention(l.now(), page.Retention)
	for _, r := range page.Records {
		if !intent.IsCheckpoint(r.Payload) {
			continue
		}
		record, err := intent.DecodeRecord(r.Payload)
		if err != nil || record.Kind != intent.KindCheckpoint || record.Checkpoint.Verify() != nil {
			continue
		}
		age := time.Since(time.UnixMilli(record.Checkpoint.AtMS))
		l.checkpoint.ObserveCheckpoint(l.now(), age, record.Checkpoint)
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
