package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/ticket"
	"github.com/basillink/basillink/operator"
)

// tableFillers is the number of concurrent callers that fill the ticket table.
const tableFillers = 16

// BenchmarkFullTicketTable measures the resident memory of one daemon with the projected configuration while bookings fill its
// ticket table, until one is refused because the table is full. Stored answers of 512 B fill the table's 32 MB with 65,536
// entries, those of 16 KB with 2,048. The table must be full before the first ticket expires.
func BenchmarkFullTicketTable(b *testing.B) {
	for _, bytes := range []int{0, 200, 16_000} {
		b.Run(fmt.Sprintf("body=%d", bytes), func(b *testing.B) {
			f := startDaemonFleet(b, 1)
			target := freeAddresses(b, 1)[0]
			startProcess(b, "target "+target)
			s := f.publish(b, projectedServices, projectedTargets)
			s.publishService(b, operator.Service{
				Name: "banco-app", Region: "region-1", Zones: []string{"zone-a"}, MaxInstances: 1, SlotsPerTarget: tableFillers,
				Classes: []operator.Class{{Name: "booking", Methods: []string{"POST"}, TimeoutMS: 5000}},
				Targets: []operator.Target{{Address: target, Zone: "zone-a"}},
			})
			s.awaitInForce(b)
			time.Sleep(startupDelay)
			before := readUsage(b, f.daemons[0].Process.Pid)
			started := time.Now()
			operations := f.fillTable(b, bytes)
			fillTime := time.Since(started)
			full := readUsage(b, f.daemons[0].Process.Pid)
			time.Sleep(sampleDuration)
			after := readUsage(b, f.daemons[0].Process.Pid)
			b.ReportMetric(float64(operations), "operations")
			b.ReportMetric(fillTime.Seconds(), "s-to-fill")
			b.ReportMetric(float64(before.residentBytes)/(1<<20), "MiB-before")
			b.ReportMetric(float64(full.residentBytes)/(1<<20), "MiB-full")
			b.ReportMetric(float64(after.residentBytes)/(1<<20), "MiB-20s-later")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// fillTable sends bookings until the ticket table is full and returns the number of operations that ran.
func (f *daemonFleet) fillTable(b *testing.B, bytes int) int64 {
	b.Helper()
	var operations atomic.Int64
	var wait sync.WaitGroup
	for i := range tableFillers {
		wait.Go(func() {
			next := issueTicket(f.callers[0])
			for n := 0; ; n++ {
				var outcome, reasonName string
				outcome, reasonName, next = f.bookNext(fmt.Sprint(i, "-", n), next, bytes)
				// When a full table refuses a ticket, it closes all older tickets of the other callers.
				if reasonName == reason.TicketTableFull.Name || reasonName == reason.TicketClosed.Name {
					return
				}
				if outcome != string(reason.Done) || n > ticket.DefaultLimits().Entries {
					b.Errorf("booking %d of caller %d: outcome %q, reason %q", n, i, outcome, reasonName)
					return
				}
				operations.Add(1)
			}
		})
	}
	wait.Wait()
	return operations.Load()
}

// bookNext sends a booking and returns its outcome, its reason or the error text, and the ticket for the next booking. If bytes
// is positive, the answer has that many bytes.
func (f *daemonFleet) bookNext(token, ticket string, bytes int) (outcome, reasonName, next string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[0]+"/banco-app/pickups", strings.NewReader("packs=2"))
	if err != nil {
		return "", err.Error(), ""
	}
	request.Header.Set(standin.TokenHeader, token)
	request.Header.Set(header.Ticket, ticket)
	if bytes > 0 {
		request.Header.Set(standin.BytesHeader, fmt.Sprint(bytes))
	}
	response, err := bookingClient.Do(request)
	if err != nil {
		return "", err.Error(), ""
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", err.Error(), ""
	}
	h := response.Header
	return h.Get(header.Outcome), h.Get(header.Reason), h.Get(header.NextTicket)
}

var bookingClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: tableFillers}, Timeout: 10 * time.Second}
