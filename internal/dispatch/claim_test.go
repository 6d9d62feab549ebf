package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// claimRecorder records the claims that a pool sends.
type claimRecorder struct {
	targets []string
	numbers []uint32
	onClaim func(target string, number uint32)
}

func (c *claimRecorder) sendClaim(target string, number uint32, _ time.Duration) bool {
	c.targets, c.numbers = append(c.targets, target), append(c.numbers, number)
	if c.onClaim != nil {
		c.onClaim(target, number)
	}
	return true
}

// newSaturatedPool returns the pool of an instance that shares two nearly full targets with seven other instances.
func newSaturatedPool(c *claimRecorder) *testPool {
	p := newTestPool(DefaultPolicy(), target("t1", "a"), target("t2", "a"))
	p.instances = 8
	p.SendClaim = c.sendClaim
	p.report("t1", 3, 1)
	p.report("t2", 4, 1)
	return p
}

// Guards against sending a request to a target although the leader of the zone knows that its slots are taken.
func TestDeniedClaimChoosesAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &claimRecorder{}
		p := newSaturatedPool(c)
		c.onClaim = func(target string, number uint32) {
			if target == "t1" {
				p.HandleDenial("t1", number, 5)
			}
		}
		d := p.Acquire(context.Background(), p.request(1))
		if d.Target == nil || d.Target.ID != "t2" {
			t.Fatalf("decision %+v after claims of %v, want t2", d, c.targets)
		}
		if t1 := p.byID["t1"]; t1.ownInFlight != 0 || t1.inFlight(p.clock, &p.policy) != 5 || len(t1.pendingClaims) != 0 {
			t.Errorf("t1 after the denial: %d own requests in flight, %d in total; want 0 and 5", t1.ownInFlight, t1.inFlight(p.clock, &p.policy))
		}
	})
}

// Guards against requests that hang when the leader of the zone does not answer, and against a late denial that withdraws
// a request which has been sent already.
func TestSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &claimRecorder{}
		p := newSaturatedPool(c)
		start := time.Now()
		d := p.Acquire(context.Background(), p.request(1))
		if d.Target == nil || time.Since(start) > localClaimTimeout {
			t.Fatalf("decision %+v after %s", d, time.Since(start))
		}
		p.HandleDenial(d.Target.ID, c.numbers[0], 5)
		if d.Target.ownInFlight != 1 {
			t.Errorf("%d own requests in flight after a late denial, want 1", d.Target.ownInFlight)
		}
	})
}

// Guards against claims, and the delay that they add, while most slots are free.
func TestNoClaimWhileSlotsAreFree(t *testing.T) {
	c := &claimRecorder{}
	p := newSaturatedPool(c)
	p.report("t1", 0, 1)
	p.report("t2", 0, 1)
	if d := p.acquireNow(t, p.request(1)); d.Target == nil || len(c.targets) != 0 {
		t.Errorf("decision %+v after claims of %v, want no claims", d, c.targets)
	}
}

// Guards against a leader that grants more claims than a target has free slots.
func TestLeaderCountsClaims(t *testing.T) {
	p := newTestPool(DefaultPolicy(), target("t1", "a"))
	p.report("t1", 3, 1)
	for i, want := range []bool{true, true, false} {
		if granted, inFlight := p.HandleClaim("t1", 0); granted != want || inFlight != min(4+i, 5) {
			t.Errorf("claim %d: granted %t, %d in flight", i, granted, inFlight)
		}
	}
	if granted, _ := p.HandleClaim("unknown", 0); !granted {
		t.Error("a claim of a target that the leader does not know was denied")
	}
}

// Guards against a request that counts although its claim was denied: a load report between the denial and the time at which the
// request would have been sent included the end of the request, but not its start.
func TestReportAfterDenialDropsRequest(t *testing.T) {
	c := &claimRecorder{}
	p := newSaturatedPool(c)
	d := p.assignNow("t1", p.request(1))
	p.clock += time.Millisecond
	p.HandleDenial("t1", d.claim.number, 5)
	p.clock += reportSkew + (localClaimTimeout-time.Millisecond)/2
	p.report("t1", 4, 1)
	if inFlight := p.byID["t1"].knownInFlight(p.clock, &p.policy); inFlight != 4 {
		t.Errorf("%d requests in flight after a report of 4", inFlight)
	}
}

// Guards against a request that counts although it ended: the leader of a zone sends its own requests before the time at which
// they count, and one of them may end before it.
func TestReportAfterEarlyEndDropsRequest(t *testing.T) {
	c := &claimRecorder{}
	p := newSaturatedPool(c)
	r := p.request(1)
	d := p.assignNow("t1", r)
	p.clock += time.Millisecond
	p.Release(r, d, DoneInfo{Result: Shed})
	p.clock += reportSkew + (localClaimTimeout-time.Millisecond)/2
	p.report("t1", 4, 1)
	if inFlight := p.byID["t1"].knownInFlight(p.clock, &p.policy); inFlight != 4 {
		t.Errorf("%d requests in flight after a report of 4", inFlight)
	}
}

// Guards against counting requests twice that a denial tells of and a load report includes, and against a report that hides those
// which were still in transit when the target sent it.
func TestReportAfterDenialCountsRequestsOnce(t *testing.T) {
	for _, running := range []int{3, 5} {
		c := &claimRecorder{}
		p := newSaturatedPool(c)
		d := p.assignNow("t1", p.request(1))
		p.clock += localClaimTimeout - time.Millisecond
		p.HandleDenial("t1", d.claim.number, 5)
		p.clock += reportSkew / 2
		p.report("t1", running, 1)
		if inFlight := p.byID["t1"].knownInFlight(p.clock, &p.policy); inFlight != 5 {
			t.Errorf("%d requests in flight after a denial of 5 and a report of %d", inFlight, running)
		}
		p.clock += reportSkew
		p.report("t1", running, 1)
		if inFlight := p.byID["t1"].knownInFlight(p.clock, &p.policy); inFlight != running {
			t.Errorf("%d requests in flight after a later report of %d", inFlight, running)
		}
	}
}

// assignNow assigns the request to the target with the given id.
func (p *testPool) assignNow(id string, r *Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id].estimate(p.clock, r, decisionContext{serviceTime: 100 * time.Millisecond, meanSlowdown: 1}, &p.policy)
	return p.assign(e, r, p.clock, Inputs{InFlight: e.inFlight})
}

// Guards against service times below 0: an answer that comes before the time at which a claimed request was to be sent. The average of
// a route then fell without bound, and each decision panicked.
func TestAnswerBeforeClaimTimeout(t *testing.T) {
	p := newSaturatedPool(&claimRecorder{})
	p.SendClaim = func(string, uint32, time.Duration) bool { return false }
	const elapsed = localClaimTimeout / 10
	claimed := 0
	for range 500 {
		p.report("t1", 3, 1)
		p.report("t2", 4, 1)
		r := p.request(1)
		d := p.Acquire(context.Background(), r)
		if d.Target == nil {
			t.Fatalf("refused: %v", d.Refusal)
		}
		if d.claim != nil {
			claimed++
		}
		p.clock += elapsed
		p.Release(r, d, DoneInfo{Result: Answered})
	}
	if claimed == 0 {
		t.Error("no request was claimed")
	}
	if got := p.MeanServiceTime(); got < elapsed/2 || got > 2*elapsed {
		t.Errorf("mean service time %s, want about %s", got, elapsed)
	}
}
