package credit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// heavyTrouble is far beyond what a network does, so that each failure meets each other one.
var heavyTrouble = trouble{lost: 0.05, duplicated: 0.1, late: 0.1, lateBy: 400 * time.Millisecond,
	held: 0.2, heldFor: 400 * time.Millisecond, notRun: 0.15}

// checkBound fails the test if a window held more requests than its bound.
func checkBound(t *testing.T, s *site, key Key, limit Limit, from time.Duration) {
	t.Helper()
	b := s.bounds[key.Kind]
	if most := s.result(key).mostInWindow(b.Window, from); float64(most) > b.allowed(limit) {
		t.Errorf("%v: %d requests in %v, bound %v", key, most, b.Window, b.allowed(limit))
	}
}

// troubledOwners loses the owner at random times, with and without a gap, until the given time.
func (s *site) troubledOwners(until time.Duration) {
	for s.now() < until {
		s.elect()
		time.Sleep(s.upTo(4 * time.Second))
		if s.chance(0.5) {
			s.loseOwner()
			time.Sleep(s.upTo(1500 * time.Millisecond))
		}
	}
}

// Guards against more requests in a window than the platform tolerates, with owners lost in quick succession, answers of former
// owners, datagrams lost, duplicated and late, credits returned and refunded, and requests that are held up after they got
// their credit. Demand is up to ten times the limit and moves between instances each second.
func TestNoWindowExceedsItsBound(t *testing.T) {
	for _, kind := range []Kind{WorkspaceQuota, ColdTarget} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("kind%d-seed%d", kind, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkTroubledSite(t, kind, seed) })
			})
		}
	}
}

func checkTroubledSite(t *testing.T, kind Kind, seed uint64) {
	const length = 20 * time.Second
	s := newSite(seed, 12, heavyTrouble)
	rng := rand.New(rand.NewPCG(seed, 2))
	limits := map[Key]Limit{}
	for n := range 4 {
		burst := math.Floor(rng.Float64() * 30)
		if kind == ColdTarget {
			burst = 0
		}
		limits[Key{Kind: kind, Name: fmt.Sprint(n)}] = Limit{Rate: math.Exp(rng.Float64()*6 - 1.5), Burst: burst}
	}
	s.requests.Go(func() { s.troubledOwners(length) })
	for key, limit := range limits {
		factor, shift := 0.5+rng.Float64()*10, rng.IntN(100)
		s.driveAside(length, steady(limit.Rate*factor+1), func() {
			i := (int(s.now()/time.Second)*5 + shift) % len(s.instances)
			if s.chance(0.5) {
				i = (i + 1) % len(s.instances)
			}
			s.request(s.instances[i], key, limit)
		})
	}
	time.Sleep(length)
	s.finish()
	for key, limit := range limits {
		checkBound(t, s, key, limit, 0)
		if len(s.result(key).sent) == 0 {
			t.Errorf("%v: nothing sent", key)
		}
	}
}

// Guards against a limit that binds only the instances that know it: it is lowered, raised and dropped while the instances
// learn of each version at different times.
func TestChangedLimitBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step, spread = 15 * time.Second, 2 * time.Second
		versions := []Limit{{Rate: 100, Burst: 50, Version: 1}, {Rate: 10, Burst: 5, Version: 2}, {Rate: 60, Version: 3}, {Version: 4}}
		s := newSite(1, 10, trouble{lost: 0.02, held: 0.1, heldFor: 300 * time.Millisecond})
		s.elect()
		counts := make([]int, len(versions))
		s.drive(step*time.Duration(len(versions)), steady(200), func() {
			i := s.anyInstance()
			known := max(s.now()-s.upTo(spread), 0)
			s.request(i, keyA, versions[min(int(known/step), len(versions)-1)])
		})
		s.finish()
		for n, limit := range versions[:3] {
			settled := step*time.Duration(n) + spread + quotaBounds.Window
			r := &siteResult{}
			for _, at := range s.result(keyA).sent {
				if at >= settled && at < step*time.Duration(n+1) {
					r.sent = append(r.sent, at)
				}
			}
			counts[n] = len(r.sent)
			if most := r.mostInWindow(quotaBounds.Window, 0); float64(most) > quotaBounds.allowed(limit) {
				t.Errorf("version %d: %d requests in a window, bound %v", limit.Version, most, quotaBounds.allowed(limit))
			}
			if served := float64(len(r.sent)) / (step*time.Duration(n+1) - settled).Seconds(); served < 0.9*limit.Rate {
				t.Errorf("version %d: %.1f/s of %v/s served", limit.Version, served, limit.Rate)
			}
		}
		settled := 3*step + spread
		dropped := countFrom(s.result(keyA).sent, settled)
		if rate := float64(dropped) / (step - spread).Seconds(); rate < 180 {
			t.Errorf("dropped limit: %.1f/s of 200/s served", rate)
		}
	})
}

// Guards against requests below the limit that are refused because credit lies with the instance that had the demand before.
func TestDemandMovesBetweenInstances(t *testing.T) {
	for _, rate := range []float64{2, 40, 400} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := Limit{Rate: rate, Burst: 10}
				s := newSite(1, 30, trouble{})
				s.elect()
				time.Sleep(leadTime)
				below := newAllowance(limit)
				s.drive(20*time.Second, steady(rate), func() {
					if below.admit(s.now()) {
						s.request(s.instances[int(s.now()/time.Second)%30], keyA, limit)
					}
				})
				s.finish()
				if r := s.result(keyA); r.exhausted+r.unavailable+r.expired > 0 {
					t.Errorf("%d sent, %d refused, %d unavailable, %d expired", len(r.sent), r.exhausted, r.unavailable, r.expired)
				}
			})
		})
	}
}

// workspaces returns 77 workspaces whose sizes differ as those of a harmonic series of power 1.2, with 420 requests per second in
// all, and the last with a request per minute. The limit of each is 1.6 times its demand.
func workspaces() (demands map[Key]float64, limits map[Key]Limit) {
	const count, total = 77, 420.0
	sum := 0.0
	for n := 1; n <= count; n++ {
		sum += math.Pow(float64(n), -1.2)
	}
	demands, limits = map[Key]float64{}, map[Key]Limit{}
	for n := 1; n <= count; n++ {
		rate := total * math.Pow(float64(n), -1.2) / sum
		if n == count {
			rate = 1.0 / 60
		}
		key := workspace(n)
		demands[key], limits[key] = rate, Limit{Rate: 1.6 * rate, Burst: math.Ceil(rate)}
	}
	return demands, limits
}

func workspace(n int) Key { return Key{Name: fmt.Sprint("w", n)} }

// Guards against workspaces that pay for one with seven times its usual demand, against one with a request a minute that never
// finds credit at its instance, and against a hot workspace that exceeds its bound or leaves its limit unused. What random demand
// of the others asks beyond their limits is left out.
func TestHotWorkspaceAmongUnequalOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, hotFrom, hotUntil = 60 * time.Second, leadTime + 20*time.Second, leadTime + 40*time.Second
		demands, limits := workspaces()
		s := newSite(7, 110, trouble{})
		s.elect()
		time.Sleep(leadTime)
		hot := workspace(2)
		for key, limit := range limits {
			rate := func(now time.Duration) float64 {
				if key == hot && now > hotFrom && now < hotUntil {
					return 7 * demands[key]
				}
				return demands[key]
			}
			below := newAllowance(limit)
			s.driveAside(length, rate, func() {
				if key == hot || below.admit(s.now()) {
					s.request(s.anyInstance(), key, limit)
				}
			})
		}
		time.Sleep(length)
		s.finish()
		for key, limit := range limits {
			checkBound(t, s, key, limit, 0)
			if r := s.result(key); key != hot && r.exhausted+r.unavailable+r.expired > 0 {
				t.Errorf("%v: %d sent, %+v refused, %d unavailable", key, len(r.sent), r.exhausted, r.unavailable)
			}
		}
		r, asks := s.result(hot), uint64(0)
		served := float64(countFrom(r.sent, hotFrom)-countFrom(r.sent, hotUntil)) / (hotUntil - hotFrom).Seconds()
		if served < 0.95*limits[hot].Rate {
			t.Errorf("the hot workspace was served %.1f/s at a limit of %.1f/s", served, limits[hot].Rate)
		}
		for _, i := range s.instances {
			asks += i.pool.Stats().Asks
		}
		t.Logf("hot workspace: %.1f/s served of %.1f/s, %d refused; %d asks in all", served, limits[hot].Rate, r.exhausted, asks)
	})
}
