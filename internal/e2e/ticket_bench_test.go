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

// bookers is the number of callers that fill the table.
const bookers = 16

// BenchmarkFullTicketTable measures the resident memory of one daemon with the configuration of the two-year size while
// bookings fill its table of operations, until one is refused because the table is full. Kept answers of 512 B fill the
// 32 MB with 65,536 entries, those of 16 KB with 2,048. The table must be full before the first ticket expires.
func BenchmarkFullTicketTable(b *testing.B) {
	for _, bytes := range []int{0, 200, 16_000} {
		b.Run(fmt.Sprintf("body=%d", bytes), func(b *testing.B) {
			f := startFleet(b, 1)
			target := freeAddresses(b, 1)[0]
			start(b, "target "+target)
			s := f.publish(b, futureServices, futureTargets)
			s.publishService(b, operator.Service{
				Name: "banco-app", Region: "region-1", Zones: []string{"zone-a"}, MaxInstances: 1, SlotsPerTarget: bookers,
				Classes: []operator.Class{{Name: "booking", Methods: []string{"POST"}, TimeoutMS: 5000}},
				Targets: []operator.Target{{Address: target, Zone: "zone-a"}},
			})
			s.awaitInForce(b)
			time.Sleep(settleTime)
			before := readCost(b, f.daemons[0].Process.Pid)
			begun := time.Now()
			done := f.fillTable(b, bytes)
			filled := time.Since(begun)
			full := readCost(b, f.daemons[0].Process.Pid)
			time.Sleep(sampleTime)
			after := readCost(b, f.daemons[0].Process.Pid)
			b.ReportMetric(float64(done), "operations")
			b.ReportMetric(filled.Seconds(), "s-to-fill")
			b.ReportMetric(float64(before.residentBytes)/(1<<20), "MiB-before")
			b.ReportMetric(float64(full.residentBytes)/(1<<20), "MiB-full")
			b.ReportMetric(float64(after.residentBytes)/(1<<20), "MiB-20s-later")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// fillTable books until the table is full and returns the number of operations.
func (f *fleet) fillTable(b *testing.B, bytes int) int64 {
	b.Helper()
	var operations atomic.Int64
	var wait sync.WaitGroup
	for i := range bookers {
		wait.Go(func() {
			next := issue(f.callers[0])
			for n := 0; ; n++ {
				var outcome, why string
				outcome, why, next = f.bookNext(fmt.Sprint(i, "-", n), next, bytes)
				// A full table closes the tickets of the other callers that are older than the one that it refused.
				if why == reason.TicketTableFull.Name || why == reason.TicketClosed.Name {
					return
				}
				if outcome != string(reason.Done) || n > ticket.DefaultLimits().Entries {
					b.Errorf("booking %d of caller %d: outcome %q, reason %q", n, i, outcome, why)
					return
				}
				operations.Add(1)
			}
		})
	}
	wait.Wait()
	return operations.Load()
}

// bookNext sends a booking and returns the ticket for the next one.
func (f *fleet) bookNext(token, ticket string, bytes int) (outcome, why, next string) {
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

var bookingClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bookers}, Timeout: 10 * time.Second}
