package e2e

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin"
)

const (
	benchInstances = 20
	// maxSearch is the maximum number of requests sent until a given one of 60 targets answers.
	maxSearch = 5000
)

// timeUntilAll polls check every 5 ms on every instance and returns the time until it holds on all of them, at most about a
// minute.
func timeUntilAll(f *testFleet, check func(i int) bool) time.Duration {
	started := time.Now()
	var wait sync.WaitGroup
	for i := range f.instances {
		wait.Go(func() {
			for !check(i) && time.Since(started) < time.Minute {
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return time.Since(started)
}

func reportTimes(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "slowest-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTimeInForce measures the time from the answer to a publish until the revision is in force on 20 instances.
func BenchmarkTimeInForce(b *testing.B) {
	for _, c := range []struct {
		name    string
		logDown []int
	}{{"log up", nil}, {"log down for one instance", []int{7}}, {"log down for all but one", allBut(0)}} {
		b.Run(c.name, func(b *testing.B) {
			f := newTestFleet(b, benchInstances)
			for i := range f.instances {
				address := f.address
				if slices.Contains(c.logDown, i) {
					address = f.logDownAddress
				}
				f.startInstance(i, address)
			}
			target := f.startTarget()
			f.awaitRevision(f.publish(fleetService("flightdesk", 1, target.Address())), f.allInstances()...)
			awaitMembers(f)
			var times []time.Duration
			slots := 1
			for b.Loop() {
				slots = slots%1000 + 1
				revision := f.publish(fleetService("flightdesk", slots, target.Address()))
				times = append(times, timeUntilAll(f, func(i int) bool { return f.hasRevision(i, revision) }))
			}
			reportTimes(b, times)
		})
	}
}

func allBut(excluded int) []int {
	var rest []int
	for i := range benchInstances {
		if i != excluded {
			rest = append(rest, i)
		}
	}
	return rest
}

// BenchmarkDeparturePropagation measures the time from the first answer in which a target announces its departure until all of
// 20 instances know of it, while the log and the list are down.
func BenchmarkDeparturePropagation(b *testing.B) {
	f := newTestFleet(b, benchInstances)
	targets := make([]*standin.Target, 60)
	var addresses []string
	for i := range targets {
		targets[i] = f.startTarget()
		addresses = append(addresses, targets[i].Address())
	}
	f.startAll()
	f.awaitRevision(f.publish(fleetService("flightdesk", 4, addresses...)), f.allInstances()...)
	awaitMembers(f)
	f.log.SetFaults(standin.LogFaults{Down: true})
	f.list.SetDown(true)
	var times []time.Duration
	for b.Loop() {
		if len(times) == len(targets)-1 {
			b.Fatal("all targets but one have departed; run with -benchtime of at most 59x")
		}
		i := chosenTarget(f, targets)
		targets[i].SetFaults(standin.TargetFaults{Draining: true})
		// The policy might never choose this target, so the number of requests is limited.
		before := executions(targets[i])
		for attempt := 0; executions(targets[i]) == before; attempt++ {
			if attempt == maxSearch {
				b.Fatalf("target %d received none of %d requests", i, maxSearch)
			}
			f.lookup(0, "seen")
		}
		times = append(times, timeUntilAll(f, func(j int) bool {
			status := f.status(j)
			return status != nil && slices.Contains(status.Departed, addresses[i])
		}))
	}
	reportTimes(b, times)
}

// chosenTarget sends a request through the first instance and returns the index of the target that received it, or 0 if none
// did.
func chosenTarget(f *testFleet, targets []*standin.Target) int {
	before := make([]int, len(targets))
	for i, target := range targets {
		before[i] = executions(target)
	}
	f.lookup(0, "choose")
	return max(0, slices.IndexFunc(targets, func(t *standin.Target) bool {
		return executions(t) > before[slices.Index(targets, t)]
	}))
}

// BenchmarkOutageMemory reports the resident memory of an instance at the start and at the end of a log outage. The number of
// iterations is the length of the outage in seconds, as in -benchtime 60x.
func BenchmarkOutageMemory(b *testing.B) {
	f := newTestFleet(b, 3)
	target := f.startTarget()
	f.startAll()
	f.awaitRevision(f.publish(fleetService("flightdesk", 4, target.Address())), f.allInstances()...)
	awaitMembers(f)
	f.log.SetFaults(standin.LogFaults{Down: true})
	time.Sleep(5 * time.Second)
	before := residentKB(b, f.instances[0])
	for b.Loop() {
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if status, body := f.lookup(0, "load"); status != 200 {
				b.Errorf("status %d during the outage: %s", status, body)
			}
		}
	}
	b.ReportMetric(float64(before), "start-KB")
	b.ReportMetric(float64(residentKB(b, f.instances[0])), "end-KB")
	b.ReportMetric(0, "ns/op")
}

func residentKB(b *testing.B, instance *testInstance) int {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", instance.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	kilobytes := 0
	for line := range strings.Lines(string(data)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes)
	}
	return kilobytes
}
