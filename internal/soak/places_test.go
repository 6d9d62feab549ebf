package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/platform/platformtest"
)

// Bounds of the users' platform. Those of cold targets are the defaults of the settings under bounds.
const (
	evacuationTime = 5 * time.Second
	// configTime is the platform's bound for configurations. The end of an evacuation must be known as soon.
	configTime    = 2500 * time.Millisecond
	coldRate      = 5
	warmupOverage = 1.5
	warmupSlack   = 8
	// backTime is how long after configTime each zone that was taken back has got a request.
	backTime = 2 * time.Second
)

// evacuation is the time from the acknowledgement of an evacuation to its end.
type evacuation struct {
	zone     string
	from, to time.Time
}

// placeFaults are the faults during an evacuation. Each freeze is shorter than stabilityWindow, as the time of the last
// disturbance decides which instances are in touch.
var placeFaults = []fault{
	{"instance killed", instanceFault(syscall.SIGKILL, 0)},
	{"instance stopped", instanceFault(syscall.SIGTERM, 0)},
	{"instance frozen", instanceFault(syscall.SIGSTOP, syscall.SIGCONT)},
	{"owner killed", ownerFault(syscall.SIGKILL, 0)},
	{"owner frozen", ownerFault(syscall.SIGSTOP, syscall.SIGCONT)},
	{"instance cut off from the store", func(ctx context.Context, h *harness, random *rand.Rand) {
		i := h.instances[random.IntN(len(h.instances))]
		i.recordDisturbance()
		defer i.recordDisturbance()
		i.storeFront.SetCut(true)
		sleep(ctx, randomMillis(random, 300, 2500))
		i.storeFront.SetCut(false)
	}},
	{"target loses answers", targetFault(platformtest.TargetFaults{Slowdown: 1, LostAnswerRate: 0.3})},
}

// storeFaults are short faults of the store right before and after an evacuation is written.
var storeFaults = []fault{
	{"store undisturbed", func(context.Context, *harness, *rand.Rand) {}},
	{"store down", storeFault(platformtest.Faults{Down: true})},
	{"store silent", storeFault(platformtest.Faults{Silent: true})},
	{"store discards its history", func(_ context.Context, h *harness, _ *rand.Rand) { h.store.Trim() }},
}

// Guards against requests that reach an evacuated zone, a zone that stays unused after its evacuation, and cold targets that
// get more requests from all instances together than they tolerate, while instances are killed, frozen and cut off.
func TestSoakWithEvacuations(t *testing.T) {
	h := newHarness(t, func(h *harness) {
		h.adjustConfig = func(c *routes.Config) map[string][]string {
			for n := range c.Services {
				c.Services[n].WarmupTime, c.Services[n].WarmupRate = 4*time.Second, coldRate
			}
			return nil
		}
		h.runs.KeepArrivals()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	faultCtx, cancelFaults := context.WithTimeout(ctx, settleTime+time.Duration(*seconds)*time.Second)
	defer cancelFaults()
	var group sync.WaitGroup
	group.Go(func() { h.sendHeartbeats(ctx) })
	h.awaitReady()
	for n := range callerCount {
		group.Go(func() { h.runCaller(ctx, rand.New(rand.NewPCG(*seed, uint64(100+n))), callerAddress(n)) })
	}
	sleep(ctx, settleTime)
	group.Go(func() { h.chillTargets(faultCtx, rand.New(rand.NewPCG(*seed, 6))) })
	var evacuations []evacuation
	for random := rand.New(rand.NewPCG(*seed, 2)); faultCtx.Err() == nil; {
		evacuations = append(evacuations, h.evacuate(ctx, random))
	}
	sleep(ctx, settleTime)
	h.checkRecovery(ctx)
	cancel()
	group.Wait()
	h.checkExecutions()
	arrivals := h.runs.Arrivals()
	h.checkEvacuations(evacuations, arrivals)
	h.checkColdTargets(arrivals)
	h.reportViolations()
	t.Logf("seed %d: %d requests, %d served", *seed, h.requestCount.Load(), h.servedCount.Load())
}

// chillTargets lets a random target, or all of a service, turn cold, of which only their health answers tell, until ctx is done. While
// some are warm, cold ones are avoided, so that their bound is not put to the test.
func (h *harness) chillTargets(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		first, all := h.randomTarget(random), random.IntN(3) == 0
		length := randomMillis(random, 1500, 4000)
		h.t.Logf("%6.3f s target %s turns cold for %s, all of its service: %t", time.Since(h.started).Seconds(), first.ID, length, all)
		h.mu.Lock()
		for _, target := range h.targets {
			if target == first || all && target.Service == first.Service {
				target.SetCold(length)
			}
		}
		h.mu.Unlock()
		sleep(ctx, randomMillis(random, 200, 1500))
	}
}

// evacuate evacuates a random zone among faults, and takes it back, with targets that are cold by then.
func (h *harness) evacuate(ctx context.Context, random *rand.Rand) evacuation {
	e := evacuation{zone: fmt.Sprintf("z%d", random.IntN(2))}
	var group sync.WaitGroup
	inject := func(f fault) {
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		h.t.Logf("%6.2f s %s", time.Since(h.started).Seconds(), f.name)
		group.Go(func() { f.inject(ctx, h, faultRandom) })
	}
	inject(storeFaults[random.IntN(len(storeFaults))])
	sleep(ctx, randomMillis(random, 0, 300))
	h.store.PutEvacuation(e.zone, true)
	e.from = time.Now()
	h.t.Logf("%6.2f s zone %s is evacuated", time.Since(h.started).Seconds(), e.zone)
	for until := e.from.Add(evacuationTime + randomMillis(random, 1500, 3000)); time.Now().Before(until); {
		inject(placeFaults[random.IntN(len(placeFaults))])
		sleep(ctx, randomMillis(random, 300, 1800))
	}
	group.Wait()
	h.mu.Lock()
	for _, target := range h.targets {
		if zoneOf(target.ID) == e.zone && random.IntN(2) == 0 {
			target.SetCold(configTime)
		}
	}
	h.mu.Unlock()
	e.to = time.Now()
	h.store.PutEvacuation(e.zone, false)
	h.t.Logf("%6.2f s zone %s is taken back", time.Since(h.started).Seconds(), e.zone)
	sleep(ctx, configTime+backTime)
	return e
}

// checkEvacuations verifies that instances in touch sent nothing to evacuated zones, and that these were used again.
func (h *harness) checkEvacuations(evacuations []evacuation, arrivals []platformtest.Arrival) {
	for _, e := range evacuations {
		late, excused, back := 0, 0, 0
		for _, a := range arrivals {
			if zoneOf(a.Target) != e.zone {
				continue
			}
			if used := a.At.Sub(e.to); used > configTime && used < configTime+backTime {
				back++
			}
			if a.At.Before(e.from.Add(evacuationTime)) || a.At.After(e.to) {
				continue
			}
			if value, known := h.requests.Load(a.ID); known && !value.(*request).inTouch {
				excused++
				continue
			}
			late++
			h.recordViolation("EVAC", "request %s reached target %s of zone %s %s after its evacuation", a.ID, a.Target, e.zone, a.At.Sub(e.from))
		}
		h.t.Logf("zone %s: %d late requests, %d of instances out of touch, %d after it was taken back", e.zone, late, excused, back)
		if back == 0 {
			h.recordViolation("EVAC", "zone %s got no request from %s to %s after it was taken back", e.zone, configTime, configTime+backTime)
		}
	}
}

// checkColdTargets verifies that no cold target got more requests in a second than all instances together may send.
func (h *harness) checkColdTargets(arrivals []platformtest.Arrival) {
	cold := map[string][]time.Time{}
	for _, a := range arrivals {
		if a.Cold {
			cold[a.Target] = append(cold[a.Target], a.At)
		}
	}
	most, bound := 0, float64(coldRate*warmupOverage+warmupSlack)
	for target, times := range cold {
		slices.SortFunc(times, time.Time.Compare)
		fullest, at := fullestWindow(times, time.Second)
		most = max(most, fullest)
		if float64(fullest) > bound {
			h.logArrivals(arrivals, target, at)
			h.recordViolation("FAILBACK", "cold target %s got %d requests in a second from %s on, bound %.1f", target, fullest, at.Sub(h.started), bound)
		}
	}
	h.t.Logf("%d targets got requests while cold, one at most %d in a second, bound %.1f", len(cold), most, bound)
	if len(cold) == 0 {
		h.recordViolation("FAILBACK", "no cold target got a request")
	}
}

// logArrivals logs the requests that a target got around the second from a time on, with when and to which instance they were
// sent.
func (h *harness) logArrivals(arrivals []platformtest.Arrival, target string, from time.Time) {
	for _, a := range arrivals {
		value, known := h.requests.Load(a.ID)
		if !known || a.Target != target || a.At.Sub(from).Abs() >= time.Second {
			continue
		}
		r := value.(*request)
		h.t.Logf("%.3f s %s reached target %s, cold %t, sent to instance %s at %.3f s",
			a.At.Sub(h.started).Seconds(), a.ID, target, a.Cold, r.instance, r.sentAt.Sub(h.started).Seconds())
	}
}
