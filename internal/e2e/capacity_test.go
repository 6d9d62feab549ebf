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

// Size in two years.
const (
	futureServices = 130
	futureTargets  = 4600
)

// fleet is a platform and daemons of the shipped binary, one process each.
type fleet struct {
	log     *logservice.Client
	daemons []*exec.Cmd
	admin   []string
	callers []string
}

// startFleet runs count daemons with additions to their environment and waits until the platform answers.
func startFleet(b *testing.B, count int, environment ...string) *fleet {
	b.Helper()
	binary := buildDaemon(b)
	addresses := freeAddresses(b, 1+3*count)
	f := &fleet{log: logservice.NewClient(addresses[0])}
	role := "platform " + addresses[0]
	for i := range count {
		listen := addresses[1+3*i : 4+3*i]
		f.callers = append(f.callers, listen[0])
		f.admin = append(f.admin, listen[1])
		role += fmt.Sprintf(" i%d=%s=%s", i, listen[1], listen[2])
	}
	start(b, role)
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
		b.Fatalf("%v: %s", err, output)
	}
	return binary
}

// publish publishes services with targets spread evenly and waits until every instance has them in force.
func (f *fleet) publish(b *testing.B, services, targets int) *fleetState {
	b.Helper()
	state, err := client.ReadState(context.Background(), f.log)
	if err != nil {
		b.Fatal(err)
	}
	s := &fleetState{fleet: f, state: state}
	for i := range services {
		s.publishService(b, futureService(i, targets/services, 0))
	}
	s.awaitInForce(b)
	return s
}

// cost is what one daemon has spent since its start.
type cost struct {
	cpu           time.Duration
	read, written int64
	residentBytes int64
	at            time.Time
}

// clockTick is the unit of processor times in /proc, 10 ms on Linux.
const clockTick = 10 * time.Millisecond

func readCost(b *testing.B, pid int) cost {
	b.Helper()
	c := cost{at: time.Now()}
	fields := strings.Fields(readProc(b, pid, "stat"))
	user, _ := strconv.ParseInt(fields[13], 10, 64)
	system, _ := strconv.ParseInt(fields[14], 10, 64)
	c.cpu = time.Duration(user+system) * clockTick
	for line := range strings.Lines(readProc(b, pid, "io")) {
		_, _ = fmt.Sscanf(line, "rchar: %d", &c.read)
		_, _ = fmt.Sscanf(line, "wchar: %d", &c.written)
	}
	for line := range strings.Lines(readProc(b, pid, "status")) {
		var kib int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kib); n == 1 {
			c.residentBytes = kib << 10
		}
	}
	return c
}

func readProc(b *testing.B, pid int, name string) string {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}

// report reports the cost per second of the first daemon between two readings.
func report(b *testing.B, settled time.Duration, before, after cost) {
	b.Helper()
	seconds := after.at.Sub(before.at).Seconds()
	metric := func(value float64, unit string) { b.ReportMetric(value, settled.String()+":"+unit) }
	metric(100*(after.cpu-before.cpu).Seconds()/seconds, "%core")
	metric(float64(after.written-before.written)/seconds, "B-written/s")
	metric(float64(after.read-before.read)/seconds, "B-read/s")
	metric(float64(after.residentBytes)/(1<<20), "MiB-resident")
	b.ReportMetric(0, "ns/op")
}

// sampleTime is the length of a reading, and settleTime lets start-up work end before it.
const (
	settleTime = 5 * time.Second
	sampleTime = 20 * time.Second
)

// fleetSettleTimes are the times at which a fleet is read after the publish that follows its start. Instances open a
// connection to each other at the first exchange: 200 of them take 40 s to go once around, and up to 80 s until every
// pair has met.
var fleetSettleTimes = []time.Duration{settleTime, 45 * time.Second, 130 * time.Second}

// sample reads the first daemon at some times after now.
func (f *fleet) sample(b *testing.B, settleTimes ...time.Duration) {
	b.Helper()
	begun := time.Now()
	for _, settled := range settleTimes {
		time.Sleep(time.Until(begun.Add(settled)))
		before := readCost(b, f.daemons[0].Process.Pid)
		time.Sleep(sampleTime)
		report(b, settled, before, readCost(b, f.daemons[0].Process.Pid))
	}
}

// BenchmarkControlCostByPeers measures the control cost of one daemon with the configuration of the two-year size and
// no calls, for a growing fleet and some times after its start.
func BenchmarkControlCostByPeers(b *testing.B) {
	for _, peers := range []int{4, 20, 60, 200} {
		b.Run(fmt.Sprintf("instances=%d", peers), func(b *testing.B) {
			f := startFleet(b, peers)
			f.publish(b, futureServices, futureTargets)
			f.sample(b, fleetSettleTimes...)
		})
	}
}

// BenchmarkControlCostByServices measures the memory and idle cost of one daemon for a growing configuration.
func BenchmarkControlCostByServices(b *testing.B) {
	for _, services := range []int{1, 10, 50, 130} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			f := startFleet(b, 1)
			f.publish(b, services, services*futureTargets/futureServices)
			f.sample(b, settleTime)
		})
	}
}

// BenchmarkConfigurationChanges measures the cost of changes at 10 a second, and how long a change takes to be in force
// on 20 instances with the configuration of the two-year size. The cost of a change above that of rest leaves out the
// questions for the status, which the second hundred of changes includes.
func BenchmarkConfigurationChanges(b *testing.B) {
	f := startFleet(b, 20)
	s := f.publish(b, futureServices, futureTargets)
	const changes, pause = 100, 100 * time.Millisecond
	time.Sleep(settleTime)
	rest := readCost(b, f.daemons[0].Process.Pid)
	time.Sleep(changes * pause)
	burst := readCost(b, f.daemons[0].Process.Pid)
	for i := range changes {
		s.publishService(b, futureService(i%futureServices, futureTargets/futureServices, changes+i+1))
		time.Sleep(time.Until(burst.at.Add(time.Duration(i+1) * pause)))
	}
	before := readCost(b, f.daemons[0].Process.Pid)
	s.awaitInForce(b)
	b.ReportMetric(100*float64(burst.cpu-rest.cpu)/float64(burst.at.Sub(rest.at)), "%core-rest")
	b.ReportMetric(100*float64(before.cpu-burst.cpu)/float64(before.at.Sub(burst.at)), "%core-burst")
	b.ReportMetric(float64((before.cpu-burst.cpu-(burst.cpu-rest.cpu)).Microseconds())/changes, "µs-cpu-above-rest/change")
	before = readCost(b, f.daemons[0].Process.Pid)
	var slowest time.Duration
	for i := range changes {
		begun := time.Now()
		s.publishService(b, futureService(i%futureServices, futureTargets/futureServices, i+1))
		s.awaitInForce(b)
		slowest = max(slowest, time.Since(begun))
		time.Sleep(pause - min(pause, time.Since(begun)))
	}
	after := readCost(b, f.daemons[0].Process.Pid)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/changes, "µs-cpu/change")
	b.ReportMetric(float64(after.read-before.read)/changes, "B-read/change")
	b.ReportMetric(float64(after.written-before.written)/changes, "B-written/change")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest-in-force")
	b.ReportMetric(0, "ns/op")
}

// fleetState publishes changes on top of the state that it follows.
type fleetState struct {
	*fleet
	state *intent.State
}

func (s *fleetState) publishService(b *testing.B, service operator.Service) {
	b.Helper()
	if _, err := client.Publish(context.Background(), s.log, s.state, "capacity", service); err != nil {
		b.Fatal(err)
	}
}

func (s *fleetState) awaitInForce(b *testing.B) {
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

func futureService(index, targets, version int) operator.Service {
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

// BenchmarkCallCost measures the processor time of one daemon for each call, with all processors and with two.
// BenchmarkAddedLatency measures the latency.
func BenchmarkCallCost(b *testing.B) {
	for _, processors := range []int{runtime.NumCPU(), 2} {
		for _, rate := range []float64{500, 1000, 2000, 4000} {
			b.Run(fmt.Sprintf("processors=%d/calls=%g", processors, rate), func(b *testing.B) {
				f := startFleet(b, 1, fmt.Sprintf("GOMAXPROCS=%d", processors))
				targets := freeAddresses(b, 4)
				for _, address := range targets {
					start(b, "target "+address)
				}
				publishFlightdesk(b, f.log, targets)
				testwait.Until(b, "a served request", func() bool {
					status, _, err := get(f.callers[0], "/flightdesk/slots", "first")
					return err == nil && status == http.StatusOK
				})
				before := readCost(b, f.daemons[0].Process.Pid)
				through := runTogether(b, rate, "http://"+f.callers[0]+"/flightdesk/slots")[0]
				after := readCost(b, f.daemons[0].Process.Pid)
				b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(through.Sent), "µs-cpu/call")
				b.ReportMetric(float64(through.Sent-through.Answered), "not-answered")
				b.ReportMetric(float64(after.residentBytes)/(1<<20), "MiB-resident")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
