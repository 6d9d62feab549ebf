package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/header"
)

func testPlan(url string, count int) *Plan {
	return &Plan{
		URL: url, Method: http.MethodPost, Body: "channel=72", IDHeader: "X-Token", Rate: 10_000, Arrival: Fixed,
		Count: count, Duration: time.Minute, Connections: 16, Timeout: 5 * time.Second, Seed: 7,
	}
}

// Guards against plans that would send load to remote hosts or never end.
func TestPlanValidate(t *testing.T) {
	cases := map[string]func(*Plan){
		"url remote": func(p *Plan) { p.URL = "http://10.0.0.7:80/" }, "url name": func(p *Plan) { p.URL = "http://localhost:80/" },
		"url scheme": func(p *Plan) { p.URL = "https://127.0.0.1:80/" }, "rate": func(p *Plan) { p.Rate = 0 },
		"arrival": func(p *Plan) { p.Arrival = "x" }, "count": func(p *Plan) { p.Count = MaxCount + 1 },
		"connections": func(p *Plan) { p.Connections = 0 }, "duration": func(p *Plan) { p.Duration = 2 * time.Hour },
		"timeout": func(p *Plan) { p.Timeout = 0 },
	}
	for name, invalidate := range cases {
		plan := testPlan("http://127.0.0.1:80/", 1)
		if err := plan.Validate(); err != nil {
			t.Fatal(err)
		}
		invalidate(plan)
		if err := plan.Validate(); err == nil || !strings.HasPrefix(err.Error(), strings.Fields(name)[0]) {
			t.Errorf("%s: got error %v, want a PlanError for this key", name, err)
		}
	}
	remote := testPlan("http://10.0.0.7:80/", 1)
	remote.AllowRemote = true
	if err := remote.Validate(); err != nil {
		t.Error(err)
	}
}

// Guards against due times that drift from the rate or differ between runs with the same seed.
func TestSchedule(t *testing.T) {
	const count, rate = 100_000, 1000.0
	for _, arrival := range []Arrival{Fixed, Poisson} {
		first := newSchedule(arrival, rate, rand.New(rand.NewPCG(1, 0)))
		second := newSchedule(arrival, rate, rand.New(rand.NewPCG(1, 0)))
		var due time.Duration
		for range count {
			next := first.nextDue()
			if next < due || next != second.nextDue() {
				t.Fatalf("%s: due time %v after %v: due times decrease or differ for the same seed", arrival, next, due)
			}
			due = next
		}
		if seconds := due.Seconds(); seconds < 98 || seconds > 102 {
			t.Errorf("%s: %d requests at %g per second end after %.1f s", arrival, count, rate, seconds)
		}
	}
}

// slowCaller takes a fixed time for each request.
type slowCaller struct{ serviceTime time.Duration }

func (c slowCaller) Call(context.Context, int) Result {
	time.Sleep(c.serviceTime)
	return Result{Kind: Answered, Status: 200}
}

// Guards against coordinated omission. One connection answers a request in 100 ms and requests are due every 10 ms, so
// the latency of the last of 100 requests must include its wait for all others.
func TestLatencyCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan("http://127.0.0.1:80/", 100)
		plan.Rate, plan.Connections = 100, 1
		report := Run(t.Context(), plan, slowCaller{100 * time.Millisecond}, func(Totals) {})
		const wantMax, wantService = 100*100_000 - 99*10_000, 100_000
		if !approxEqual(report.Latency.Max, wantMax) || !approxEqual(report.ServiceTime.Max, wantService) || report.Answered != 100 {
			t.Fatalf("latency %+v, service %+v, totals %+v", report.Latency, report.ServiceTime, report.Totals)
		}
	})
}

// approxEqual allows for the resolution of the histogram.
func approxEqual(got, want int64) bool { return got > want*999/1000-1 && got < want*1001/1000+1 }

// Guards against runs that exceed their duration and against long runs without progress reports.
func TestRunEndsByTimeAndReportsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan("http://127.0.0.1:80/", 0)
		plan.Rate, plan.Duration = 10, 9*time.Second
		progressCalls := 0
		report := Run(t.Context(), plan, slowCaller{0}, func(Totals) { progressCalls++ })
		if report.Sent != 90 || progressCalls != 4 {
			t.Fatalf("sent %d requests and reported progress %d times, want 90 and 4", report.Sent, progressCalls)
		}
	})
}

// Guards against requests that are sent again when a reused connection fails. The server closes each connection instead
// of answering its third request.
func TestNoRequestIsSentTwice(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var mu sync.Mutex
	received := map[string]int{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for served := 0; ; served++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			mu.Lock()
			received[request.Header.Get("X-Token")]++
			mu.Unlock()
			if served%3 == 2 {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBasillink-Outcome: done\r\n\r\n")
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	const count = 300
	report := runPlan(t, testPlan("http://"+listener.Addr().String()+"/", count))
	if report.Failed != report.Causes["failed/client_connection_lost"] || report.Failed == 0 || report.Answered+report.Failed != count {
		t.Fatalf("totals %+v, causes %v", report.Totals, report.Causes)
	}
	mu.Lock()
	defer mu.Unlock()
	for token, times := range received {
		if times != 1 {
			t.Errorf("request %s was received %d times", token, times)
		}
	}
	if len(received) != count {
		t.Errorf("%d requests received, want %d", len(received), count)
	}
}

func runPlan(t *testing.T, plan *Plan) *Report {
	t.Helper()
	if err := plan.Validate(); err != nil {
		t.Fatal(err)
	}
	caller, closeCaller, err := NewCaller(plan)
	if err != nil {
		t.Fatal(err)
	}
	defer closeCaller()
	report := Run(t.Context(), plan, caller, func(Totals) {})
	if !report.Complete() {
		t.Fatalf("not every request has a result: %+v", report.Totals)
	}
	return report
}

// Guards against tickets that are used for two requests, and against requests that fail because they have no ticket.
func TestTickets(t *testing.T) {
	var mu sync.Mutex
	issued, used := 0, map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		issued++
		w.Header().Set(header.NextTicket, fmt.Sprintf("ticket-%d", issued))
		if r.Header.Get(header.Ticket) == "" {
			w.Header().Set(header.Outcome, "not-run")
			w.Header().Set(header.Reason, "ticket_required")
			w.WriteHeader(http.StatusPreconditionRequired)
			return
		}
		used[r.Header.Get(header.Ticket)]++
		w.Header().Set(header.Outcome, "done")
	}))
	defer server.Close()
	const count = 200
	report := runPlan(t, testPlan(server.URL+"/", count))
	if report.Answered != count || report.Ticketed == 0 || report.Ticketed == count {
		t.Fatalf("totals %+v, causes %v", report.Totals, report.Causes)
	}
	if len(used) != count {
		t.Fatalf("%d tickets for %d requests", len(used), count)
	}
}

// Guards against requests that are counted under no kind or cause, or under a wrong one.
func TestOutcomesAndCauses(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var number int
		_, _ = fmt.Sscanf(r.Header.Get("X-Token"), "7-%d", &number)
		switch number % 5 {
		case 0:
			w.Header().Set(header.Outcome, "done")
		case 1:
			w.Header().Set(header.Outcome, "not-run")
			w.Header().Set(header.Reason, "overloaded")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			w.Header().Set(header.Outcome, "unknown")
			w.Header().Set(header.Reason, "answer_lost")
			w.WriteHeader(http.StatusBadGateway)
		case 3:
			w.WriteHeader(http.StatusInternalServerError)
		case 4:
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "cut")
		}
	}))
	defer server.Close()
	report := runPlan(t, testPlan(server.URL+"/", 50))
	want := "map[failed/answer_lost:10 failed/client_answer_truncated:10 failed/client_server_error:10 refused/overloaded:10]"
	if got := fmt.Sprint(report.Causes); got != want || report.Answered != 10 {
		t.Fatalf("answered %d, causes %s", report.Answered, got)
	}
	var text, csv, json strings.Builder
	for _, err := range []error{report.WriteText(&text), report.WriteCSV(&csv), report.WriteJSON(&json)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(csv.String(), "cause,refused/overloaded,10\n") || !strings.Contains(json.String(), `"refused/overloaded": 10`) {
		t.Errorf("csv:\n%s\njson:\n%s", &csv, &json)
	}
}

// Guards against a refused connection that is counted as an answer or under another cause.
func TestConnectionRefused(t *testing.T) {
	report := runPlan(t, testPlan("http://127.0.0.1:1/", 5))
	if report.Causes["failed/client_connect"] != 5 {
		t.Fatalf("causes %v", report.Causes)
	}
}
