package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/basillink/basillink/internal/reason"
)

// queueSession runs the commands of a testdata file on a queue.
type queueSession struct {
	queue    *Queue
	now      time.Duration
	requests map[string]*Request
	output   strings.Builder
}

// Guards against shedding in the wrong order, callers that starve others, unbounded queues, waits beyond the deadline, and
// long classes that use the whole limit.
func TestQueueSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &queueSession{requests: map[string]*Request{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.output.Reset()
			s.run(t, d)
			fmt.Fprintf(&s.output, "in flight %d, waiting %d, limit %d\n", s.queue.InFlight(), s.queue.Waiting(), s.queue.Limit())
			return s.output.String()
		})
	})
}

func (s *queueSession) run(t *testing.T, d *datadriven.TestData) {
	s.now = duration(t, d, "at", s.now)
	switch d.Cmd {
	case "queue":
		var maxInFlight, maxWaiting int
		d.ScanArgs(t, "in-flight", &maxInFlight)
		d.ScanArgs(t, "waiting", &maxWaiting)
		s.queue = NewQueue(Config{MaxInFlight: maxInFlight, MinInFlight: 1, MaxWaiting: maxWaiting, MaxWait: duration(t, d, "wait", 0)})
	case "offer":
		s.offer(t, d)
	case "finish":
		s.finish(t, d)
	case "expire":
		s.queue.Expire(s.now)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func (s *queueSession) offer(t *testing.T, d *datadriven.TestData) {
	var caller string
	var priority, count int
	timeout := duration(t, d, "timeout", time.Second)
	d.ScanArgs(t, "caller", &caller)
	d.MaybeScanArgs(t, "priority", &priority)
	if !d.MaybeScanArgs(t, "count", &count) {
		count = 1
	}
	for i := range count {
		name := fmt.Sprintf("%s%d", caller, len(s.requests)+1)
		r := &Request{Caller: caller, Priority: priority, Deadline: s.now + timeout, Long: d.HasArg("long")}
		r.Notify = func(refusal *reason.Reason) { s.report(name, refusal) }
		s.requests[name] = r
		if admitted, refusal := s.queue.Offer(s.now, r); admitted || refusal != nil {
			s.report(name, refusal)
		} else if i < 2 { // Of the requests of one command, only the first two are printed when they wait.
			fmt.Fprintf(&s.output, "%s waits\n", name)
		}
	}
}

func (s *queueSession) report(name string, refusal *reason.Reason) {
	if refusal == nil {
		fmt.Fprintf(&s.output, "%s admitted\n", name)
		return
	}
	fmt.Fprintf(&s.output, "%s refused: %s\n", name, refusal.Name)
}

func (s *queueSession) finish(t *testing.T, d *datadriven.TestData) {
	elapsed := duration(t, d, "elapsed", 0)
	result := Answered
	if d.HasArg("shed") {
		result = Shed
	}
	var name string
	d.ScanArgs(t, "request", &name)
	s.queue.Finish(s.now, elapsed, s.requests[name], result)
}

// duration returns an argument of a command, or the fallback if the command has none.
func duration(t *testing.T, d *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	var text string
	if !d.MaybeScanArgs(t, key, &text) {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
