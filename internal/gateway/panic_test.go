package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// countingPolicy counts the requests that a policy was told of.
type countingPolicy struct {
	balancer.Policy
	running atomic.Int64
}

func (p *countingPolicy) Started(target int, now time.Duration) {
	p.running.Add(1)
	p.Policy.Started(target, now)
}

func (p *countingPolicy) Finished(target int, result balancer.Result) {
	p.running.Add(-1)
	p.Policy.Finished(target, result)
}

// faultyCounter panics in the method that faulty names.
type faultyCounter struct {
	Counter
	faulty string
}

func (c *faultyCounter) call(method string) {
	if c.faulty == method {
		c.faulty = ""
		panic("fault")
	}
}

func (c *faultyCounter) Answered(service, class string) {
	c.call("answered")
	c.Counter.Answered(service, class)
}
func (c *faultyCounter) Refused(service string, r *reason.Reason) {
	c.call("refused")
	c.Counter.Refused(service, r)
}
func (c *faultyCounter) Retried(service string, r *reason.Reason) {
	c.call("retried")
	c.Counter.Retried(service, r)
}
func (c *faultyCounter) AddedLatency(d time.Duration) { c.call("latency"); c.Counter.AddedLatency(d) }

// Guards against a panic that leaves behind what the request held: its admission, a connection, the target's request count, or
// the count of requests in flight; and against a caller that gets no answer to it.
func TestPanicReleasesEverything(t *testing.T) {
	const drained, shed, long = "drained", "shed", "long"
	for _, stage := range []string{"observe", drained, "answered", "latency", shed + " retried", shed + " refused", long + " answered"} {
		t.Run(stage, func(t *testing.T) {
			answers := map[string]string{
				drained: "HTTP/1.1 200 OK\r\nTarget-Draining: 1\r\nContent-Length: 2\r\n\r\nok",
				shed:    "HTTP/1.1 503 X\r\nTarget-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
				long:    "HTTP/1.1 200 OK\r\nContent-Length: 2097152\r\n\r\n" + strings.Repeat("s", 2<<20),
			}
			kind, method, _ := strings.Cut(stage, " ")
			raw, special := answers[kind]
			if !special {
				raw, method = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", stage
			}
			f := newFixture(t, rawtarget.Start(t, rawtarget.Always(raw)).Address(), rawtarget.Start(t, rawtarget.Always(raw)).Address())
			policy := &countingPolicy{Policy: f.service.Policy}
			counter := &faultyCounter{Counter: f.counts, faulty: method}
			f.service.Policy, f.gateway.counter = policy, counter
			f.service.Admission = admission.NewLimiter(admission.Config{MaxInFlight: 1, MinInFlight: 1, MaxWaiting: 1, MaxWait: 100 * time.Millisecond})
			if method == "observe" {
				f.gateway.ObserveRequest = func(*control.Service) { f.gateway.ObserveRequest = nil; panic("fault") }
			}
			if kind == drained {
				f.gateway.ObserveDraining = func(*control.Target, string) { f.gateway.ObserveDraining = nil; panic("fault") }
			}
			request, err := http.NewRequest("GET", "http://"+f.address+"/desk/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			client := newClient(t, false)
			got := send(client, request)
			// AddedLatency is called after the answer was written, so that the caller may have it before the panic.
			testwait.Until(t, "the panic", func() bool { return f.gateway.Panics() > 0 })
			if got.status == 0 || got.status == 500 && got.outcome != string(reason.Unknown) {
				t.Errorf("the caller got %+v, want an answer that does not claim to know the outcome", got)
			}
			if next := send(client, request); next.err != nil || next.status == 500 || next.reason == reason.Overloaded.Name {
				t.Errorf("the next request got %+v", next)
			}
			testwait.Until(t, "the end of all that the requests held", func() bool {
				connections := 0
				for _, target := range f.service.Targets {
					connections += target.Pool.InUse()
				}
				return policy.running.Load() == 0 && connections == 0 && f.gateway.InFlight() == 0
			})
		})
	}
}

// Guards against an operation whose outcome is never recorded after a panic: repeated requests with its ticket would wait for it
// until their deadline, and could be told that it did not run.
func TestPanicRecordsOperationAsUnknown(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always("HTTP/1.1 200 OK\r\nTarget-Draining: 1\r\nContent-Length: 2\r\n\r\nok"))
	f := newFixture(t, target.Address())
	f.service.Spec.Classes = append([]operator.Class{{Name: "book", Methods: []string{"POST"}, TimeoutMS: 10_000}}, testClasses...)
	f.service.AllRepeatable = false
	f.gateway.ObserveDraining = func(*control.Target, string) { panic("fault") }
	client := newClient(t, false)
	issued, err := client.Get("http://" + f.address + ticketPath)
	if err != nil {
		t.Fatal(err)
	}
	_ = issued.Body.Close()
	for range 2 {
		request, err := http.NewRequest("POST", "http://"+f.address+"/desk/x", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(header.Ticket, issued.Header.Get(header.NextTicket))
		started := time.Now()
		got := send(client, request)
		if got.err != nil || got.outcome != string(reason.Unknown) || time.Since(started) > 5*time.Second {
			t.Errorf("got %+v after %s, want an unknown outcome at once", got, time.Since(started))
		}
	}
	if target.Requests.Load() != 1 {
		t.Errorf("the operation ran %d times, want once", target.Requests.Load())
	}
}
