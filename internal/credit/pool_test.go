package credit

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// poolHarness records what a pool sends. The test answers.
type poolHarness struct {
	pool    *Pool
	now     func() time.Duration
	mu      sync.Mutex
	asks    []Ask
	refunds []Refund
	noOwner bool
	// answer, if set, answers an ask within Send.
	answer func(Ask) *Answer
}

func newPoolHarness() *poolHarness {
	start := time.Now()
	h := &poolHarness{now: func() time.Duration { return time.Since(start) }}
	h.pool = NewPool(PoolConfig{Now: h.now, Bounds: bothBounds(), Send: h.send,
		Refund: func(r Refund) { h.mu.Lock(); h.refunds = append(h.refunds, r); h.mu.Unlock() }})
	return h
}

func (h *poolHarness) send(a Ask) bool {
	h.mu.Lock()
	h.asks = append(h.asks, a)
	answer, owner := h.answer, !h.noOwner
	h.mu.Unlock()
	if answer != nil {
		h.pool.HandleAnswer(*answer(a))
	}
	return owner
}

func (h *poolHarness) sent() []Ask {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.asks)
}

func (h *poolHarness) refunded() []Refund {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.refunds)
}

func (h *poolHarness) setAnswer(answer func(Ask) *Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer = answer
}

func (h *poolHarness) setOwner(known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noOwner = !known
}

// grantAll answers each ask in full.
func grantAll(a Ask) *Answer { return &Answer{Number: a.Number, Granted: a.Count} }

// start starts requests and returns a function that waits for them and returns the numbers of granted and of refused ones.
func (h *poolHarness) start(n int, limit Limit) func() (granted, exhausted, unavailable int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var granted, exhausted, unavailable int
	for range n {
		wg.Go(func() {
			_, denial := h.pool.Acquire(context.Background(), keyA, limit)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case denial == nil:
				granted++
			case denial.Unavailable:
				unavailable++
			default:
				exhausted++
			}
		})
	}
	synctest.Wait()
	return func() (int, int, int) { wg.Wait(); return granted, exhausted, unavailable }
}

// pause lets the time pass, and waits until the timers that fired meanwhile have been handled.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var tenPerSecond = Limit{Rate: 10, Burst: 10, Version: 1}

// Guards against an ask for each of many requests that wait together.
func TestWaitersShareAnAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		wait := h.start(1, tenPerSecond)
		wait2 := h.start(50, tenPerSecond)
		if len(h.sent()) != 1 || h.sent()[0].Count != 1 {
			t.Fatalf("asks %+v", h.sent())
		}
		pause(3 * time.Millisecond)
		h.pool.HandleAnswer(*grantAll(h.sent()[0]))
		wait()
		pause(askInterval)
		if len(h.sent()) != 2 || h.sent()[1].Count < 50 || h.sent()[1].Count > 60 {
			t.Fatalf("asks %+v", h.sent())
		}
		h.pool.HandleAnswer(*grantAll(h.sent()[1]))
		if granted, _, _ := wait2(); granted != 50 {
			t.Errorf("%d granted", granted)
		}
		pause(time.Second)
	})
}

// Guards against asks that repeat a lost datagram under a new number, which would be debited twice, or do not end.
func TestLostAskIsRepeatedOnceUnderItsNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		wait := h.start(1, tenPerSecond)
		pause(repeatAfter + time.Millisecond)
		if len(h.sent()) != 2 || h.sent()[1] != h.sent()[0] {
			t.Fatalf("asks %+v", h.sent())
		}
		_, _, unavailable := wait()
		if took := h.now(); unavailable != 1 || took > waitLimit+time.Millisecond {
			t.Errorf("%d unavailable after %v", unavailable, took)
		}
		pause(time.Second)
		if s := h.pool.Stats(); len(h.sent()) != 2 || s.Asks != 1 || s.Repeats != 1 || s.Unavailable != 1 || s.Unanswered != 1 {
			t.Errorf("%+v, %d asks", s, len(h.sent()))
		}
	})
}

// Guards against credit that is used longer than counted from the first ask, as the owner may have debited it then.
func TestCreditExpiresCountedFromFirstAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		var grant Grant
		go func() { grant, _ = h.pool.Acquire(context.Background(), keyA, tenPerSecond) }()
		pause(repeatAfter + 10*time.Millisecond)
		h.pool.HandleAnswer(*grantAll(h.sent()[0]))
		synctest.Wait()
		if grant.ID == 0 || grant.ExpiresAt != quotaBounds.Lifetime(tenPerSecond) {
			t.Errorf("%+v", grant)
		}
		pause(time.Second)
	})
}

// Guards against an answer that counts twice as its datagram was duplicated, and one that grants more than was asked for.
func TestAnswerCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(func(a Ask) *Answer {
			h.pool.HandleAnswer(Answer{Number: a.Number, Granted: math.MaxUint16})
			return grantAll(a)
		})
		for want := 1; want <= 3; want++ {
			if granted, _, _ := h.start(1, tenPerSecond)(); granted != 1 || len(h.sent()) != want {
				t.Fatalf("granted %d, asks %+v", granted, h.sent())
			}
			pause(2 * askInterval)
		}
		pause(time.Second)
	})
}

// Guards against credits that are answered after they expired, and against credits of a late answer that are lost.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.start(1, tenPerSecond)()
		pause(20 * time.Millisecond)
		h.pool.HandleAnswer(*grantAll(h.sent()[0]))
		if granted, _, _ := h.start(1, tenPerSecond)(); granted != 1 || len(h.sent()) != 2 {
			t.Errorf("granted %d, asks %+v", granted, h.sent())
		}
		pause(time.Second)
		h.start(1, tenPerSecond)()
		pause(quotaBounds.Lifetime(tenPerSecond))
		h.pool.HandleAnswer(*grantAll(h.sent()[len(h.sent())-1]))
		before := len(h.sent())
		if granted, _, _ := h.start(1, tenPerSecond)(); granted != 0 || len(h.sent()) == before {
			t.Errorf("an expired credit was granted")
		}
		pause(time.Second)
	})
}

// Guards against a credit that goes back twice, to the stock or to the owner, and against unspent credit that is not refunded.
func TestCreditGoesBackOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(grantAll)
		first, _ := h.pool.Acquire(context.Background(), keyA, tenPerSecond)
		h.pool.Return(first)
		h.pool.Return(first)
		second, _ := h.pool.Acquire(context.Background(), keyA, tenPerSecond)
		if len(h.sent()) != 1 || second.ID == first.ID || second.ExpiresAt != first.ExpiresAt {
			t.Fatalf("asks %+v, grants %+v %+v", h.sent(), first, second)
		}
		h.pool.Return(first)
		third, _ := h.pool.Acquire(context.Background(), keyA, tenPerSecond)
		if len(h.sent()) != 2 {
			t.Fatalf("a credit went back twice: asks %+v", h.sent())
		}
		h.pool.Return(second)
		pause(time.Second)
		want := Refund{Number: h.sent()[0].Number, Key: keyA, Count: 1}
		if len(h.refunded()) != 1 || h.refunded()[0] != want {
			t.Errorf("refunds %+v, want %+v", h.refunded(), want)
		}
		h.pool.Return(third)
		h.pool.Return(Grant{})
		pause(time.Second)
		if s := h.pool.Stats(); len(h.refunded()) != 1 || s.Returned != 2 || s.Refunded != 1 {
			t.Errorf("%+v, refunds %+v", s, h.refunded())
		}
	})
}

// Guards against credits of one ask that are given back in time and of which only some are refunded.
func TestCreditsReturnedInTimeAreRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(grantAll)
		h.start(1, tenPerSecond)()
		held := make([]Grant, 2)
		for i := range held {
			go func() { held[i], _ = h.pool.Acquire(context.Background(), keyA, tenPerSecond) }()
		}
		pause(2 * askInterval)
		asks := len(h.sent())
		if held[0].ReturnBy != held[1].ReturnBy {
			t.Fatalf("two credits of different asks: %+v", held)
		}
		pause(held[0].ReturnBy - h.now())
		for _, grant := range held {
			h.pool.Return(grant)
			pause(time.Millisecond)
		}
		pause(time.Second)
		s := h.pool.Stats()
		if len(h.sent()) != asks || s.Expired > 0 || s.Returned != 2 || s.Refunded < 2 {
			t.Errorf("%+v, refunds %+v", s, h.refunded())
		}
	})
}

// Guards against a second refund of one ask, which the owner ignores, and against a credit that is in use after its refund.
func TestReturnAfterRefundIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(grantAll)
		h.start(60, tenPerSecond)()
		held, _ := h.pool.Acquire(context.Background(), keyA, tenPerSecond)
		pause(quotaBounds.Lifetime(tenPerSecond) - 10*time.Millisecond)
		refunds := len(h.refunded())
		h.pool.Return(held)
		if refunds != 1 || len(h.refunded()) != 1 {
			t.Errorf("refunds %+v", h.refunded())
		}
		h.setAnswer(nil)
		if granted, _, _ := h.start(1, tenPerSecond)(); granted != 0 {
			t.Error("a credit was granted after the refund of its ask")
		}
		pause(time.Second)
	})
}

// Guards against asks for each refused request of a busy workspace, and against callers who are all told the same time.
func TestKnownDenialIsAnsweredLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(func(a Ask) *Answer { return &Answer{Number: a.Number, RetryAfterMS: 500} })
		var last time.Duration
		for i := range 20 {
			_, denial := h.pool.Acquire(context.Background(), keyA, tenPerSecond)
			if denial == nil || denial.Unavailable || denial.RetryAfter <= last {
				t.Fatalf("request %d: %+v after %v", i, denial, last)
			}
			last = denial.RetryAfter
		}
		if len(h.sent()) != 1 || last > 500*time.Millisecond+2*time.Second {
			t.Errorf("%d asks, last %v", len(h.sent()), last)
		}
		pause(maxLocalDenial)
		h.setAnswer(grantAll)
		if _, denial := h.pool.Acquire(context.Background(), keyA, tenPerSecond); denial != nil || len(h.sent()) != 2 {
			t.Errorf("%+v, %d asks", denial, len(h.sent()))
		}
		pause(time.Second)
	})
}

// Guards against requests that fail although the owner changes while they wait, and against reuse of the former numbers.
func TestOwnerChangeAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		wait := h.start(5, tenPerSecond)
		pause(waitLimit - time.Millisecond)
		former := h.sent()[0]
		h.pool.OwnerChanged()
		pause(10 * time.Millisecond)
		latest := h.sent()[len(h.sent())-1]
		if latest.Number == former.Number || latest.Count < 5 {
			t.Fatalf("asks %+v", h.sent())
		}
		h.pool.HandleAnswer(*grantAll(latest))
		if granted, _, _ := wait(); granted != 5 {
			t.Errorf("%d granted", granted)
		}
		h.pool.HandleAnswer(*grantAll(former))
		pause(time.Second)
	})
}

// Guards against a former owner's refusal that is taken for the answer of the new one.
func TestLateDenialOfFormerOwnerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		wait := h.start(1, tenPerSecond)
		h.pool.OwnerChanged()
		h.pool.HandleAnswer(Answer{Number: h.sent()[0].Number, RetryAfterMS: 1000})
		h.pool.HandleAnswer(*grantAll(h.sent()[len(h.sent())-1]))
		if granted, _, _ := wait(); granted != 1 {
			t.Error("refused")
		}
		pause(time.Second)
	})
}

// Guards against requests that wait without bound, or ask without pause, while there is no owner, and against ones that do not
// notice that there is one again.
func TestNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setOwner(false)
		if _, _, unavailable := h.start(3, tenPerSecond)(); unavailable != 3 || h.now() > waitLimit+time.Millisecond || len(h.sent()) > 4 {
			t.Errorf("%d unavailable after %v, %d asks", unavailable, h.now(), len(h.sent()))
		}
		pause(time.Second)
		wait := h.start(3, tenPerSecond)
		h.setOwner(true)
		h.setAnswer(grantAll)
		h.pool.OwnerChanged()
		if granted, _, _ := wait(); granted != 3 {
			t.Errorf("%d granted", granted)
		}
		pause(time.Second)
	})
}

// Guards against an answer of an instance that lost its ownership that is taken for a refusal of the limit.
func TestNotOwnerIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(func(a Ask) *Answer { return &Answer{Number: a.Number, NotOwner: true} })
		wait := h.start(1, tenPerSecond)
		h.setAnswer(grantAll)
		if granted, _, _ := wait(); granted != 1 || len(h.sent()) != 2 || h.sent()[0].Number == h.sent()[1].Number {
			t.Errorf("granted %d, asks %+v", granted, h.sent())
		}
		pause(time.Second)
	})
}

// Guards against a credit that is lost with a request whose caller left, and a wait that outlives its context.
func TestContextEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, denial := h.pool.Acquire(ctx, keyA, tenPerSecond)
		if denial == nil || !denial.Unavailable || h.now() != 10*time.Millisecond {
			t.Fatalf("%+v after %v", denial, h.now())
		}
		h.pool.HandleAnswer(*grantAll(h.sent()[0]))
		pause(time.Second)
		if len(h.refunded()) != 1 {
			t.Errorf("refunds %+v", h.refunded())
		}
	})
}

// Guards against limits that were dropped, or are not numbers, and against an old version of a limit that was dropped.
func TestPoolLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		wait := h.start(2, tenPerSecond)
		if g, denial := h.pool.Acquire(context.Background(), keyA, Limit{Version: 2}); denial != nil || g != (Grant{}) {
			t.Errorf("dropped limit: %+v %+v", g, denial)
		}
		if granted, _, _ := wait(); granted != 2 {
			t.Errorf("%d of 2 waiting requests granted when the limit was dropped", granted)
		}
		if g, denial := h.pool.Acquire(context.Background(), keyA, tenPerSecond); denial != nil || g != (Grant{}) || len(h.sent()) != 1 {
			t.Errorf("former version of a dropped limit: %+v %+v", g, denial)
		}
		for _, x := range []float64{math.NaN(), math.Inf(1), -1} {
			if _, denial := h.pool.Acquire(context.Background(), keyA, Limit{Rate: x, Version: 3}); denial == nil {
				t.Errorf("limit %v granted", x)
			}
		}
		if _, denial := h.pool.Acquire(context.Background(), Key{Kind: 9}, tenPerSecond); denial == nil {
			t.Error("unknown kind granted")
		}
		if s := h.pool.Stats(); s.Invalid != 4 {
			t.Errorf("%+v", s)
		}
		pause(time.Second)
	})
}

// Guards against memory that grows with the number of keys that were ever used, such as the ids of replaced targets.
func TestPoolForgetsIdleKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(grantAll)
		for i := range 100 * 200 {
			key := Key{Kind: ColdTarget, Name: string(rune(i + 1000))}
			if _, denial := h.pool.Acquire(context.Background(), key, Limit{Rate: 10}); denial != nil {
				t.Fatalf("key %d: %+v", i, denial)
			}
			if i%100 == 99 {
				pause(50 * time.Millisecond)
			}
		}
		pause(time.Second)
		if s := h.pool.Stats(); s.Keys > 2*minPruneKeys || len(h.pool.batches) != 0 || len(h.pool.grants) != 0 {
			t.Errorf("%d keys, %d batches, %d grants", s.Keys, len(h.pool.batches), len(h.pool.grants))
		}
	})
}

// Guards against more keys at once than the pool's bound.
func TestPoolBoundsKeysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(grantAll)
		refused := 0
		for i := range maxPoolKeys + 100 {
			if _, denial := h.pool.Acquire(context.Background(), Key{Name: string(rune(i + 1000))}, tenPerSecond); denial != nil {
				refused++
			}
		}
		if refused != 100 || len(h.pool.keys) != maxPoolKeys {
			t.Errorf("%d refused, %d keys", refused, len(h.pool.keys))
		}
		pause(time.Second)
	})
}

// Guards against an ask for each request of a workspace with many: the owner would be asked 200,000 times a second.
func TestAsksOfBusyKeyAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPoolHarness()
		h.setAnswer(grantAll)
		const seconds, rate = 4, 2000
		use := func() {
			for range seconds * rate {
				if _, denial := h.pool.Acquire(context.Background(), keyA, Limit{Rate: 1e6}); denial != nil {
					t.Fatal(denial)
				}
				pause(time.Second / rate)
			}
		}
		use()
		first := h.pool.Stats()
		use()
		s, most := h.pool.Stats(), uint64(seconds*time.Second/prefetchPeriod)
		if s.Asks-first.Asks > most+most/10 || first.Asks > 3*most || s.Refunded > s.Granted/100 {
			t.Errorf("%+v, then %+v", first, s)
		}
		pause(time.Second)
	})
}
