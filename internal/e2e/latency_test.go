package e2e

import (
	"context"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/load"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
)

// BenchmarkAddedLatency sends 2,000 calls/s directly to one target and at the same time 2,000 calls/s through one instance to
// another target, all in separate processes, and reports the differences between the latency percentiles. The required
// maximum is 700 µs at p99.
func BenchmarkAddedLatency(b *testing.B) {
	addresses := freeAddresses(b, 6)
	platformAddress, direct, behind, listen := addresses[0], addresses[1], addresses[2], addresses[3:6]
	startProcess(b, "platform "+platformAddress)
	startProcess(b, "target "+direct)
	startProcess(b, "target "+behind)
	startCommand(b, exec.Command(buildDaemon(b), "run", "-settings", writeSettings(b, "i1", platformAddress, listen)))
	publishFlightdesk(b, logservice.NewClient(platformAddress), []string{behind})
	testwait.Until(b, "a served request", func() bool {
		status, _, err := get(listen[0], "/flightdesk/slots", "warm")
		return err == nil && status == http.StatusOK
	})
	for b.Loop() {
		reports := runConcurrently(b, 2000, "http://"+direct+"/slots", "http://"+listen[0]+"/flightdesk/slots")
		reportAddedLatency(b, reports[0], reports[1])
	}
}

// runConcurrently sends load to all URLs at the same time for 20 s, each at the given rate in calls/s, and returns a report for
// each URL.
func runConcurrently(b *testing.B, rate float64, urls ...string) []*load.Report {
	reports := make([]*load.Report, len(urls))
	var group sync.WaitGroup
	for i, url := range urls {
		plan := &load.Plan{
			URL: url, Method: http.MethodGet, IDHeader: standin.TokenHeader, Rate: rate, Arrival: load.Poisson,
			Duration: 20 * time.Second, Connections: 64, Timeout: time.Second, Seed: uint64(i + 1),
		}
		if err := plan.Validate(); err != nil {
			b.Fatal(err)
		}
		caller, finish, err := load.NewCaller(plan)
		if err != nil {
			b.Fatal(err)
		}
		group.Go(func() {
			defer finish()
			reports[i] = load.Run(context.Background(), plan, caller, func(load.Totals) {})
		})
	}
	group.Wait()
	return reports
}

func reportAddedLatency(b *testing.B, direct, through *load.Report) {
	for _, r := range []*load.Report{direct, through} {
		if r.Answered != r.Sent {
			b.Errorf("%d of %d calls were answered: %v", r.Answered, r.Sent, r.Causes)
		}
	}
	d, t := direct.ServiceTime, through.ServiceTime
	b.ReportMetric(float64(d.P50), "direct-p50-us")
	b.ReportMetric(float64(d.P99), "direct-p99-us")
	b.ReportMetric(float64(d.P999), "direct-p99.9-us")
	b.ReportMetric(float64(t.P50-d.P50), "added-p50-us")
	b.ReportMetric(float64(t.P90-d.P90), "added-p90-us")
	b.ReportMetric(float64(t.P99-d.P99), "added-p99-us")
	b.ReportMetric(float64(t.P999-d.P999), "added-p99.9-us")
}
