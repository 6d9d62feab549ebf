package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Run sends the requests of a valid plan and returns the report. When ctx is cancelled, it sends no more requests and
// waits for those in flight, which the caller that NewCaller returns ends at the latest answerGrace after the plan's
// timeout. Run calls progress every two seconds from another goroutine.
func Run(ctx context.Context, plan *Plan, caller Caller, progress func(Totals)) *Report {
	recorder := newRecorder()
	stopProgress := runEvery(progressInterval, func() { progress(recorder.snapshot()) })
	start := time.Now()
	sendAll(ctx, plan, caller, recorder, start)
	stopProgress()
	return recorder.report(time.Since(start))
}

const progressInterval = 2 * time.Second

// sendAll starts a goroutine for each request at its due time and waits for all of them.
func sendAll(ctx context.Context, plan *Plan, caller Caller, recorder *recorder, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	schedule := newSchedule(plan.Arrival, plan.Rate, rand.New(rand.NewPCG(plan.Seed, 0)))
	slots := make(chan struct{}, plan.Connections)
	// Requests in flight are not cancelled when the run is.
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

// acquireSlot waits for a free slot. It returns false if ctx is cancelled first.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitUntil waits until due. It returns false if ctx is cancelled first.
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

// runEvery calls f periodically in a goroutine until the returned function is called. That function waits for the
// goroutine to end.
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
