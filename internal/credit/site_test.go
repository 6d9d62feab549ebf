package credit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// site connects the pools of many instances with the ledgers of successive owners, by datagrams that may be lost, duplicated or
// late. It runs within a synctest bubble and records the requests that are sent with a credit.
type site struct {
	bounds    map[Kind]Bounds
	start     time.Time
	trouble   trouble
	instances []*siteInstance
	// ledgers are those of the instances that become owners, by turns.
	ledgers []*Ledger

	mu       sync.Mutex
	rng      *rand.Rand
	owner    *siteOwner
	beganAt  time.Duration
	began    int
	results  map[Key]*siteResult
	requests sync.WaitGroup
}

// trouble says which share of events goes wrong.
type trouble struct {
	// lost, duplicated and late are shares of the datagrams. A late one takes up to lateBy longer.
	lost, duplicated, late float64
	lateBy                 time.Duration
	// held is the share of requests that are held up to heldFor before they are sent, such as by a suspension. notRun is the share
	// of requests whose credit is returned.
	held, notRun float64
	heldFor      time.Duration
}

type siteInstance struct {
	name string
	pool *Pool
	mu   sync.Mutex
	// owner is the one that the instance knows of.
	owner *siteOwner
}

type siteOwner struct {
	ledger *Ledger
	mu     sync.Mutex
	lost   bool
}

// siteResult counts the requests of one key.
type siteResult struct {
	sent                                    []time.Duration
	exhausted, unavailable, expired, notRun int
}

func newSite(seed uint64, instances int, tr trouble) *site {
	s := &site{bounds: bothBounds(), start: time.Now(), trouble: tr, rng: rand.New(rand.NewPCG(seed, 1)),
		results: map[Key]*siteResult{}}
	for range 3 {
		s.ledgers = append(s.ledgers, NewLedger(s.bounds))
	}
	for n := range instances {
		i := &siteInstance{name: fmt.Sprint("i", n)}
		i.pool = NewPool(PoolConfig{Now: s.now, Bounds: s.bounds,
			Send:   func(a Ask) bool { return s.ask(i, a) },
			Refund: func(r Refund) { s.refund(i, r) }})
		s.instances = append(s.instances, i)
	}
	return s
}

func (s *site) now() time.Duration { return time.Since(s.start) }

// chance returns true with a probability.
func (s *site) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// leadTime is the time between the start of the instances and that of the traffic.
const leadTime = 10 * time.Second

// upTo returns a random time.
func (s *site) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Float64() * float64(d))
}

// post delivers a datagram.
func (s *site) post(deliver func()) {
	copies := 1
	if s.chance(s.trouble.lost) {
		copies = 0
	} else if s.chance(s.trouble.duplicated) {
		copies = 2
	}
	for range copies {
		delay := 500*time.Microsecond + s.upTo(2*time.Millisecond)
		if s.chance(s.trouble.late) {
			delay += s.upTo(s.trouble.lateBy)
		}
		time.AfterFunc(delay, deliver)
	}
}

func (i *siteInstance) knownOwner() *siteOwner {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.owner
}

func (s *site) ask(i *siteInstance, a Ask) bool {
	o := i.knownOwner()
	if o == nil {
		return false
	}
	s.post(func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.lost {
			return
		}
		answer := o.ledger.Grant(s.now(), i.name, a)
		s.post(func() { i.pool.HandleAnswer(answer) })
	})
	return true
}

func (s *site) refund(i *siteInstance, r Refund) {
	o := i.knownOwner()
	if o == nil {
		return
	}
	s.post(func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if !o.lost {
			o.ledger.Refund(s.now(), i.name, r)
		}
	})
}

// loseOwner ends the present ownership. The instances learn of it with the next one.
func (s *site) loseOwner() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return
	}
	s.owner.mu.Lock()
	s.owner.lost = true
	s.owner.mu.Unlock()
	s.owner = nil
}

// elect begins an ownership. Each instance learns of it some milliseconds later.
func (s *site) elect() {
	s.loseOwner()
	s.mu.Lock()
	o := &siteOwner{ledger: s.ledgers[s.began%len(s.ledgers)]}
	now, since := s.now(), time.Duration(-1)
	if s.began > 0 {
		since = now - s.beganAt
	}
	s.owner, s.beganAt, s.began = o, now, s.began+1
	s.mu.Unlock()
	o.ledger.Begin(now, since)
	for _, i := range s.instances {
		time.AfterFunc(s.upTo(5*time.Millisecond), func() { i.learn(o) })
	}
}

func (i *siteInstance) learn(o *siteOwner) {
	i.mu.Lock()
	i.owner = o
	i.mu.Unlock()
	i.pool.OwnerChanged()
}

// anyInstance picks an instance at random.
func (s *site) anyInstance() *siteInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[s.rng.IntN(len(s.instances))]
}

// request starts a request at an instance.
func (s *site) request(i *siteInstance, key Key, limit Limit) {
	s.requests.Go(func() {
		grant, denial := i.pool.Acquire(context.Background(), key, limit)
		if denial != nil {
			s.count(key, func(r *siteResult) { r.refuse(denial) })
			return
		}
		if s.chance(s.trouble.held) {
			time.Sleep(s.upTo(s.trouble.heldFor))
		}
		switch {
		case !grant.Valid(s.now()):
			i.pool.Return(grant)
			s.count(key, func(r *siteResult) { r.expired++ })
		case s.chance(s.trouble.notRun):
			time.Sleep(s.upTo(s.trouble.heldFor))
			i.pool.Return(grant)
			s.count(key, func(r *siteResult) { r.notRun++ })
		default:
			now := s.now()
			s.count(key, func(r *siteResult) { r.sent = append(r.sent, now) })
		}
	})
}

func (r *siteResult) refuse(d *Denial) {
	if d.Unavailable {
		r.unavailable++
	} else {
		r.exhausted++
	}
}

func (s *site) count(key Key, add func(*siteResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(s.result(key))
}

// result returns the counts of a key. It is called with the lock held, or after all requests have ended.
func (s *site) result(key Key) *siteResult {
	if s.results[key] == nil {
		s.results[key] = &siteResult{}
	}
	return s.results[key]
}

// finish waits for all requests and what drives them, and for the timers of the pools.
func (s *site) finish() {
	s.requests.Wait()
	time.Sleep(5 * time.Second)
}

// mostInWindow returns the largest number of requests within a window that starts at or after a time.
func (r *siteResult) mostInWindow(window, from time.Duration) int {
	sent := slices.Sorted(slices.Values(r.sent))
	sent = sent[len(sent)-countFrom(sent, from):]
	most, first := 0, 0
	for last, t := range sent {
		for sent[first] <= t-window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func countFrom(sorted []time.Duration, from time.Duration) int {
	i, _ := slices.BinarySearch(sorted, from)
	return len(sorted) - i
}

// drive starts requests at random times for a period, at a rate that may change, each at the instance that at returns.
func (s *site) drive(period time.Duration, rate func(time.Duration) float64, start func()) {
	until := s.now() + period
	for {
		s.mu.Lock()
		gap := time.Duration(s.rng.ExpFloat64() / rate(s.now()) * float64(time.Second))
		s.mu.Unlock()
		if s.now()+gap >= until {
			time.Sleep(until - s.now())
			return
		}
		time.Sleep(gap)
		start()
	}
}

// driveAside drives in a goroutine of its own, which finish waits for.
func (s *site) driveAside(period time.Duration, rate func(time.Duration) float64, start func()) {
	s.requests.Go(func() { s.drive(period, rate, start) })
}

// steady is a rate that does not change.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// allowance admits the requests that a token bucket of the limit itself would admit, so that the rest counts as below the limit.
type allowance struct {
	limit Limit
	level float64
	at    time.Duration
}

func newAllowance(l Limit) *allowance { return &allowance{limit: l, level: l.Burst} }

func (a *allowance) admit(now time.Duration) bool {
	a.level = min(a.level+a.limit.Rate*(now-a.at).Seconds(), max(a.limit.Burst, 1))
	a.at = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}
