package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Run sends the requests of a checked plan and returns the report. When the context ends, no more requests are
// sent, and those in flight finish within the plan's timeout. Progress is called every two seconds.
func Run(ctx context.Context, plan *Plan, caller Caller, progress func(Totals)) *Report {
	recorder := newRecorder()
	stopProgress := runEvery(progressInterval, func() { progress(recorder.snapshot()) })
	start := time.Now()
	sendAll(ctx, plan, caller, recorder, start)
	stopProgress()
	return recorder.report(time.Since(start))
}

const progressInterval = 2 * time.Second

// dispatch starts a goroutine for each request at its due time and waits for all of them.
func sendAll(ctx context.Context, plan *Plan, caller Caller, recorder *recorder, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	schedule := newSchedule(plan.Arrival, plan.Rate, rand.New(rand.NewPCG(plan.Seed, 0)))
	slots := make(chan struct{}, plan.Connections)
	// A request that was sent is not given up when the run is interrupted.
	callContext := context.WithoutCancel(ctx)
	for number := 0; plan.Count == 0 || number < plan.Count; number++ {
		due := schedule.nextDue()
		if due >= plan.Duration || !waitUntil(ctx, start.Add(due)) || !acquireSlot(ctx, slots) {
			return
		}
		group.Go(func() {
			sentAt := time.Now()
			recorder.recordSent(sentAt.Sub(start.Add(due)))
			result := caller.Call(callContext, number)
			now := time.Now()
			recorder.recordResult(result, now.Sub(start.Add(due)), now.Sub(sentAt))
			<-slots
		})
	}
}

func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitUntil returns false when the context ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// every calls f at an interval until the returned function is called.
func runEvery(interval time.Duration, f func()) func() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f()
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}
