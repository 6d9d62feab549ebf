package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

// Guards against one request whose decision panics and that hangs all requests of the service, because the lock stays held or
// the queue is left half-decided, or that fails the request whose goroutine made the decision.
func TestPanickingDecisionConcernsOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(DefaultPolicy(), target("t1", "a"))
		started := time.Now()
		p.now = func() time.Duration { return time.Minute + time.Since(started) }
		p.firstReportDeadline = 0
		// A negative estimate makes the random tie-break panic.
		p.routes["faulty"] = &routeEstimate{serviceTime: -float64(time.Hour)}
		request := func(route string) *Request {
			return &Request{Route: route, Objective: 300 * time.Millisecond, Arrived: p.now(), Deadline: p.now() + time.Second}
		}
		p.UpdateLoad([]TargetLoad{{p.Target("t1"), LoadReport{Slots: 5, Slowdown: 1, ReceivedAt: p.now()}}})
		var held []Decision
		slots := p.targets[0].usableSlots(&p.policy)
		for range slots {
			held = append(held, p.Acquire(context.Background(), request("r")))
		}
		decisions := make(chan Decision, 3)
		for range 2 {
			go func() { decisions <- p.Acquire(context.Background(), request("r")) }()
		}
		synctest.Wait()
		if waiting := p.Usage().Waiting; waiting != 2 {
			t.Fatalf("%d requests wait, want 2", waiting)
		}
		if d := p.Acquire(context.Background(), request("faulty")); d.Target != nil || d.Refusal != reason.NoDecision || !errors.As(d.Cause, new(*panicguard.Error)) {
			t.Errorf("decision %+v on the faulty request, want a refusal with its cause", d)
		}
		for _, d := range held[:2] {
			p.Release(request("r"), d, DoneInfo{Result: Answered})
		}
		for range 2 {
			d := <-decisions
			if d.Target == nil {
				t.Errorf("a waiting request was refused as %v", d.Refusal)
				continue
			}
			p.Release(request("r"), d, DoneInfo{Result: Answered})
		}
		for _, d := range held[2:] {
			p.Release(request("r"), d, DoneInfo{Result: Answered})
		}
		if usage := p.Usage(); usage != (Usage{}) {
			t.Errorf("%+v is held after all requests ended", usage)
		}
	})
}
