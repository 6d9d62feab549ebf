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

// BenchmarkAddedLatency sends 2,000 calls/s to a target and 2,000 calls/s through one instance to another target at the
// same time, in processes of their own, and reports the differences of the percentiles. The stated target is 700 us at
// p99.
func BenchmarkAddedLatency(b *testing.B) {
	addresses := freeAddresses(b, 6)
	platformAddress, direct, behind, listen := addresses[0], addresses[1], addresses[2], addresses[3:6]
	start(b, "platform "+platformAddress)
	start(b, "target "+direct)
	start(b, "target "+behind)
	startCommand(b, exec.Command(buildDaemon(b), "run", "-settings", writeSettings(b, "i1", platformAddress, listen)))
	publishFlightdesk(b, logservice.NewClient(platformAddress), []string{behind})
	testwait.Until(b, "an answer", func() bool {
		status, _, err := get(listen[0], "/flightdesk/slots", "warm")
		return err == nil && status == http.StatusOK
	})
	for b.Loop() {
		reports := runTogether(b, 2000, "http://"+direct+"/slots", "http://"+listen[0]+"/flightdesk/slots")
		reportAdded(b, reports[0], reports[1])
	}
}

// runTogether runs a plan with a rate in calls/s for each URL at the same time.
func runTogether(b *testing.B, rate float64, urls ...string) []*load.Report {
	reports := make([]*load.Report, len(urls))
	var running sync.WaitGroup
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
		running.Go(func() {
			defer finish()
			reports[i] = load.Run(context.Background(), plan, caller, func(load.Totals) {})
		})
	}
	running.Wait()
	return reports
}

func reportAdded(b *testing.B, direct, through *load.Report) {
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
