package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

const (
	readPageRecords = 256
	// A read without records waits between half of readWait and the whole of it, so that instances that started
	// together do not keep calling the log in step.
	readWait        = 2 * time.Second
	readBackoffBase = 100 * time.Millisecond
	readBackoffMax  = 5 * time.Second
)

// Reader follows the log and delivers its pages to a loop.
type LogReader struct {
	Log    logservice.Log
	Loop   *Loop
	Random *rand.Rand
	Logger *slog.Logger
}

// Run follows the log until the context ends.
func (r *LogReader) Run(ctx context.Context) {
	backoff := logservice.Backoff{Base: readBackoffBase, Max: readBackoffMax}
	next := logservice.Offset(1)
	for ctx.Err() == nil {
		page, err := r.Log.Read(ctx, next, readPageRecords, r.wait())
		if err == nil {
			err = intent.CheckRewound(next, page)
		}
		if err == nil {
			next, err = r.Loop.Deliver(ctx, page)
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.Logger.Warn("Cannot follow the log.", "error", err)
		sleep(ctx, backoff.Next(r.Random))
	}
}

func (r *LogReader) wait() time.Duration {
	return readWait/2 + time.Duration(r.Random.Int64N(int64(readWait/2)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
