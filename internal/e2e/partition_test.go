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
	// cutTime is longer than the 6 s after which a suspect is declared dead, plus the time to suspect all members.
	cutTime = 20 * time.Second
	// inForceLimit is the stated time until a change is in force everywhere.
	inForceLimit = 12 * time.Second
	// reunionLimit bounds the wait for a reunion in benchmarks.
	reunionLimit = 5 * time.Minute
)

// runDividedDaemon runs a daemon that loses the peers of the other half while a file exists. The argument holds the
// settings, that file and the address of the other half.
func runDividedDaemon(ctx context.Context, argument string) {
	fields := strings.Fields(argument)
	peer.DialContext = relay.Blackhole(peer.DialContext, fields[2], func() bool {
		_, err := os.Stat(fields[1])
		return err == nil
	})
	runDaemon(ctx, fields[0])
}

// dividedFleet is a fleet whose halves can lose each other. Their peer listeners differ in their address. The second half
// never reaches the log.
type dividedFleet struct {
	*testFleet
	cutFile string
}

func newDividedFleet(t testing.TB, size int) *dividedFleet {
	t.Helper()
	f := &dividedFleet{testFleet: newTestFleet(t, size), cutFile: filepath.Join(t.TempDir(), "cut")}
	oneHalf, otherHalf := processHost(0), processHost(1)
	var listed []logservice.ListedInstance
	for i, n := range f.instances {
		address, other := f.address, otherHalf
		if i >= size/2 {
			address, other = f.cutAddress, oneHalf
			n.peer = strings.Replace(n.peer, oneHalf, otherHalf, 1)
		}
		listed = append(listed, logservice.ListedInstance{
			ID: n.id, PeerAddress: n.peer, AdminAddress: n.admin, State: logservice.ListedLive,
		})
		file := writeSettings(t, n.id, address, []string{n.caller, n.admin, n.peer})
		replaceInFile(t, file, "[peer]", "[log]\nlevel = \"error\"\n\n[peer]")
		n.command = start(t, strings.Join([]string{"divided-daemon", file, f.cutFile, other}, " "))
	}
	f.list.Set(listed)
	return f
}

func (f *dividedFleet) cut() {
	f.t.Helper()
	if err := os.WriteFile(f.cutFile, nil, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *dividedFleet) reconnect() {
	f.t.Helper()
	if err := os.Remove(f.cutFile); err != nil {
		f.t.Fatal(err)
	}
}

// members reports whether an instance knows that many members as alive and as dead.
func (f *testFleet) members(i, alive, dead int) bool {
	status := f.status(i)
	return status != nil && status.Members["alive"] == alive && status.Members["dead"] == dead
}

// within returns the time until check holds on every instance, or fails.
func within(f *testFleet, limit time.Duration, what string, check func(i int) bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for i := range f.instances {
		for !check(i) {
			if time.Since(started) > limit {
				f.t.Fatalf("%s: not on instance %d within %s: %+v", what, i, limit, f.status(i))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// Guards against halves of a fleet that lost each other and don't meet again in time, and against a change that stays
// on one side.
func TestHalvesReunite(t *testing.T) {
	const size = 8
	f := newDividedFleet(t, size)
	target := f.target()
	f.allAt(f.publish(fleetService("flightdesk", 1, target.Address())), f.all()...)
	within(f.testFleet, time.Minute, "all members", func(i int) bool { return f.members(i, size, 0) })
	f.cut()
	within(f.testFleet, time.Minute, "half of the members", func(i int) bool { return f.members(i, size/2, size/2) })
	revision := f.publish(fleetService("flightdesk", 2, target.Address()))
	f.allAt(revision, f.all()[:size/2]...)
	for i := range f.all()[size/2:] {
		if f.at(size/2+i, revision) {
			t.Fatalf("the change reached instance %d across the cut", size/2+i)
		}
	}
	f.reconnect()
	within(f.testFleet, inForceLimit, "change and all members", func(i int) bool {
		return f.at(i, revision) && f.members(i, size, 0)
	})
}

// BenchmarkReunion measures the time from the end of a cut between two halves of a fleet until a change of one side is
// in force on all instances and until all know all members, and what that costs an instance.
func BenchmarkReunion(b *testing.B) {
	for _, size := range []int{20, 60} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			f := newDividedFleet(b, size)
			target := f.target()
			f.allAt(f.publish(fleetService("flightdesk", 1, target.Address())), f.all()...)
			within(f.testFleet, reunionLimit, "all members", func(i int) bool { return f.members(i, size, 0) })
			f.cut()
			cut := time.Now()
			within(f.testFleet, reunionLimit, "half of the members", func(i int) bool { return f.members(i, size/2, size/2) })
			time.Sleep(time.Until(cut.Add(cutTime)))
			revision := f.publish(fleetService("flightdesk", 2, target.Address()))
			f.allAt(revision, f.all()[:size/2]...)
			before := f.cost(b)
			f.reconnect()
			reconnected := time.Now()
			within(f.testFleet, reunionLimit, "the change", func(i int) bool { return f.at(i, revision) })
			b.ReportMetric(time.Since(reconnected).Seconds(), "s-in-force")
			within(f.testFleet, reunionLimit, "all members", func(i int) bool { return f.members(i, size, 0) })
			b.ReportMetric(time.Since(reconnected).Seconds(), "s-all-members")
			f.reportMean(b, before)
		})
	}
}

// BenchmarkReplacement measures the time from the end of all instances at once until their successors are all ready
// with the configuration of the two-year size, and what the first 20 s cost an instance.
func BenchmarkReplacement(b *testing.B) {
	for _, size := range []int{20, 60} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			f := newTestFleet(b, size)
			f.startAll()
			revision := logservice.Offset(0)
			for i := range futureServices {
				revision = f.publish(futureService(i, futureTargets/futureServices, 0))
			}
			within(f, reunionLimit, "the configuration", func(i int) bool { return f.at(i, revision) })
			for i := range f.instances {
				f.signal(i, syscall.SIGKILL)
			}
			for _, n := range f.instances {
				_ = n.command.Wait()
			}
			started := time.Now()
			f.startAll()
			within(f, reunionLimit, "ready", func(i int) bool { return f.at(i, revision) && f.ready(i) })
			b.ReportMetric(time.Since(started).Seconds(), "s-all-ready")
			within(f, reunionLimit, "all members", func(i int) bool { return f.members(i, size, 0) })
			b.ReportMetric(time.Since(started).Seconds(), "s-all-members")
			time.Sleep(time.Until(started.Add(sampleTime)))
			f.reportMean(b, cost{})
		})
	}
}

// cost returns the sum of the costs of all instances.
func (f *testFleet) cost(b *testing.B) cost {
	b.Helper()
	var sum cost
	for _, n := range f.instances {
		one := readCost(b, n.command.Process.Pid)
		sum = cost{sum.cpu + one.cpu, sum.read + one.read, sum.written + one.written, sum.residentBytes + one.residentBytes, one.at}
	}
	return sum
}

// reportMean reports the cost of an instance since a reading.
func (f *testFleet) reportMean(b *testing.B, before cost) {
	b.Helper()
	after, count := f.cost(b), float64(len(f.instances))
	b.ReportMetric(float64((after.cpu-before.cpu).Milliseconds())/count, "ms-cpu/instance")
	b.ReportMetric(float64(after.written-before.written)/count, "B-written/instance")
	b.ReportMetric(float64(after.read-before.read)/count, "B-read/instance")
	b.ReportMetric(0, "ns/op")
}
