package fleet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/routes"
)

var creditSeeds = flag.Uint64("fleet.credit-seeds", 3, "number of schedules of each fault of the owner of the shared limits")

// creditFault is a disturbance of a fleet that has an owner.
type creditFault struct {
	name string
	// begin disturbs the owner or the store, and end, which may be nil, ends that after some time.
	begin, end func(f *creditFleet, owner int)
	lasts      time.Duration
	// within bounds the time from the beginning, or from the end if untilEnd is true, until the next credit that another instance
	// than the owner gets.
	within   time.Duration
	untilEnd bool
}

// takeoverTime bounds a takeover from an owner whose last renewal is known: the whole lease, the succession in its zone, a turn of a
// few candidates, and the initial wait for the credits of a new ledger. lateTakeoverTime bounds one from an owner that fails just
// when it renews, so that a candidate finds a conflict.
const (
	takeoverTime     = credit.TTL + 700*time.Millisecond
	lateTakeoverTime = takeoverTime + credit.TTL
)

// challengeTime bounds the takeover from an owner that nobody hears, but that reaches the store: its last known lease, the wait for
// announcements after a conflict, and the wait after the challenge.
const challengeTime = lateTakeoverTime + credit.TTL + time.Second

// failureTime is longer than the lease of an owner that could not renew it.
const failureTime = 4 * time.Second

// Guards against credits beyond the bounds, and against asks that nobody answers, while the owner or the store is disturbed.
func TestCreditOwnerFaults(t *testing.T) {
	faults := []creditFault{
		{name: "killed", begin: (*creditFleet).kill, within: lateTakeoverTime},
		{name: "planned stop", begin: (*creditFleet).stop, within: takeoverTime - credit.TTL},
		{name: "frozen", begin: (*creditFleet).freeze, end: (*creditFleet).thaw, lasts: failureTime, within: lateTakeoverTime},
		{name: "frozen briefly", begin: (*creditFleet).freeze, end: (*creditFleet).thaw, lasts: time.Second, within: lateTakeoverTime},
		{
			name: "cut off", lasts: 2 * failureTime, within: challengeTime,
			begin: func(f *creditFleet, owner int) { f.net.setPartitioned(address(owner), true) },
			end:   func(f *creditFleet, owner int) { f.net.setPartitioned(address(owner), false) },
		},
		{
			name: "sends nothing", lasts: 2 * failureTime, within: challengeTime,
			begin: func(f *creditFleet, owner int) { f.loseFrom(address(owner)) },
			end:   func(f *creditFleet, _ int) { f.loseFrom("") },
		},
		{
			name: "receives nothing", lasts: 2 * failureTime, within: livenessTimeout + minorityDelay + lateTakeoverTime,
			begin: func(f *creditFleet, owner int) { f.loseTo(address(owner)) },
			end:   func(f *creditFleet, _ int) { f.loseTo("") },
		},
		{
			name: "refused by the store", lasts: failureTime, within: takeoverTime,
			begin: func(f *creditFleet, owner int) { f.refuse(f.nodes[owner].Self.ID) },
			end:   func(f *creditFleet, _ int) { f.refuse("") },
		},
		{
			name: "store away", lasts: failureTime, within: 2 * time.Second, untilEnd: true,
			begin: func(f *creditFleet, _ int) { f.setStore(storeRefuses) },
			end:   func(f *creditFleet, _ int) { f.setStore(storeServes) },
		},
		{
			name: "store silent", lasts: failureTime, within: 3 * time.Second, untilEnd: true,
			begin: func(f *creditFleet, _ int) { f.setStore(storeSilent) },
			end:   func(f *creditFleet, _ int) { f.setStore(storeServes) },
		},
		{
			name: "late appends", lasts: failureTime, within: 2*takeoverTime + time.Second, untilEnd: true,
			begin: func(f *creditFleet, _ int) { f.setLateness(700 * time.Millisecond) },
			end:   func(f *creditFleet, _ int) { f.setLateness(0) },
		},
		{name: "store restored", begin: func(f *creditFleet, _ int) { f.store.restore(2 * time.Second) }, within: takeoverTime},
		{name: "all restart", begin: (*creditFleet).restartAll, within: 2 * takeoverTime},
	}
	for i, fault := range faults {
		for seed := range *creditSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", fault.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCreditFault(t, fault, 100*seed+uint64(i)) })
			})
		}
	}
}

func runCreditFault(t *testing.T, fault creditFault, seed uint64) {
	const count = 6
	f := startCreditFleet(t, count, true, seed)
	defer f.stopAll()
	f.drive(creditSettlingTime + f.net.upTo(time.Second))
	owner := f.owner()
	if owner < 0 {
		t.Fatal("no owner after the start")
	}
	// The rest of the fault is judged with credits left.
	for i := range count {
		f.setIdle(i, true)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range count {
		f.setIdle(i, false)
	}
	at := f.now()
	fault.begin(f, owner)
	if fault.end != nil {
		f.drive(at + fault.lasts)
		fault.end(f, owner)
	}
	from := at
	if fault.untilEnd {
		from = f.now()
	}
	f.drive(f.now() + creditBounds.Window + 3*time.Second)
	if took := f.firstGrantAfter(from, owner); took > fault.within {
		t.Errorf("the next credit came after %s, want at most %s", took, fault.within)
	} else {
		t.Logf("the next credit came after %s", took)
	}
	if f.owner() < 0 {
		t.Error("no owner at the end")
	}
	t.Logf("at most %d credits in a window", f.checkWindows())
	if got := f.grantedBetween(f.now()-time.Second, f.now()); got < int(creditLimit.Rate*0.9) {
		t.Errorf("%d credits in the last second, want about %.0f", got, creditLimit.Rate)
	}
}

func (f *creditFleet) loseFrom(from string) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.loses = nil
	if from != "" {
		f.net.loses = func(sender, _ string) bool { return sender == from }
	}
}

func (f *creditFleet) loseTo(to string) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.loses = nil
	if to != "" {
		f.net.loses = func(_, receiver string) bool { return receiver == to }
	}
}

func (f *creditFleet) refuse(id string) {
	f.store.update(func() { f.store.behaviorByInstance = map[string]storeBehavior{id: storeRefuses} })
}

func (f *creditFleet) setStore(b storeBehavior) { f.store.update(func() { f.store.behavior = b }) }

func (f *creditFleet) setLateness(d time.Duration) {
	f.store.update(func() { f.store.ownerLateness = d })
}

func (f *creditFleet) restartAll(int) {
	for i := range f.nodes {
		f.kill(i)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range f.nodes {
		f.restart(i)
	}
}

// randomFaults disturb one instance, or the store if their instance is -1.
var randomFaults = []creditFault{
	{name: "killed", begin: (*creditFleet).kill, end: (*creditFleet).restart},
	{name: "stopped", begin: (*creditFleet).stop, end: (*creditFleet).restart},
	{name: "frozen", begin: (*creditFleet).freeze, end: (*creditFleet).thaw},
	{
		name:  "cut off",
		begin: func(f *creditFleet, i int) { f.net.setPartitioned(address(i), true) },
		end:   func(f *creditFleet, i int) { f.net.setPartitioned(address(i), false) },
	},
	{
		name:  "sends nothing",
		begin: func(f *creditFleet, i int) { f.loseFrom(address(i)) },
		end:   func(f *creditFleet, _ int) { f.loseFrom("") },
	},
	{
		name:  "refused by the store",
		begin: func(f *creditFleet, i int) { f.refuse(f.nodes[i].Self.ID) },
		end:   func(f *creditFleet, _ int) { f.refuse("") },
	},
	{
		name:  "store away",
		begin: func(f *creditFleet, _ int) { f.setStore(storeRefuses) },
		end:   func(f *creditFleet, _ int) { f.setStore(storeServes) },
	},
	{
		name:  "late appends",
		begin: func(f *creditFleet, _ int) { f.setLateness(700 * time.Millisecond) },
		end:   func(f *creditFleet, _ int) { f.setLateness(0) },
	},
	{
		name: "restored",
		begin: func(f *creditFleet, _ int) {
			f.store.restore(f.net.upTo(3 * time.Second))
		},
		end: func(*creditFleet, int) {},
	},
}

// Guards against credits beyond the bounds when faults of the owner, of other instances and of the store overlap, and against a fleet
// that finds no owner after them.
func TestCreditUnderRandomFaults(t *testing.T) {
	for seed := range *creditSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	const count, rounds = 6, 8
	random := rand.New(rand.NewPCG(seed, 7))
	f := startCreditFleet(t, count, true, seed)
	defer f.stopAll()
	f.drive(creditSettlingTime)
	for range rounds {
		kinds, instances := random.Perm(len(randomFaults))[:1+random.IntN(2)], random.Perm(count)
		if owner := f.owner(); owner >= 0 && random.IntN(2) == 0 {
			instances = append([]int{owner}, slices.DeleteFunc(instances, func(i int) bool { return i == owner })...)
		}
		for k, kind := range kinds {
			t.Logf("%s: %s, n%03d", f.now(), randomFaults[kind].name, instances[k])
			randomFaults[kind].begin(f, instances[k])
		}
		f.drive(f.now() + time.Duration(random.Int64N(int64(4*time.Second))))
		for k, kind := range kinds {
			randomFaults[kind].end(f, instances[k])
		}
		f.drive(f.now() + time.Duration(random.Int64N(int64(2*time.Second))))
	}
	f.drive(f.now() + creditBounds.Window + 7*time.Second)
	t.Logf("at most %d credits in a window", f.checkWindows())
	if got := f.grantedBetween(f.now()-time.Second, f.now()); got < int(creditLimit.Rate*0.9) {
		t.Errorf("%d credits in the last second, want about %.0f", got, creditLimit.Rate)
	}
}

// Guards against an owner that loses its lease, so that nobody gets credit, because the store takes long for each answer.
func TestSlowStoreKeepsCreditOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCreditFleet(t, 6, true, 1)
		defer f.stopAll()
		f.drive(creditSettlingTime)
		f.store.update(func() { f.store.slow, f.store.slowness = true, 800*time.Millisecond })
		slowSince := f.now()
		f.drive(slowSince + 10*time.Second)
		for from := slowSince; from < f.now(); from += time.Second {
			if got := f.grantedBetween(from, from+time.Second); got < int(creditLimit.Rate*0.9) {
				t.Errorf("%d credits in the second from %s on, want about %.0f", got, from, creditLimit.Rate)
			}
		}
		f.checkWindows()
	})
}

// Guards against an owner that loses its lease, or waits for the end of it, because answers to its appends were lost. The store serves
// its reads, which tell it that the appends were executed.
func TestOwnerWhoseAppendsGetNoAnswer(t *testing.T) {
	const interval, seeds = 100 * time.Millisecond, 10
	for losses := 1; losses <= 4; losses++ {
		longest := time.Duration(0)
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) { longest = max(longest, emptyAfterLostAnswers(t, seed, losses, interval)) })
		}
		t.Logf("%d lost answers: at most %s without credit", losses, longest)
		if longest > interval {
			t.Errorf("%s without credit after %d lost answers, want at most %s", longest, losses, interval)
		}
	}
}

// emptyAfterLostAnswers returns for how long nobody gets credit after answers to the appends of the owner were lost, in steps of an
// interval.
func emptyAfterLostAnswers(t *testing.T, seed uint64, losses int, interval time.Duration) time.Duration {
	f := startCreditFleet(t, 6, true, seed)
	defer f.stopAll()
	f.drive(creditSettlingTime)
	f.store.update(func() { f.store.ownerLosses = losses })
	from, empty := f.now(), time.Duration(0)
	f.drive(from + 10*time.Second)
	for at := from; at < f.now(); at += interval {
		if f.grantedBetween(at, at+interval) == 0 {
			empty += interval
		}
	}
	if f.store.ownerLosses > 0 {
		t.Errorf("seed %d: %d answers were not lost", seed, f.store.ownerLosses)
	}
	f.checkWindows()
	return empty
}

// Guards against calls for the lease that grow with the fleet, and against calls of a fleet that needs no credit.
func TestCreditOwnerStoreCalls(t *testing.T) {
	const span = 30 * time.Second
	for _, c := range []struct {
		instances int
		needed    bool
	}{{3, false}, {3, true}, {30, true}, {110, true}} {
		t.Run(fmt.Sprintf("%d instances, needed %v", c.instances, c.needed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startCreditFleet(t, c.instances, c.needed, uint64(c.instances))
				defer f.stopAll()
				time.Sleep(span)
				reads, appends := f.storeCalls()
				t.Logf("%d reads and %d appends in %s", reads, appends, span)
				limit := int64(0)
				if c.needed {
					limit = int64(span/credit.RenewInterval) + 10
				}
				if reads+appends > limit {
					t.Errorf("%d reads and %d appends in %s, want at most %d", reads, appends, span, limit)
				}
				if owns := f.owner() >= 0; owns != c.needed {
					t.Errorf("there is an owner: %v, want %v", owns, c.needed)
				}
			})
		})
	}
}

// Guards against credits that only virtual instances get: datagrams of asks and answers over sockets, from an owner in one zone to
// instances in both.
func TestCreditOverSockets(t *testing.T) {
	f := startFleet(t, 4)
	f.store.mu.Lock()
	f.store.configs = append(f.store.configs, &routes.Config{
		Version: 2, Services: []routes.Service{{Name: "s"}}, Workspaces: []routes.Workspace{{Name: creditKey.Name, Rate: creditLimit.Rate}},
	})
	f.store.mu.Unlock()
	owners := 0
	f.waitFor(t, "each instance gets a credit", func(n *Node) bool {
		_, denial := n.Credit().Acquire(context.Background(), creditKey, creditLimit)
		return denial == nil
	})
	for _, n := range f.nodes {
		if n.CreditStats().Owns {
			owners++
		}
	}
	if owners != 1 {
		t.Errorf("%d owners, want one", owners)
	}
}
