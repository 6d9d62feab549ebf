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
	// readWait is the maximum time for which a read waits for new records. Each read waits between half of it and all
	// of it, so that instances that started together do not call the log in lockstep.
	readWait        = 2 * time.Second
	readBackoffBase = 100 * time.Millisecond
	readBackoffMax  = 5 * time.Second
)

// LogReader reads the configuration log and delivers its pages to a loop.
type LogReader struct {
	Log    logservice.Log
	Loop   *Loop
	Random *rand.Rand
	Logger *slog.Logger
}

// Run reads the log until ctx is done. After an error it retries with backoff.
func (r *LogReader) Run(ctx context.Context) {
	backoff := logservice.Backoff{Base: readBackoffBase, Max: readBackoffMax}
	next := logservice.Offset(1)
	for ctx.Err() == nil {
		page, err := r.Log.Read(ctx, next, readPageRecords, r.pollWait())
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
		r.Logger.Warn("Could not read or apply the log.", "error", err)
		sleep(ctx, backoff.Next(r.Random))
	}
}

// pollWait returns the jittered wait of the next read.
func (r *LogReader) pollWait() time.Duration {
	return readWait/2 + time.Duration(r.Random.Int64N(int64(readWait/2)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
