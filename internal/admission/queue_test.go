package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/basillink/basillink/internal/reason"
)

// session drives a queue with the commands of a golden file.
type session struct {
	queue    *Queue
	now      time.Duration
	requests map[string]*Request
	output   strings.Builder
}

// Guards against sheds in the wrong order, callers that starve others, unbounded queues, waits beyond a deadline,
// and long classes that take the whole limit.
func TestQueueSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{requests: map[string]*Request{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.output.Reset()
			s.run(t, d)
			fmt.Fprintf(&s.output, "in flight %d, waiting %d, limit %d\n", s.queue.InFlight(), s.queue.Waiting(), s.queue.Limit())
			return s.output.String()
		})
	})
}

func (s *session) run(t *testing.T, d *datadriven.TestData) {
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

func (s *session) offer(t *testing.T, d *datadriven.TestData) {
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
		r := &Request{Caller: caller, Priority: priority, Deadline: s.now + timeout, Long: d.HasArg("waits")}
		r.Notify = func(why *reason.Reason) { s.report(name, why) }
		s.requests[name] = r
		if admitted, why := s.queue.Offer(s.now, r); admitted || why != nil {
			s.report(name, why)
		} else if i < 2 {
			fmt.Fprintf(&s.output, "%s waits\n", name)
		}
	}
}

func (s *session) report(name string, why *reason.Reason) {
	if why == nil {
		fmt.Fprintf(&s.output, "%s admitted\n", name)
		return
	}
	fmt.Fprintf(&s.output, "%s refused: %s\n", name, why.Name)
}

func (s *session) finish(t *testing.T, d *datadriven.TestData) {
	elapsed := duration(t, d, "elapsed", 0)
	end := Answered
	if d.HasArg("shed") {
		end = Shed
	}
	var name string
	d.ScanArgs(t, "request", &name)
	s.queue.Finish(s.now, elapsed, s.requests[name], end)
}

func duration(t *testing.T, d *datadriven.TestData, key string, missing time.Duration) time.Duration {
	var text string
	if !d.MaybeScanArgs(t, key, &text) {
		return missing
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
