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

// countingLog records the times of the calls to a log.
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

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// startInstance runs the control loop, log reader and checkpointer of an instance until ctx is done.
func startInstance(ctx context.Context, log logservice.Log, seed uint64) *Loop {
	loop := New("tz-north-a", balancer.TwoChoices{}, discardLogger)
	loop.SelfID, loop.LiveIDs = fmt.Sprint("i", seed), func() []string { return []string{"i2", "i0", "i3", "i1", "i1"} }
	reader := &LogReader{Log: log, Loop: loop, Random: rand.New(rand.NewPCG(seed, 5)), Logger: discardLogger}
	checkpointer := &Checkpointer{Log: log, Loop: loop, Logger: discardLogger}
	go loop.Run(ctx)
	go reader.Run(ctx)
	go checkpointer.Run(ctx)
	return loop
}

func appendChange(t *testing.T, log logservice.Log, change *intent.Change) {
	t.Helper()
	payload, err := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), payload); err != nil {
		t.Fatal(err)
	}
}

const flightdeskSpec = `
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

// Guards against instances that lose their configuration when the log is down or slow, that call the log too often
// meanwhile, or that call it in lockstep.
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
				standinLog := standin.NewLog()
				log := &countingLog{Log: standinLog}
				appendChange(t, standinLog, &intent.Change{ID: "1", Service: "flightdesk", Spec: flightdeskSpec})
				loops := make([]*Loop, instances)
				for i := range loops {
					loops[i] = startInstance(ctx, log, uint64(i))
				}
				time.Sleep(time.Minute)
				standinLog.SetFaults(c.fault)
				time.Sleep(10 * time.Second)
				log.reset()
				time.Sleep(10 * time.Minute)
				checkLogCalls(t, log, instances, 10*time.Minute)
				for i, loop := range loops {
					if loop.Snapshot().Revision != 1 {
						t.Errorf("instance %d lost its configuration during the outage", i)
					}
				}
				standinLog.SetFaults(standin.LogFaults{})
				appendChange(t, standinLog, &intent.Change{ID: "2", Base: 1, Service: "flightdesk", Spec: flightdeskSpec})
				time.Sleep(2 * readBackoffMax)
				for i, loop := range loops {
					if loop.Snapshot().Revision < 2 {
						t.Errorf("instance %d did not apply a change after the outage", i)
					}
				}
			})
		})
	}
}

// checkLogCalls checks the calls during an outage: reads of one instance are on average at least half of the largest
// backoff apart, at most half of the instances read within a tenth of a second, and appends stay within 1 % of the 200
// per second that the log accepts.
func checkLogCalls(t *testing.T, log *countingLog, instances int, length time.Duration) {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	if limit := instances * int(length/(readBackoffMax/2)); len(log.reads) > limit {
		t.Errorf("%d reads, want at most %d", len(log.reads), limit)
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
		t.Errorf("%d of %d instances read the log within a tenth of a second", busiest, instances)
	}
	if limit := int(length.Seconds() * 2); len(log.appends) > limit {
		t.Errorf("%d appends, want at most %d", len(log.appends), limit)
	}
}

// Guards against a revision that is lost or reverted when the log is repeatedly unavailable or slow.
func TestFlappingLogKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		standinLog := standin.NewLog()
		loop := startInstance(ctx, standinLog, 1)
		random := rand.New(rand.NewPCG(4, 4))
		var seen []logservice.Offset
		base := logservice.Offset(0)
		for range 50 {
			standinLog.SetFaults(standin.LogFaults{})
			appendChange(t, standinLog, &intent.Change{ID: "1", Base: base, Service: "flightdesk", Spec: flightdeskSpec})
			page, err := standinLog.Read(t.Context(), 1, 1, 0)
			if err != nil {
				t.Fatal(err)
			}
			base = page.Next - 1
			standinLog.SetFaults(standin.LogFaults{Down: random.IntN(2) == 0, Delay: time.Duration(random.IntN(5)) * time.Second})
			time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			if snapshot := loop.Snapshot(); snapshot != nil {
				seen = append(seen, snapshot.Revision)
			}
		}
		standinLog.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		if !slices.IsSorted(seen) {
			t.Errorf("revisions of the snapshot decreased: %v", seen)
		}
		if len(seen) == 0 || loop.Snapshot().Revision == 0 {
			t.Error("no configuration is in force")
		}
	})
}

// Guards against subsets that are chosen before an instance knows the others and then never updated. Once the lists are
// equal, each target must be used by at most as many instances as it has connections, less one for return checks.
func TestSubsetsFollowLiveInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := standin.NewLog()
		spec := strings.Replace(flightdeskSpec, "region", "connections_per_target = 2\nmax_instances = 4\nregion", 1)
		for i := range 7 {
			spec += fmt.Sprintf("[[service.target]]\naddress = \"127.0.0.1:%d\"\nzone = \"tz-north-a\"\n", 8081+i)
		}
		appendChange(t, log, &intent.Change{ID: "1", Service: "flightdesk", Spec: spec})
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

// Guards against a traffic goroutine that blocks on the control goroutine, and against dropped events that are not
// counted.
func TestObserveNeverBlocks(t *testing.T) {
	loop := New("tz-north-a", balancer.TwoChoices{}, discardLogger)
	for range eventQueueSize + 7 {
		loop.Observe(TargetEvent{Address: "10.0.0.7:8080", Draining: true})
	}
	if loop.DroppedEvents() != 7 {
		t.Errorf("%d events were dropped, want 7", loop.DroppedEvents())
	}
	target := &Target{Address: "10.0.0.8:8080"}
	loop.ObserveDraining(target, "a")
	if target.departureReported.Load() {
		t.Error("a dropped event marks the departure as reported")
	}
}

// Guards against memory or goroutines that accumulate during a long outage.
func TestMemoryStaysFlatDuringOutage(t *testing.T) {
	// maxGrowth is 1/64 of the 64 MB allowed for the control part.
	const maxGrowth = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		standinLog := standin.NewLog()
		appendChange(t, standinLog, &intent.Change{ID: "1", Service: "flightdesk", Spec: flightdeskSpec})
		for i := range 20 {
			startInstance(ctx, standinLog, uint64(i))
		}
		time.Sleep(time.Minute)
		standinLog.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(10 * time.Minute)
		heap, goroutines := memoryUsage()
		time.Sleep(2 * time.Hour)
		heapAfter, goroutinesAfter := memoryUsage()
		if grown := int64(heapAfter) - int64(heap); grown > maxGrowth {
			t.Errorf("the heap of 20 instances grew by %d bytes in 2 hours, want at most 1 MiB", grown)
		}
		if goroutinesAfter > goroutines {
			t.Errorf("the number of goroutines grew from %d to %d", goroutines, goroutinesAfter)
		}
	})
}

func memoryUsage() (heap uint64, goroutines int) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, runtime.NumGoroutine()
}
