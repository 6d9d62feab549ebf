package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// claims records the claims of a pool.
type claims struct {
	targets []string
	numbers []uint32
	answer  func(target string, number uint32)
}

func (c *claims) claim(target string, number uint32) bool {
	c.targets, c.numbers = append(c.targets, target), append(c.numbers, number)
	if c.answer != nil {
		c.answer(target, number)
	}
	return true
}

// crowdedBench returns a pool of an instance that shares two nearly full targets with others.
func crowdedBench(c *claims) *bench {
	b := newBench(DefaultPolicy(), target("t1", "a"), target("t2", "a"))
	b.sharers = 8
	b.SendClaim = c.claim
	b.read("t1", 3, 1)
	b.read("t2", 4, 1)
	return b
}

// Guards against a request that is sent to a target although the reader of the zone knows that its slots are taken.
func TestDeniedClaimGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &claims{}
		b := crowdedBench(c)
		c.answer = func(target string, number uint32) {
			if target == "t1" {
				b.HandleDenial("t1", number, 5)
			}
		}
		d := b.Acquire(context.Background(), b.ask(1))
		if d.Target == nil || d.Target.ID != "t2" {
			t.Fatalf("%+v after claims of %v", d, c.targets)
		}
		if t1 := b.byID["t1"]; t1.own != 0 || t1.occupied(b.clock, &b.policy) != 5 || len(t1.claims) != 0 {
			t.Errorf("the denied target: own %d, occupied %d", t1.own, t1.occupied(b.clock, &b.policy))
		}
	})
}

// Guards against requests that hang when the reader of the zone is dead, and against a denial that comes too late and
// withdraws a request which was sent.
func TestSilentReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &claims{}
		b := crowdedBench(c)
		began := time.Now()
		d := b.Acquire(context.Background(), b.ask(1))
		if d.Target == nil || time.Since(began) > claimPause {
			t.Fatalf("%+v after %s", d, time.Since(began))
		}
		b.HandleDenial(d.Target.ID, c.numbers[0], 5)
		if d.Target.own != 1 {
			t.Errorf("own %d", d.Target.own)
		}
	})
}

// Guards against added delay while most slots are free, and on the instance that reads the zone.
func TestNoClaimNeeded(t *testing.T) {
	c := &claims{}
	b := crowdedBench(c)
	b.read("t1", 0, 1)
	b.read("t2", 0, 1)
	if d := b.now(t, b.ask(1)); d.Target == nil || len(c.targets) != 0 {
		t.Errorf("%+v, claims %v", d, c.targets)
	}
}

// Guards against a reader of the zone that lets more requests through than a target has slots.
func TestReaderCountsClaims(t *testing.T) {
	b := newBench(DefaultPolicy(), target("t1", "a"))
	b.read("t1", 3, 1)
	for i, want := range []bool{true, true, false} {
		if room, occupied := b.HandleClaim("t1"); room != want || occupied != min(4+i, 5) {
			t.Errorf("claim %d: room %t, occupied %d", i, room, occupied)
		}
	}
	if room, _ := b.HandleClaim("unknown"); !room {
		t.Error("a target that only the other instance knows was denied")
	}
}
