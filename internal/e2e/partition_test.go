package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/peer"
	"github.com/basillink/basillink/internal/standin/relay"
)

const (
	// partitionTime is longer than the time to suspect all members plus the 6 s after which a suspect is declared dead.
	partitionTime = 20 * time.Second
	// inForceLimit is the required maximum time until a change is in force on all instances.
	inForceLimit = 12 * time.Second
	// benchmarkLimit is the timeout of each wait in benchmarks.
	benchmarkLimit = 5 * time.Minute
)

// runPartitionedDaemon runs a daemon that cannot reach the peers in the other half of the fleet while the partition file exists.
// The argument holds the settings file, the partition file and the loopback address of the other half.
func runPartitionedDaemon(ctx context.Context, argument string) {
	fields := strings.Fields(argument)
	peer.DialContext = relay.Blackhole(peer.DialContext, fields[2], func() bool {
		_, err := os.Stat(fields[1])
		return err == nil
	})
	runDaemon(ctx, fields[0])
}

// partitionedFleet is a fleet whose two halves can be partitioned from each other. The peer listeners of each half have their
// own loopback address. The second half never reaches the log.
type partitionedFleet struct {
	*testFleet
	partitionFile string
}

func newPartitionedFleet(t testing.TB, size int) *partitionedFleet {
	t.Helper()
	f := &partitionedFleet{testFleet: newTestFleet(t, size), partitionFile: filepath.Join(t.TempDir(), "cut")}
	firstHost, secondHost := processHost(0), processHost(1)
	var listed []logservice.ListedInstance
	for i, instance := range f.instances {
		address, otherHost := f.address, secondHost
		if i >= size/2 {
			address, otherHost = f.logDownAddress, firstHost
			instance.peer = strings.Replace(instance.peer, firstHost, secondHost, 1)
		}
		listed = append(listed, logservice.ListedInstance{
			ID: instance.id, PeerAddress: instance.peer, AdminAddress: instance.admin, State: logservice.ListedLive,
		})
		file := writeSettings(t, instance.id, address, []string{instance.caller, instance.admin, instance.peer})
		replaceInFile(t, file, "[peer]", "[log]\nlevel = \"error\"\n\n[peer]")
		instance.command = startProcess(t, strings.Join([]string{"partitioned-daemon", file, f.partitionFile, otherHost}, " "))
	}
	f.list.Set(listed)
	return f
}

func (f *partitionedFleet) partition() {
	f.t.Helper()
	if err := os.WriteFile(f.partitionFile, nil, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *partitionedFleet) heal() {
	f.t.Helper()
	if err := os.Remove(f.partitionFile); err != nil {
		f.t.Fatal(err)
	}
}

// hasMembers reports whether an instance has the given numbers of alive and dead members in its view.
func (f *testFleet) hasMembers(i, alive, dead int) bool {
	status := f.status(i)
	return status != nil && status.Members["alive"] == alive && status.Members["dead"] == dead
}

// requireAllWithin waits until check holds on every instance and returns the time that took. It fails the test if that takes
// longer than limit.
func requireAllWithin(f *testFleet, limit time.Duration, what string, check func(i int) bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for i := range f.instances {
		for !check(i) {
			if time.Since(started) > limit {
				f.t.Fatalf("waiting for %s on instance %d: timed out after %s; the status is %+v", what, i, limit, f.status(i))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// Guards against the halves of a fleet not rejoining in time after a network partition, and against a change that was
// published during the partition and stays in one half.
func TestPartitionHeals(t *testing.T) {
	const size = 8
	f := newPartitionedFleet(t, size)
	target := f.startTarget()
	f.awaitRevision(f.publish(fleetService("flightdesk", 1, target.Address())), f.allInstances()...)
	requireAllWithin(f.testFleet, time.Minute, "all members", func(i int) bool { return f.hasMembers(i, size, 0) })
	f.partition()
	requireAllWithin(f.testFleet, time.Minute, "half of the members", func(i int) bool { return f.hasMembers(i, size/2, size/2) })
	revision := f.publish(fleetService("flightdesk", 2, target.Address()))
	f.awaitRevision(revision, f.allInstances()[:size/2]...)
	for i := range f.allInstances()[size/2:] {
		if f.hasRevision(size/2+i, revision) {
			t.Fatalf("the change reached instance %d across the partition", size/2+i)
		}
	}
	f.heal()
	requireAllWithin(f.testFleet, inForceLimit, "the change and all members", func(i int) bool {
		return f.hasRevision(i, revision) && f.hasMembers(i, size, 0)
	})
}

// BenchmarkPartitionHeal measures the time from the end of a partition between two halves of a fleet until a change made in one
// half is in force on all instances, the time until all instances know all members, and the resource usage per instance.
func BenchmarkPartitionHeal(b *testing.B) {
	for _, size := range []int{20, 60} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			f := newPartitionedFleet(b, size)
			target := f.startTarget()
			f.awaitRevision(f.publish(fleetService("flightdesk", 1, target.Address())), f.allInstances()...)
			requireAllWithin(f.testFleet, benchmarkLimit, "all members", func(i int) bool { return f.hasMembers(i, size, 0) })
			f.partition()
			partitioned := time.Now()
			requireAllWithin(f.testFleet, benchmarkLimit, "half of the members", func(i int) bool { return f.hasMembers(i, size/2, size/2) })
			time.Sleep(time.Until(partitioned.Add(partitionTime)))
			revision := f.publish(fleetService("flightdesk", 2, target.Address()))
			f.awaitRevision(revision, f.allInstances()[:size/2]...)
			before := f.totalUsage(b)
			f.heal()
			healed := time.Now()
			requireAllWithin(f.testFleet, benchmarkLimit, "the change", func(i int) bool { return f.hasRevision(i, revision) })
			b.ReportMetric(time.Since(healed).Seconds(), "s-in-force")
			requireAllWithin(f.testFleet, benchmarkLimit, "all members", func(i int) bool { return f.hasMembers(i, size, 0) })
			b.ReportMetric(time.Since(healed).Seconds(), "s-all-members")
			f.reportMeanUsage(b, before)
		})
	}
}

// BenchmarkReplacement kills all instances at once and measures the time from the start of their replacements until all are
// ready with the projected configuration, and the resource usage per instance in the first 20 s.
func BenchmarkReplacement(b *testing.B) {
	for _, size := range []int{20, 60} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			f := newTestFleet(b, size)
			f.startAll()
			revision := logservice.Offset(0)
			for i := range projectedServices {
				revision = f.publish(projectedService(i, projectedTargets/projectedServices, 0))
			}
			requireAllWithin(f, benchmarkLimit, "the configuration", func(i int) bool { return f.hasRevision(i, revision) })
			for i := range f.instances {
				f.signal(i, syscall.SIGKILL)
			}
			for _, instance := range f.instances {
				_ = instance.command.Wait()
			}
			started := time.Now()
			f.startAll()
			requireAllWithin(f, benchmarkLimit, "readiness", func(i int) bool { return f.hasRevision(i, revision) && f.isReady(i) })
			b.ReportMetric(time.Since(started).Seconds(), "s-all-ready")
			requireAllWithin(f, benchmarkLimit, "all members", func(i int) bool { return f.hasMembers(i, size, 0) })
			b.ReportMetric(time.Since(started).Seconds(), "s-all-members")
			time.Sleep(time.Until(started.Add(sampleDuration)))
			f.reportMeanUsage(b, resourceUsage{})
		})
	}
}

// totalUsage returns the summed resource usage of all instances.
func (f *testFleet) totalUsage(b *testing.B) resourceUsage {
	b.Helper()
	var sum resourceUsage
	for _, instance := range f.instances {
		usage := readUsage(b, instance.command.Process.Pid)
		sum = resourceUsage{sum.cpu + usage.cpu, sum.read + usage.read, sum.written + usage.written, sum.residentBytes + usage.residentBytes, usage.at}
	}
	return sum
}

// reportMeanUsage reports the mean resource usage per instance since the sample before.
func (f *testFleet) reportMeanUsage(b *testing.B, before resourceUsage) {
	b.Helper()
	after, count := f.totalUsage(b), float64(len(f.instances))
	b.ReportMetric(float64((after.cpu-before.cpu).Milliseconds())/count, "ms-cpu/instance")
	b.ReportMetric(float64(after.written-before.written)/count, "B-written/instance")
	b.ReportMetric(float64(after.read-before.read)/count, "B-read/instance")
	b.ReportMetric(0, "ns/op")
}
