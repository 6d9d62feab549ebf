package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/daemon"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/operator"
)

// startBookingBenchmark starts two instances and a target in this process, so that their allocations can be counted. It returns
// the target and the caller addresses of the instances.
func startBookingBenchmark(b *testing.B) (target *standin.Target, callers []string) {
	b.Helper()
	f := newTestFleet(b, 2)
	target = f.startTarget()
	for _, instance := range f.instances {
		s, err := settings.Load(writeSettings(b, instance.id, f.address, []string{instance.caller, instance.admin, instance.peer}))
		if err != nil {
			b.Fatal(err)
		}
		d, err := daemon.New(s, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		b.Cleanup(stop)
		go func() { _ = d.Run(ctx) }()
		callers = append(callers, instance.caller)
	}
	for _, name := range []string{"plain", "banco-app"} {
		f.awaitRevision(f.publish(operator.Service{
			Name: name, Region: "nord-italia", Zones: []string{"padova-a"},
			Classes: []operator.Class{{Name: "all", Repeatable: name == "plain"}},
			Targets: []operator.Target{{Address: target.Address(), Zone: "padova-a"}},
		}), f.allInstances()...)
	}
	(&bookingFleet{callers: callers}).awaitForwarding(b)
	return target, callers
}

// benchCaller is a caller that sends bookings on one connection.
type benchCaller struct {
	conn    net.Conn
	reader  *bufio.Reader
	service string
	// issuer fetches the tickets from another instance. If it is nil, each booking uses the ticket in the previous answer.
	issuer *benchCaller
	ticket string
}

func newBenchCaller(b *testing.B, address, service string, issuer *benchCaller) *benchCaller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return &benchCaller{conn: conn, reader: bufio.NewReader(conn), service: service, issuer: issuer}
}

// exchange sends a request, with the current ticket if it is a booking, and keeps the ticket in the answer for the next one.
func (c *benchCaller) exchange(b *testing.B, method, path string) {
	request := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n", method, path)
	if c.ticket != "" && method == http.MethodPost {
		request = fmt.Appendf(request, "%s: %s\r\n", header.Ticket, c.ticket)
	}
	request = append(request, "\r\npacks=2"...)
	if _, err := c.conn.Write(request); err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("%s: status %d, reason %s", c.service, response.StatusCode, response.Header.Get(header.Reason))
	}
	c.ticket = response.Header.Get(header.NextTicket)
}

// timeBooking sends a booking and returns the time until its answer, without the time to fetch a ticket from the issuer.
func (c *benchCaller) timeBooking(b *testing.B) time.Duration {
	if c.issuer != nil {
		c.issuer.exchange(b, http.MethodGet, "/.basillink/ticket")
		c.ticket = c.issuer.ticket
	}
	started := time.Now()
	c.exchange(b, http.MethodPost, "/"+c.service+"/pickups")
	return time.Since(started)
}

// BenchmarkAtMostOnce compares bookings without a ticket, bookings with a ticket of the instance that receives them, and bookings
// with a ticket of another instance, in alternating blocks. The allocations are those of the whole process: caller, instances
// and target.
func BenchmarkAtMostOnce(b *testing.B) {
	const block = 50
	target, callers := startBookingBenchmark(b)
	issuer := newBenchCaller(b, callers[0], "banco-app", nil)
	kinds := []struct {
		name   string
		caller *benchCaller
	}{
		{"plain", newBenchCaller(b, callers[0], "plain", nil)},
		{"once", newBenchCaller(b, callers[0], "banco-app", nil)},
		{"forwarded", newBenchCaller(b, callers[1], "banco-app", issuer)},
	}
	kinds[1].caller.ticket = issueTicket(callers[0])
	times := make([][]time.Duration, len(kinds))
	allocations, executionCounts := make([]uint64, len(kinds)), make([]int, len(kinds))
	for b.Loop() {
		for k, kind := range kinds {
			mallocsBefore, executionsBefore := mallocCount(), target.Executions()[""]
			for range block {
				times[k] = append(times[k], kind.caller.timeBooking(b))
			}
			allocations[k] += mallocCount() - mallocsBefore
			executionCounts[k] += target.Executions()[""] - executionsBefore
		}
	}
	for k, kind := range kinds {
		slices.Sort(times[k])
		n := len(times[k])
		b.ReportMetric(float64(times[k][n/2].Microseconds()), kind.name+"-p50-us")
		b.ReportMetric(float64(times[k][n*99/100].Microseconds()), kind.name+"-p99-us")
		b.ReportMetric(float64(allocations[k])/float64(n), kind.name+"-allocs")
		b.ReportMetric(float64(executionCounts[k])/float64(n), kind.name+"-executions")
	}
}

func mallocCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
