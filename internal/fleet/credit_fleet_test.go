package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/routes"
)

const (
	creditZones = 3
	// creditInterval is the time between two requests on each instance.
	creditInterval = 10 * time.Millisecond
	// creditSettlingTime is longer than the start of a fleet takes until it has an owner.
	creditSettlingTime = 4 * time.Second
)

// The limit of the tests. Six instances ask for three times as many credits.
var (
	creditBounds = credit.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	creditLimit  = credit.Limit{Rate: 200, Burst: 100, Version: 1}
	creditKey    = credit.Key{Kind: credit.WorkspaceQuota, Name: "w"}
)

// creditFleet is a fleet in virtual time whose instances acquire credits of one limit.
type creditFleet struct {
	t         *testing.T
	net       *virtualNet
	store     *virtualStore
	nodes     []*Node
	stops     []func()
	startedAt time.Time
	resumes   map[int]func()

	mu sync.Mutex
	// idle are the instances that acquire nothing.
	idle   map[int]bool
	grants []creditGrant
}

// creditGrant is a credit that was granted to an instance at a time.
type creditGrant struct {
	at       time.Duration
	instance int
}

// startCreditFleet starts a fleet in a synctest bubble. needsCredit is false for a configuration without shared limits.
func startCreditFleet(t *testing.T, count int, needsCredit bool, seed uint64) *creditFleet {
	t.Helper()
	f := &creditFleet{
		t: t, startedAt: time.Now(), nodes: make([]*Node, count), stops: make([]func(), count), idle: map[int]bool{}, resumes: map[int]func(){},
		net:   &virtualNet{random: rand.New(rand.NewPCG(seed, 23)), nodes: map[string]*Node{}, partitioned: map[string]bool{}, lossRate: 0.01},
		store: &virtualStore{era: 1},
	}
	if needsCredit {
		f.store.workspaces = []routes.Workspace{{Name: creditKey.Name, Rate: creditLimit.Rate, Burst: creditLimit.Burst}}
	}
	for i := range count {
		f.start(i)
	}
	return f
}

func (f *creditFleet) now() time.Duration { return time.Since(f.startedAt) }

func (f *creditFleet) start(i int) {
	self := discovery.Member{ID: fmt.Sprintf("n%03d", i), Zone: fmt.Sprintf("z%d", i%creditZones), Address: address(i), Capacity: testCapacity}
	log := slog.New(slog.DiscardHandler)
	if *scheduleTrace {
		log = slog.New(slog.NewTextHandler(os.Stdout, nil)).With("instance", self.ID)
	}
	seeds := []string{"10.0.0.1", "10.0.1.2", "10.0.2.3"}
	f.nodes[i], f.stops[i] = startVirtualNode(f.net, f.store, self, seeds, log, func(c *Config) {
		c.CreditBounds = map[credit.Kind]credit.Bounds{credit.WorkspaceQuota: creditBounds}
	})
}

// stop stops an instance as planned.
func (f *creditFleet) stop(i int) {
	f.setIdle(i, true)
	f.stops[i]()
	f.stops[i] = nil
}

// kill cuts an instance off, so that nobody hears that it stops.
func (f *creditFleet) kill(i int) {
	f.net.setPartitioned(address(i), true)
	f.stop(i)
}

// restart starts a stopped instance again.
func (f *creditFleet) restart(i int) {
	f.net.setPartitioned(address(i), false)
	f.start(i)
	f.setIdle(i, false)
}

// freeze blocks the control loop and the socket of an instance.
func (f *creditFleet) freeze(i int) {
	f.setIdle(i, true)
	n, reply := f.nodes[i], make(chan State)
	f.net.pause(address(i))
	go func() { n.inbox <- stateRequested{reply: reply} }()
	f.resumes[i] = func() {
		f.net.resume(address(i))
		<-reply
	}
}

func (f *creditFleet) thaw(i int) {
	f.resumes[i]()
	f.setIdle(i, false)
}

func (f *creditFleet) setIdle(i int, idle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle[i] = idle
}

func (f *creditFleet) isIdle(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle[i]
}

// drive makes all instances acquire credits until a time since the start.
func (f *creditFleet) drive(until time.Duration) {
	for f.now() < until {
		for i, n := range f.nodes {
			if !f.isIdle(i) {
				go f.acquire(i, n)
			}
		}
		time.Sleep(creditInterval)
	}
}

func (f *creditFleet) acquire(i int, n *Node) {
	grant, denial := n.Credit().Acquire(context.Background(), creditKey, creditLimit)
	if denial != nil || !grant.Valid(n.Now()) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants = append(f.grants, creditGrant{f.now(), i})
}

// owner returns the instance that is the owner, -1 if none is.
func (f *creditFleet) owner() int {
	for i, n := range f.nodes {
		if f.stops[i] != nil && !f.isIdle(i) && n.CreditStats().Owns {
			return i
		}
	}
	return -1
}

// firstGrantAfter returns how long after a time the first credit was granted to any instance but some.
func (f *creditFleet) firstGrantAfter(at time.Duration, except ...int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.grants {
		if g.at > at && !slices.Contains(except, g.instance) {
			return g.at - at
		}
	}
	return time.Hour
}

// checkWindows checks that no window holds more grants than allowed, and returns the largest number of grants in one.
func (f *creditFleet) checkWindows() int {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := int((creditLimit.Rate*creditBounds.Window.Seconds()+creditLimit.Burst)*(1+creditBounds.Overage) + creditBounds.Slack)
	slices.SortFunc(f.grants, func(a, b creditGrant) int { return int(a.at - b.at) })
	largest, from := 0, 0
	for i, g := range f.grants {
		for f.grants[from].at <= g.at-creditBounds.Window {
			from++
		}
		largest = max(largest, i+1-from)
	}
	if largest > allowed {
		f.t.Errorf("%d credits were granted within %s, want at most %d", largest, creditBounds.Window, allowed)
	}
	return largest
}

// grantedBetween returns the number of credits that were granted between two times.
func (f *creditFleet) grantedBetween(from, to time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, g := range f.grants {
		if g.at >= from && g.at < to {
			count++
		}
	}
	return count
}

// storeCalls returns the number of calls for the lease by all instances that run.
func (f *creditFleet) storeCalls() (reads, appends int64) {
	for _, n := range f.nodes {
		n.Traffic().EachCall(func(call StoreCall, count int64) {
			switch call {
			case CallCreditOwner:
				reads += count
			case CallPutCreditOwner:
				appends += count
			default:
			}
		})
	}
	return reads, appends
}

func (f *creditFleet) stopAll() {
	for i, stop := range f.stops {
		if stop != nil {
			f.stop(i)
		}
	}
	// Calls in flight end by themselves.
	time.Sleep(time.Minute)
}
