package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/platform/platformtest"
)

// Limits that the users require: once crashThreshold targets have crashed and stabilityWindow has passed, at most
// maxRunsAfterThreshold sends of the request may reach a target. Only sends through instances that were undisturbed for
// the window count.
const (
	crashThreshold        = 3
	maxRunsAfterThreshold = 3
	stabilityWindow       = 3 * time.Second
)

// crashLog records the sends of a request that crashes every target that runs it, and the crashes that it caused.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	// sends are the requests sent through an instance that had been undisturbed for stabilityWindow when they were sent
	// and still was when they finished.
	sends []crashSend
}

type crashSend struct {
	id string
	at time.Time
}

// sendCrashingRequests repeatedly sends a request that crashes its target, through random instances, until ctx is done. Each
// connection comes from one of the given number of addresses.
func (h *harness) sendCrashingRequests(ctx context.Context, random *rand.Rand, addresses int) {
	for ctx.Err() == nil {
		sleep(ctx, randomMillis(random, 150, 700))
		client := newClient(callerAddress(1000+random.IntN(addresses)), false)
		i := h.instances[random.IntN(len(h.instances))]
		undisturbed, sentAt := i.undisturbedFor(stabilityWindow), time.Now()
		id := fmt.Sprintf("c%d", h.requestCount.Add(1))
		h.sendWithID(ctx, client, i, id, "/read"+platformtest.CrashPathSuffix, true)
		if undisturbed && i.undisturbedFor(stabilityWindow) {
			h.crashLog.mu.Lock()
			h.crashLog.sends = append(h.crashLog.sends, crashSend{id, sentAt})
			h.crashLog.mu.Unlock()
		}
	}
}

// replaceCrashedTarget removes the entry of a target that a request crashed and starts a replacement.
func (h *harness) replaceCrashedTarget(id string) {
	h.crashLog.mu.Lock()
	h.crashLog.crashes = append(h.crashLog.crashes, time.Now())
	h.crashLog.mu.Unlock()
	h.mu.Lock()
	index := slices.IndexFunc(h.targets, func(t *platformtest.Target) bool { return t.ID == id })
	if index < 0 {
		h.mu.Unlock()
		return
	}
	target := h.targets[index]
	h.targets = slices.Delete(h.targets, index, index+1)
	h.removed = append(h.removed, target)
	h.mu.Unlock()
	time.Sleep(time.Second)
	h.store.DropTarget(id)
	h.addTarget(target.Service, "")
}

// checkCrashLimit verifies that few enough of the sends after the third crash reached a target.
func (h *harness) checkCrashLimit() {
	h.crashLog.mu.Lock()
	defer h.crashLog.mu.Unlock()
	h.t.Logf("a request that crashes targets crashed %d of them", len(h.crashLog.crashes))
	for _, at := range h.crashLog.crashes {
		h.t.Logf("%6.2f s a target crashed", at.Sub(h.started).Seconds())
	}
	if len(h.crashLog.crashes) < crashThreshold {
		return
	}
	runsByID := map[string]int{}
	h.runs.Each(func(id string, runs int) { runsByID[id] = runs })
	cutoff, runsAfter := h.crashLog.crashes[crashThreshold-1].Add(stabilityWindow), 0
	for _, s := range h.crashLog.sends {
		if s.at.After(cutoff) {
			runsAfter += runsByID[s.id]
		}
	}
	if runsAfter > maxRunsAfterThreshold {
		h.recordViolation("BUDGET", "a request that crashes targets ran %d times after the third crash and the stability window; %d targets crashed", runsAfter, len(h.crashLog.crashes))
	}
}

// crashCallers is the number of addresses from which a request that crashes targets is sent.
const crashCallers = 200

// Guards against sending a request that crashes targets on and on because its callers connect from many addresses, so that no
// instance takes it for the same request.
func TestCrashingRequestOfManyCallers(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { h.sendHeartbeats(ctx) })
	h.awaitReady()
	for n := range callerCount {
		group.Go(func() { h.runCaller(ctx, rand.New(rand.NewPCG(*seed, uint64(100+n))), callerAddress(n)) })
	}
	sleep(ctx, stabilityWindow)
	for n := range 3 {
		group.Go(func() { h.sendCrashingRequests(ctx, rand.New(rand.NewPCG(*seed, uint64(200+n))), crashCallers) })
	}
	sleep(ctx, 2*stabilityWindow+2*time.Second)
	cancel()
	group.Wait()
	h.checkExecutions()
	h.checkCrashLimit()
	h.reportViolations()
}
