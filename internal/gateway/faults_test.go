package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/standin/relay"
	"github.com/basillink/basillink/internal/standin/standintest"
	"github.com/basillink/basillink/internal/ticket"
)

// callerResult is the answer that a caller received, or the error.
type callerResult struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
}

func send(client *http.Client, request *http.Request) callerResult {
	answer, err := client.Do(request)
	if err != nil {
		return callerResult{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return callerResult{answer.StatusCode, answer.Header.Get(header.Outcome), answer.Header.Get(header.Reason), string(body), err}
}

func (f *fixture) request(t testing.TB, method, token string, fault standin.Fault, size int) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+f.address+"/desk/x", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(standin.TokenHeader, token)
	request.Header.Set(standin.FaultHeader, string(fault))
	request.Header.Set(standin.BytesHeader, strconv.Itoa(size))
	return request
}

// Guards against a reported outcome that contradicts what happened at the target. Each request is limited to one attempt,
// so that the outcome describes one execution.
func TestReportedOutcomes(t *testing.T) {
	cases := []struct {
		fault      standin.Fault
		size       int
		outcome    reason.Outcome
		reason     string
		executions int
		broken     bool
	}{
		{fault: standin.FaultNone, outcome: reason.Done, executions: 1},
		{fault: standin.FaultChunked, outcome: reason.Done, executions: 1},
		{fault: standin.FaultChunked, size: 5 << 20, outcome: reason.Done, executions: 1},
		{fault: standin.FaultNone, size: 5 << 20, outcome: reason.Done, executions: 1},
		{fault: standin.FaultShed, outcome: reason.NotRun, reason: "target_shed"},
		{fault: standin.FaultClose, outcome: reason.Unknown, reason: "answer_lost", executions: 1},
		{fault: standin.FaultTruncate, outcome: reason.Unknown, reason: "answer_truncated", executions: 1},
		{fault: standin.FaultTruncate, size: 1 << 20, outcome: reason.Unknown, reason: "answer_truncated", executions: 1},
		{fault: standin.FaultTruncate, size: 5 << 20, outcome: reason.Done, executions: 1, broken: true},
		{fault: standin.FaultUnbounded, outcome: reason.Unknown, reason: "answer_unbounded", executions: 1},
		{fault: standin.FaultSilent, outcome: reason.Unknown, reason: "answer_timeout", executions: 1},
		{fault: standin.FaultCrash, outcome: reason.Unknown, reason: "answer_lost", executions: 1},
	}
	for _, c := range cases {
		for _, method := range []string{"GET", "POST"} {
			name := fmt.Sprintf("%s %s %d", method, c.fault, c.size)
			target := standintest.StartTarget(t, "127.0.0.1:0", 64)
			f := newFixture(t, target.Address())
			request := f.request(t, method, "t1", c.fault, c.size)
			request.Header.Set(header.Attempts, "1")
			request.Header.Set("Idempotency-Key", "k1")
			if c.fault == standin.FaultSilent {
				request.Header.Set(header.TimeoutMS, "300")
			}
			got := send(newClient(t, false), request)
			if got.outcome != string(c.outcome) || got.reason != c.reason || (got.err != nil) != c.broken {
				t.Errorf("%s: got outcome %q, reason %q, error %v", name, got.outcome, got.reason, got.err)
			}
			if !c.broken && c.outcome == reason.Done && len(got.body) < c.size {
				t.Errorf("%s: body of %d bytes", name, len(got.body))
			}
			if ran := target.Executions()["t1"]; ran != c.executions {
				t.Errorf("%s: got outcome %s, but the target ran the request %d times", name, got.outcome, ran)
			}
		}
	}
}

// Guards against an outcome of not run that covers only the last attempt although an earlier attempt may have run.
func TestEarlierAttemptMakesOutcomeUnknown(t *testing.T) {
	var received atomic.Int64
	loseThenShed := func(conn net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path == "/x" && received.Add(1) == 2 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nTarget-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return false
	}
	f := newFixture(t, rawtarget.Start(t, loseThenShed).Address(), rawtarget.Start(t, loseThenShed).Address())
	for range 100 {
		f.service.Retries.Answered()
	}
	request := f.request(t, "GET", "t1", standin.FaultNone, 0)
	request.Header.Set(header.Attempts, "2")
	got := send(newClient(t, false), request)
	if received.Load() != 2 || got.outcome != string(reason.Unknown) || got.reason != reason.TargetShed.Name {
		t.Errorf("%d attempts, got outcome %q, reason %q", received.Load(), got.outcome, got.reason)
	}
}

// lateTimer is a context whose deadline has passed but whose timer has not fired yet.
type lateTimer struct{ context.Context }

func (lateTimer) Deadline() (time.Time, bool) { return time.Now(), true }

// Guards against a passed deadline that is reported as a lost connection to the owner of a ticket.
func TestForwardDeadline(t *testing.T) {
	if failureReason := forwardFailure(lateTimer{t.Context()}, io.ErrUnexpectedEOF).failureReason; failureReason != reason.AnswerTimeout {
		t.Errorf("reason %s", failureReason.Name)
	}
}

// Guards against a truncated answer that fails the request although another target could answer it. Requests of
// repeatable classes, also long ones, must be retried while nothing of the answer was forwarded.
func TestTruncatedAnswerIsRetried(t *testing.T) {
	truncating := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		return false
	}).Address()
	good := standintest.StartTarget(t, "127.0.0.1:0", 64)
	f := newFixture(t, truncating, good.Address())
	for _, method := range []string{"GET", "OPTIONS"} {
		for i := range 20 {
			for range 100 {
				f.service.Retries.Answered()
			}
			got := send(newClient(t, false), f.request(t, method, fmt.Sprint(method, i), standin.FaultNone, 100_000))
			if got.outcome != string(reason.Done) || len(got.body) != 100_000 {
				t.Errorf("%s: got outcome %q, reason %q, %d bytes, error %v", method, got.outcome, got.reason, len(got.body), got.err)
			}
		}
	}
	if f.counts.retried["retry_answer_truncated"] == 0 {
		t.Error("no truncated answer was retried")
	}
}

// Guards against a repeatable request that fails because the connection to its target went silent. It must be retried on
// another target.
func TestSilentConnectionIsRetried(t *testing.T) {
	silent, good := standintest.StartTarget(t, "127.0.0.1:0", 64), standintest.StartTarget(t, "127.0.0.1:0", 64)
	path, err := relay.New(silent.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	f := newFixture(t, path.Address(), good.Address())
	client := newClient(t, false)
	for i := 0; path.Accepted() < 2; i++ {
		send(client, f.request(t, "GET", fmt.Sprint("before", i), standin.FaultNone, 0))
	}
	path.Freeze()
	var sent sync.WaitGroup
	for i := range 8 {
		sent.Go(func() {
			token := fmt.Sprint("after", i)
			checkToken(t, token, 0, send(client, f.request(t, "GET", token, standin.FaultNone, 0)))
		})
	}
	sent.Wait()
	if f.counts.retried["retry_connection_silent"] == 0 {
		t.Errorf("retried %v, refused %v", f.counts.retried, f.counts.refused)
	}
}

// Guards against a truncated answer that looks complete to the caller: after a fault in the middle of a body, the final
// chunk must not be sent.
func TestCallerSeesTruncatedStream(t *testing.T) {
	part := strings.Repeat("x", 3<<20)
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n300000\r\n" + part + "\r\n", "Content-Length: 4000000\r\n\r\n" + part} {
		target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head)
			return false
		}).Address()
		f := newFixture(t, target)
		got := send(newClient(t, true), f.request(t, "GET", "t1", standin.FaultNone, 0))
		if !errors.Is(got.err, io.ErrUnexpectedEOF) || len(got.body) != len(part) {
			t.Errorf("read %d bytes, error %v", len(got.body), got.err)
		}
		if f.counts.refusals("answer_truncated") != 1 {
			t.Errorf("counted %v", f.counts.refused)
		}
	}
}

// Guards against answers that reach the wrong caller. Each answer must carry the token of its own request while other
// requests fail on reused connections at the same time.
func TestAnswersMatchRequestsUnderFaults(t *testing.T) {
	targets := []*standin.Target{standintest.StartTarget(t, "127.0.0.1:0", 64), standintest.StartTarget(t, "127.0.0.1:0", 64), standintest.StartTarget(t, "127.0.0.1:0", 64)}
	f := newFixture(t, targets[0].Address(), targets[1].Address(), targets[2].Address())
	client := newClient(t, true)
	faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultChunked, standin.FaultChunked,
		standin.FaultClose, standin.FaultTruncate, standin.FaultUnbounded, standin.FaultShed}
	const workers, requests = 24, 150
	var running sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(1, uint64(worker)))
		running.Go(func() {
			for i := range requests {
				token := fmt.Sprintf("w%d-%d", worker, i)
				size := random.IntN(5_000)
				if random.IntN(10) == 0 {
					size = random.IntN(2_500_000)
				}
				request := f.request(t, "GET", token, faults[random.IntN(len(faults))], size)
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(4) == 0 {
					time.AfterFunc(time.Duration(random.IntN(4000))*time.Microsecond, cancel)
				}
				checkToken(t, token, size, send(client, request.WithContext(ctx)))
				cancel()
			}
		})
	}
	running.Wait()
	if f.counts.answered < workers*requests/4 {
		t.Errorf("only %d requests were answered", f.counts.answered)
	}
}

// checkToken accepts a complete answer for the token, a failure with a reason, or an incomplete transfer.
func checkToken(t *testing.T, token string, size int, got callerResult) {
	if got.err != nil {
		return
	}
	if got.outcome != string(reason.Done) {
		if got.reason == "" {
			t.Errorf("%s: outcome %q without a reason", token, got.outcome)
		}
		return
	}
	if want := expectedBody(token, size); got.body != want {
		t.Errorf("%s: got %d of %d bytes: %.80q", token, len(got.body), len(want), got.body)
	}
}

// expectedBody returns the body of the stand-in target's answer to GET /x.
func expectedBody(token string, size int) string {
	line := "GET /x token=" + token + " body=0\n"
	missing := size - len(line)
	if missing <= 0 {
		return line
	}
	filler := token + "."
	return line + strings.Repeat(filler, missing/len(filler)+1)[:missing]
}

// Guards against a ticket table that ignores the configured limits.
func TestTicketTableFollowsSettings(t *testing.T) {
	manager := newTicketManager("i1", 1, settings.Tickets{MaxOperations: 1})
	for i, want := range []ticket.Action{ticket.Run, ticket.Refuse} {
		if got := manager.Decide(0, manager.Issue(0), ticket.Digest{byte(i)}, false); got.Action != want {
			t.Errorf("operation %d: %+v, want action %v", i, got, want)
		}
	}
}

// Guards against a late duplicate of an answer that reaches the next caller on a reused connection. Targets that echo the
// run id are protected.
func TestDuplicateAnswerIsSkipped(t *testing.T) {
	var earlier atomic.Pointer[string]
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n%s", header.RunID, r.Header.Get(header.RunID),
			r.URL.Query().Get("n"))
		if duplicate := earlier.Swap(&raw); duplicate != nil {
			_, _ = io.WriteString(conn, *duplicate)
		}
		_, err := io.WriteString(conn, raw)
		return err == nil
	})
	f := newFixture(t, target.Address())
	for _, n := range []string{"11", "22", "33"} {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.address+"/desk/x?n="+n, nil)
		if err != nil {
			t.Fatal(err)
		}
		got := send(http.DefaultClient, request)
		if got.err != nil || got.status != 200 || got.body != n {
			t.Errorf("request %s: %+v", n, got)
		}
	}
}
