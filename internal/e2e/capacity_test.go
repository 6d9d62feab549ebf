package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// Size of the configuration that is expected in two years.
const (
	projectedServices = 130
	projectedTargets  = 4600
)

// daemonFleet is a platform and a set of daemons. Each daemon is a process of the basillinkd binary.
type daemonFleet struct {
	log     *logservice.Client
	daemons []*exec.Cmd
	admin   []string
	callers []string
}

// startDaemonFleet starts a platform and count daemons, adds variables to the daemons' environment, and waits until the platform
// answers.
func startDaemonFleet(b *testing.B, count int, environment ...string) *daemonFleet {
	b.Helper()
	binary := buildDaemon(b)
	addresses := freeAddresses(b, 1+3*count)
	f := &daemonFleet{log: logservice.NewClient(addresses[0])}
	role := "platform " + addresses[0]
	for i := range count {
		listen := addresses[1+3*i : 4+3*i]
		f.callers = append(f.callers, listen[0])
		f.admin = append(f.admin, listen[1])
		role += fmt.Sprintf(" i%d=%s=%s", i, listen[1], listen[2])
	}
	startProcess(b, role)
	for i := range count {
		listen := addresses[1+3*i : 4+3*i]
		file := writeSettings(b, "i"+strconv.Itoa(i), addresses[0], listen)
		command := exec.Command(binary, "run", "-settings", file)
		command.Env = append(os.Environ(), environment...)
		f.daemons = append(f.daemons, startCommand(b, command))
	}
	testwait.Until(b, "a reachable platform", func() bool {
		_, err := client.ReadState(context.Background(), f.log)
		return err == nil
	})
	return f
}

func buildDaemon(b *testing.B) string {
	b.Helper()
	binary := filepath.Join(b.TempDir(), "basillinkd")
	command := exec.Command("go", "build", "-o", binary, "github.com/basillink/basillink/cmd/basillinkd")
	if output, err := command.CombinedOutput(); err != nil {
		b.Fatalf("building basillinkd: %v: %s", err, output)
	}
	return binary
}

// publish publishes services over which the targets are evenly spread, and waits until they are in force on all instances.
func (f *daemonFleet) publish(b *testing.B, services, targets int) *fleetPublisher {
	b.Helper()
	state, err := client.ReadState(context.Background(), f.log)
	if err != nil {
		b.Fatal(err)
	}
	s := &fleetPublisher{daemonFleet: f, state: state}
	for i := range services {
		s.publishService(b, projectedService(i, targets/services, 0))
	}
	s.awaitInForce(b)
	return s
}

// resourceUsage is the resource usage of a daemon since its start, as read from /proc at time at.
type resourceUsage struct {
	cpu           time.Duration
	read, written int64
	residentBytes int64
	at            time.Time
}

// clockTick is the unit of the processor times in /proc/PID/stat, 10 ms on Linux.
const clockTick = 10 * time.Millisecond

func readUsage(b *testing.B, pid int) resourceUsage {
	b.Helper()
	usage := resourceUsage{at: time.Now()}
	fields := strings.Fields(readProcFile(b, pid, "stat"))
	user, _ := strconv.ParseInt(fields[13], 10, 64)
	system, _ := strconv.ParseInt(fields[14], 10, 64)
	usage.cpu = time.Duration(user+system) * clockTick
	for line := range strings.Lines(readProcFile(b, pid, "io")) {
		_, _ = fmt.Sscanf(line, "rchar: %d", &usage.read)
		_, _ = fmt.Sscanf(line, "wchar: %d", &usage.written)
	}
	for line := range strings.Lines(readProcFile(b, pid, "status")) {
		var kib int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kib); n == 1 {
			usage.residentBytes = kib << 10
		}
	}
	return usage
}

func readProcFile(b *testing.B, pid int, name string) string {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}

// reportUsage reports the resource usage per second between two samples. The metric names begin with the delay of the first
// sample.
func reportUsage(b *testing.B, delay time.Duration, before, after resourceUsage) {
	b.Helper()
	seconds := after.at.Sub(before.at).Seconds()
	metric := func(value float64, unit string) { b.ReportMetric(value, delay.String()+":"+unit) }
	metric(100*(after.cpu-before.cpu).Seconds()/seconds, "%core")
	metric(float64(after.written-before.written)/seconds, "B-written/s")
	metric(float64(after.read-before.read)/seconds, "B-read/s")
	metric(float64(after.residentBytes)/(1<<20), "MiB-resident")
	b.ReportMetric(0, "ns/op")
}

// startupDelay is the wait before a sample so that start-up work does not count; sampleDuration is the length of a sample.
const (
	startupDelay   = 5 * time.Second
	sampleDuration = 20 * time.Second
)

// fleetSampleDelays are the times between the publish that follows the start of a fleet and the samples. Instances open a
// connection to each other at their first exchange. With 200 instances, each takes 40 s to contact all others once, and it
// takes up to 80 s until every pair is connected.
var fleetSampleDelays = []time.Duration{startupDelay, 45 * time.Second, 130 * time.Second}

// sample reports the resource usage of the first daemon during sampleDuration after each of the delays.
func (f *daemonFleet) sample(b *testing.B, delays ...time.Duration) {
	b.Helper()
	started := time.Now()
	for _, delay := range delays {
		time.Sleep(time.Until(started.Add(delay)))
		before := readUsage(b, f.daemons[0].Process.Pid)
		time.Sleep(sampleDuration)
		reportUsage(b, delay, before, readUsage(b, f.daemons[0].Process.Pid))
	}
}

// BenchmarkControlCostByPeers measures the resource usage of one daemon with the projected configuration and no requests, for
// several fleet sizes and delays after the start.
func BenchmarkControlCostByPeers(b *testing.B) {
	for _, peers := range []int{4, 20, 60, 200} {
		b.Run(fmt.Sprintf("instances=%d", peers), func(b *testing.B) {
			f := startDaemonFleet(b, peers)
			f.publish(b, projectedServices, projectedTargets)
			f.sample(b, fleetSampleDelays...)
		})
	}
}

// BenchmarkControlCostByServices measures the resource usage of one daemon without requests, for several configuration sizes.
func BenchmarkControlCostByServices(b *testing.B) {
	for _, services := range []int{1, 10, 50, 130} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			f := startDaemonFleet(b, 1)
			f.publish(b, services, services*projectedTargets/projectedServices)
			f.sample(b, startupDelay)
		})
	}
}

// BenchmarkConfigurationChanges measures the resource usage of 10 changes per second and the time until a change is in force on
// 20 instances, with the projected configuration. The usage above idle is measured over the first 100 changes, during which
// the status of the instances is not queried; the usage of the second 100 changes includes those queries.
func BenchmarkConfigurationChanges(b *testing.B) {
	f := startDaemonFleet(b, 20)
	s := f.publish(b, projectedServices, projectedTargets)
	const changes, interval = 100, 100 * time.Millisecond
	time.Sleep(startupDelay)
	idleStart := readUsage(b, f.daemons[0].Process.Pid)
	time.Sleep(changes * interval)
	burstStart := readUsage(b, f.daemons[0].Process.Pid)
	for i := range changes {
		s.publishService(b, projectedService(i%projectedServices, projectedTargets/projectedServices, changes+i+1))
		time.Sleep(time.Until(burstStart.at.Add(time.Duration(i+1) * interval)))
	}
	before := readUsage(b, f.daemons[0].Process.Pid)
	s.awaitInForce(b)
	b.ReportMetric(100*float64(burstStart.cpu-idleStart.cpu)/float64(burstStart.at.Sub(idleStart.at)), "%core-rest")
	b.ReportMetric(100*float64(before.cpu-burstStart.cpu)/float64(before.at.Sub(burstStart.at)), "%core-burst")
	b.ReportMetric(float64((before.cpu-burstStart.cpu-(burstStart.cpu-idleStart.cpu)).Microseconds())/changes, "µs-cpu-above-rest/change")
	before = readUsage(b, f.daemons[0].Process.Pid)
	var slowest time.Duration
	for i := range changes {
		started := time.Now()
		s.publishService(b, projectedService(i%projectedServices, projectedTargets/projectedServices, i+1))
		s.awaitInForce(b)
		slowest = max(slowest, time.Since(started))
		time.Sleep(interval - min(interval, time.Since(started)))
	}
	after := readUsage(b, f.daemons[0].Process.Pid)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/changes, "µs-cpu/change")
	b.ReportMetric(float64(after.read-before.read)/changes, "B-read/change")
	b.ReportMetric(float64(after.written-before.written)/changes, "B-written/change")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest-in-force")
	b.ReportMetric(0, "ns/op")
}

// fleetPublisher publishes changes to a fleet and keeps the state that results from them.
type fleetPublisher struct {
	*daemonFleet
	state *intent.State
}

func (s *fleetPublisher) publishService(b *testing.B, service operator.Service) {
	b.Helper()
	if _, err := client.Publish(context.Background(), s.log, s.state, "capacity", service); err != nil {
		b.Fatal(err)
	}
}

func (s *fleetPublisher) awaitInForce(b *testing.B) {
	b.Helper()
	testwait.Until(b, "the revision in force on all instances", func() bool {
		for _, address := range s.admin {
			status, err := client.Status(context.Background(), address)
			if err != nil || status.Revision < s.state.Revision {
				return false
			}
		}
		return true
	})
}

func projectedService(index, targets, version int) operator.Service {
	service := operator.Service{
		Name:      fmt.Sprintf("service-%03d", index),
		Region:    "region-1",
		Zones:     []string{"zone-a", "zone-b"},
		Measuring: operator.Measuring{ProbesPerSecond: 100, BytesPerSecond: 40_000, ProbesPerRequest: 0.25},
		Classes: []operator.Class{
			{Name: "booking", Methods: []string{"POST"}, Priority: 9, TimeoutMS: 2000 + version},
			{Name: "lookup", Methods: []string{"GET"}, Repeatable: true, Priority: 5},
		},
	}
	for i := range targets {
		service.Targets = append(service.Targets, operator.Target{
			Address: fmt.Sprintf("127.%d.%d.%d:9000", 1+index, i/250, 1+i%250),
			Zone:    service.Zones[i%2],
		})
	}
	service.Provision()
	return service
}

// BenchmarkCallCost measures the processor time per call of one daemon, with all processors and with two.
// BenchmarkAddedLatency measures the latency.
func BenchmarkCallCost(b *testing.B) {
	for _, processors := range []int{runtime.NumCPU(), 2} {
		for _, rate := range []float64{500, 1000, 2000, 4000} {
			b.Run(fmt.Sprintf("processors=%d/calls=%g", processors, rate), func(b *testing.B) {
				f := startDaemonFleet(b, 1, fmt.Sprintf("GOMAXPROCS=%d", processors))
				targets := freeAddresses(b, 4)
				for _, address := range targets {
					startProcess(b, "target "+address)
				}
				publishFlightdesk(b, f.log, targets)
				testwait.Until(b, "a served request", func() bool {
					status, _, err := get(f.callers[0], "/flightdesk/slots", "first")
					return err == nil && status == http.StatusOK
				})
				before := readUsage(b, f.daemons[0].Process.Pid)
				through := runConcurrently(b, rate, "http://"+f.callers[0]+"/flightdesk/slots")[0]
				after := readUsage(b, f.daemons[0].Process.Pid)
				b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(through.Sent), "µs-cpu/call")
				b.ReportMetric(float64(through.Sent-through.Answered), "not-answered")
				b.ReportMetric(float64(after.residentBytes)/(1<<20), "MiB-resident")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
