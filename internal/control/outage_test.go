package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
)

// countingLog records when it is called.
type countingLog struct {
	logservice.Log
	mu      sync.Mutex
	reads   []time.Time
	appends []time.Time
}

func (l *countingLog) Append(ctx context.Context, payload []byte) (logservice.Offset, error) {
	l.mu.Lock()
	l.appends = append(l.appends, time.Now())
	l.mu.Unlock()
	return l.Log.Append(ctx, payload)
}

func (l *countingLog) Read(ctx context.Context, from logservice.Offset, max int, wait time.Duration) (logservice.Page, error) {
	l.mu.Lock()
	l.reads = append(l.reads, time.Now())
	l.mu.Unlock()
	return l.Log.Read(ctx, from, max, wait)
}

func (l *countingLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads, l.appends = nil, nil
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// startInstance runs the control part of an instance until the context ends.
func startInstance(ctx context.Context, log logservice.Log, seed uint64) *Loop {
	loop := New("tz-north-a", balancer.TwoChoices{}, quiet)
	loop.SelfID, loop.LiveIDs = fmt.Sprint("i", seed), func() []string { return []string{"i2", "i0", "i3", "i1", "i1"} }
	reader := &LogReader{Log: log, Loop: loop, Random: rand.New(rand.NewPCG(seed, 5)), Logger: quiet}
	checkpointer := &Checkpointer{Log: log, Loop: loop, Logger: quiet}
	go loop.Run(ctx)
	go reader.Run(ctx)
	go checkpointer.Run(ctx)
	return loop
}

func appendService(t *testing.T, log logservice.Log, change *intent.Change) {
	t.Helper()
	payload, err := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), payload); err != nil {
		t.Fatal(err)
	}
}

const flightdesk = `
[[service]]
name = "flightdesk"
region = "tz-north"
zones = ["tz-north-a"]
[[service.class]]
name = "lookup"
[[service.target]]
address = "127.0.0.1:8080"
zone = "tz-north-a"
`

// Guards against instances that lose the configuration in force during an outage, that call the log too often during
// it, and that come back in step after it.
func TestOutageIsBridged(t *testing.T) {
	const instances = 20
	faults := []struct {
		name  string
		fault standin.LogFaults
	}{{"down", standin.LogFaults{Down: true}}, {"slow", standin.LogFaults{Delay: 5 * time.Second}}}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				memory := standin.NewLog()
				log := &countingLog{Log: memory}
				appendService(t, memory, &intent.Change{ID: "1", Service: "flightdesk", Spec: flightdesk})
				loops := make([]*Loop, instances)
				for i := range loops {
					loops[i] = startInstance(ctx, log, uint64(i))
				}
				time.Sleep(time.Minute)
				memory.SetFaults(c.fault)
				time.Sleep(10 * time.Second)
				log.reset()
				time.Sleep(10 * time.Minute)
				checkCalls(t, log, instances, 10*time.Minute)
				for i, loop := range loops {
					if loop.Snapshot().Revision != 1 {
						t.Errorf("instance %d lost its configuration", i)
					}
				}
				memory.SetFaults(standin.LogFaults{})
				appendService(t, memory, &intent.Change{ID: "2", Base: 1, Service: "flightdesk", Spec: flightdesk})
				time.Sleep(2 * readBackoffMax)
				for i, loop := range loops {
					if loop.Snapshot().Revision < 2 {
						t.Errorf("instance %d did not come back after the outage", i)
					}
				}
			})
		})
	}
}

// checkCalls checks the calls during an outage: at least half of the largest backoff, less a long poll, lies between
// the reads of one instance, no tenth of a second holds half of the fleet, and appends stay under 1 % of 200 a second.
func checkCalls(t *testing.T, log *countingLog, instances int, length time.Duration) {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	if limit := instances * int(length/(readBackoffMax/2)); len(log.reads) > limit {
		t.Errorf("%d reads of at most %d", len(log.reads), limit)
	}
	buckets := map[int64]int{}
	for _, at := range log.reads {
		buckets[at.UnixMilli()/100]++
	}
	busiest := 0
	for _, count := range buckets {
		busiest = max(busiest, count)
	}
	if busiest > instances/2 {
		t.Errorf("%d of %d instances called the log within a tenth of a second", busiest, instances)
	}
	if limit := int(length.Seconds() * 2); len(log.appends) > limit {
		t.Errorf("%d appends of at most %d", len(log.appends), limit)
	}
}

// Guards against a log that flaps and thereby loses or reverts a revision.
func TestFlappingLogKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := standin.NewLog()
		loop := startInstance(ctx, memory, 1)
		random := rand.New(rand.NewPCG(4, 4))
		var seen []logservice.Offset
		base := logservice.Offset(0)
		for range 50 {
			memory.SetFaults(standin.LogFaults{})
			appendService(t, memory, &intent.Change{ID: "1", Base: base, Service: "flightdesk", Spec: flightdesk})
			page, err := memory.Read(t.Context(), 1, 1, 0)
			if err != nil {
				t.Fatal(err)
			}
			base = page.Next - 1
			memory.SetFaults(standin.LogFaults{Down: random.IntN(2) == 0, Delay: time.Duration(random.IntN(5)) * time.Second})
			time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			if snapshot := loop.Snapshot(); snapshot != nil {
				seen = append(seen, snapshot.Revision)
			}
		}
		memory.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		if !slices.IsSorted(seen) {
			t.Errorf("revisions went back: %v", seen)
		}
		if len(seen) == 0 || loop.Snapshot().Revision == 0 {
			t.Error("no revision in force")
		}
	})
}

// Guards against subsets that are drawn before an instance knows the others and then stay: once the lists are the same,
// no target is used by more instances than it has connections, one of which is left for checks.
func TestSubsetsFollowTheInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := standin.NewLog()
		spec := strings.Replace(flightdesk, "region", "connections_per_target = 2\nmax_instances = 4\nregion", 1)
		for i := range 7 {
			spec += fmt.Sprintf("[[service.target]]\naddress = \"127.0.0.1:%d\"\nzone = \"tz-north-a\"\n", 8081+i)
		}
		appendService(t, log, &intent.Change{ID: "1", Service: "flightdesk", Spec: spec})
		counts := map[string]int{}
		for i := range 4 {
			loop := startInstance(ctx, log, uint64(i))
			time.Sleep(3 * time.Second)
			for _, target := range loop.Snapshot().Services["flightdesk"].Targets {
				counts[target.Address]++
			}
		}
		if len(counts) != 8 {
			t.Errorf("4 instances with 2 targets each use %d of 8 targets, want each once: %v", len(counts), counts)
		}
	})
}

// Guards against a traffic goroutine that waits for the control goroutine, and against drops that are not counted.
func TestObserveNeverBlocks(t *testing.T) {
	loop := New("tz-north-a", balancer.TwoChoices{}, quiet)
	for range eventQueue + 7 {
		loop.Observe(TargetEvent{Address: "10.0.0.7:8080", Draining: true})
	}
	if loop.DroppedEvents() != 7 {
		t.Errorf("%d events were dropped", loop.DroppedEvents())
	}
	target := &Target{Address: "10.0.0.8:8080"}
	loop.ObserveDraining(target, "a")
	if target.reported.Load() {
		t.Error("a dropped event counts as reported")
	}
}

// Guards against memory or goroutines that pile up during a long outage.
func TestMemoryStaysFlatDuringOutage(t *testing.T) {
	// maxGrowth is a sixty-fourth of the stated 64 MB for control.
	const maxGrowth = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := standin.NewLog()
		appendService(t, memory, &intent.Change{ID: "1", Service: "flightdesk", Spec: flightdesk})
		for i := range 20 {
			startInstance(ctx, memory, uint64(i))
		}
		time.Sleep(time.Minute)
		memory.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(10 * time.Minute)
		heap, goroutines := usage()
		time.Sleep(2 * time.Hour)
		heapAfter, goroutinesAfter := usage()
		if grown := int64(heapAfter) - int64(heap); grown > maxGrowth {
			t.Errorf("the heap of 20 instances grew by %d bytes in 2 hours", grown)
		}
		if goroutinesAfter > goroutines {
			t.Errorf("goroutines grew from %d to %d", goroutines, goroutinesAfter)
		}
	})
}

func usage() (heap uint64, goroutines int) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, runtime.NumGoroutine()
}
