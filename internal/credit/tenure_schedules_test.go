package credit

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

var (
	tenureSchedules = flag.Int("tenure-schedules", 400, "number of random schedules of candidates")
	tenureSeed      = flag.Uint64("tenure-seed", 1, "seed of the first schedule")
)

const (
	tenureTick = 5 * time.Millisecond
	// disturbedTime is the part of a schedule with faults, and healedTime the part without any in which one instance has to become
	// the owner.
	disturbedTime = 20 * time.Second
	healedTime    = maxRetry + 2*TTL + 2*time.Second
	// testCallTimeout is the timeout of a call without an answer.
	testCallTimeout = 900 * time.Millisecond
)

var errTestStore = errors.New("the store did not answer")

// tenureStore is a store with one topic of owner records. A restore takes away the newest records.
type tenureStore struct {
	era     int64
	records []OwnerRecord
	refuses map[int]bool
	down    bool
	// lateShare is the share of appends that are executed late without an answer, and lostShare the share of lost answers.
	lateShare, lostShare float64
}

func (s *tenureStore) end() topic.Position {
	return topic.Position{Era: s.era, Offset: int64(len(s.records))}
}

func (s *tenureStore) append(r OwnerRecord, at topic.Position) (topic.Position, bool) {
	if at.Offset != s.end().Offset {
		return s.end(), false
	}
	s.records = append(s.records, r)
	return s.end(), true
}

// tenureCandidate is one instance of a schedule.
type tenureCandidate struct {
	index       int
	tenure      *Tenure
	startedAt   time.Duration
	pausedUntil time.Duration
	dead        bool
	// minority is whether it does not hear from the majority.
	minority bool
	// wasOwner is whether it was the owner at the last check.
	wasOwner bool
}

// tenureSchedule runs candidates through a random schedule of faults in virtual time.
type tenureSchedule struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	now        time.Duration
	store      *tenureStore
	candidates []*tenureCandidate
	events     []tenureEvent
	starts     int64
	healed     bool
	lossRate   float64
	// lastOwner was the owner last. Its ownership began at lastBeganAt.
	lastOwner   Holder
	lastBeganAt time.Duration
	takeovers   int
}

// tenureEvent runs at a time, or later if its candidate is paused. It is dropped if the candidate was restarted.
type tenureEvent struct {
	at     time.Duration
	tenure *Tenure
	run    func()
}

func (s *tenureSchedule) after(d time.Duration, owner *Tenure, run func()) {
	s.events = append(s.events, tenureEvent{s.now + d, owner, run})
}

func (s *tenureSchedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *tenureSchedule) start(c *tenureCandidate) {
	s.starts++
	id := fmt.Sprintf("i%d", c.index)
	c.tenure = NewTenure(Holder{ID: id, Address: id + ":1", Started: s.starts})
	c.startedAt, c.dead, c.pausedUntil, c.wasOwner = s.now, false, 0, false
}

// clock returns the time on the clock of a candidate.
func (s *tenureSchedule) clock(c *tenureCandidate) time.Duration { return s.now - c.startedAt }

func (s *tenureSchedule) runnable(c *tenureCandidate) bool { return !c.dead && s.now >= c.pausedUntil }

func (s *tenureSchedule) runDueEvents() {
	due := slices.Clone(s.events)
	s.events = s.events[:0]
	for _, e := range due {
		c := s.candidateOf(e.tenure)
		switch {
		case e.at > s.now || c != nil && s.now < c.pausedUntil:
			s.events = append(s.events, e)
		case e.tenure == nil || c != nil && !c.dead:
			e.run()
		}
	}
}

func (s *tenureSchedule) candidateOf(tenure *Tenure) *tenureCandidate {
	for _, c := range s.candidates {
		if tenure != nil && c.tenure == tenure {
			return c
		}
	}
	return nil
}

// step lets a candidate make the call that is due.
func (s *tenureSchedule) step(c *tenureCandidate, rank int) {
	step, at := c.tenure.Next(Situation{Now: s.clock(c), MayCall: true, Rank: rank, Era: c.tenure.era, Minority: c.minority})
	switch step {
	case ReadStep:
		s.read(c)
	case AppendStep:
		s.append(c, at)
	case NoStep:
	}
}

func (s *tenureSchedule) unreachable(c *tenureCandidate) bool {
	return s.store.down || s.store.refuses[c.index]
}

func (s *tenureSchedule) read(c *tenureCandidate) {
	tenure := c.tenure
	if s.unreachable(c) || s.random.Float64() < s.store.lostShare {
		s.after(s.upTo(testCallTimeout), tenure, func() { tenure.ReadDone(s.clock(c), nil, topic.Position{}, errTestStore) })
		return
	}
	s.after(s.upTo(100*time.Millisecond), nil, func() {
		var newest *OwnerRecord
		if n := len(s.store.records); n > 0 {
			record := s.store.records[n-1]
			newest = &record
		}
		end := s.store.end()
		s.after(s.upTo(100*time.Millisecond), tenure, func() { tenure.ReadDone(s.clock(c), newest, end, nil) })
	})
}

func (s *tenureSchedule) append(c *tenureCandidate, at topic.Position) {
	tenure, startedAt := c.tenure, s.clock(c)
	record := tenure.Record(startedAt, at)
	fail := func(d time.Duration) {
		s.after(d, tenure, func() { tenure.AppendDone(s.clock(c), AppendResult{StartedAt: startedAt, At: at, Failed: true}) })
	}
	switch {
	case s.unreachable(c):
		fail(s.upTo(testCallTimeout))
	case s.random.Float64() < s.store.lateShare:
		fail(testCallTimeout)
		s.after(s.upTo(4*time.Second), nil, func() { s.store.append(record, at) })
	default:
		s.after(s.upTo(100*time.Millisecond), nil, func() {
			end, appended := s.store.append(record, at)
			if s.random.Float64() < s.store.lostShare {
				fail(testCallTimeout)
				return
			}
			s.after(s.upTo(100*time.Millisecond), tenure, func() {
				tenure.AppendDone(s.clock(c), AppendResult{StartedAt: startedAt, At: at, End: end, Conflict: !appended})
			})
		})
	}
}

// announce sends what a candidate knows to the others.
func (s *tenureSchedule) announce(c *tenureCandidate) {
	s.sendHeartbeat(c)
	if a, ok := c.tenure.Announcement(s.clock(c)); ok {
		s.broadcast(c, a)
	}
}

// sendHeartbeat tells the others which incarnation of a candidate runs.
func (s *tenureSchedule) sendHeartbeat(from *tenureCandidate) {
	running := from.tenure.self
	for _, c := range s.candidates {
		if c == from || s.random.Float64() < s.lossRate {
			continue
		}
		tenure := c.tenure
		s.after(s.upTo(50*time.Millisecond), tenure, func() { tenure.HolderRestarted(s.clock(c), running.ID, running.Started) })
	}
}

func (s *tenureSchedule) broadcast(from *tenureCandidate, a Announcement) {
	for _, c := range s.candidates {
		if c == from || s.random.Float64() < s.lossRate {
			continue
		}
		tenure := c.tenure
		s.after(s.upTo(50*time.Millisecond), tenure, func() { tenure.Heard(s.clock(c), a) })
	}
}

// disturb applies one random fault.
func (s *tenureSchedule) disturb() {
	c := s.candidates[s.random.IntN(len(s.candidates))]
	switch s.random.IntN(11) {
	case 0:
		s.store.down = !s.store.down
	case 1:
		s.store.refuses[c.index] = !s.store.refuses[c.index]
	case 2:
		s.store.lateShare = s.random.Float64() * 0.7
	case 3:
		s.store.lostShare = s.random.Float64() * 0.5
	case 4:
		s.store.records = s.store.records[:s.random.IntN(len(s.store.records)+1)]
		s.store.era++
	case 5:
		c.pausedUntil = s.now + s.upTo(4*time.Second)
	case 6:
		c.dead = !c.dead
		if !c.dead {
			s.start(c)
		}
	case 9:
		c.minority = !c.minority
	case 7:
		s.lossRate = s.random.Float64()
	case 8:
		if a, ok := c.tenure.Release(s.clock(c)); ok {
			s.broadcast(c, a)
		}
		s.start(c)
	case 10:
		// A crash after which the process is restarted at once.
		s.start(c)
	}
}

// restartChallenger restarts the writer of the newest record if that is a challenge, which makes nobody the owner.
func (s *tenureSchedule) restartChallenger() {
	n := len(s.store.records)
	if n == 0 || !s.store.records[n-1].Challenge {
		return
	}
	for _, c := range s.candidates {
		if c.tenure.self == s.store.records[n-1].Holder {
			s.start(c)
		}
	}
}

// heal ends all faults.
func (s *tenureSchedule) heal() {
	s.healed, s.lossRate = true, 0
	s.store.down, s.store.lateShare, s.store.lostShare = false, 0, 0
	clear(s.store.refuses)
	for _, c := range s.candidates {
		c.pausedUntil, c.minority = 0, false
		if c.dead {
			s.start(c)
		}
	}
}

// owners returns the candidates with a valid lease. A paused one may still use its lease when it resumes.
func (s *tenureSchedule) owners() []*tenureCandidate {
	var owners []*tenureCandidate
	for _, c := range s.candidates {
		if !c.dead && c.tenure.owns && s.clock(c) < c.tenure.ownUntil {
			owners = append(owners, c)
		}
	}
	return owners
}

// check verifies that at most one candidate has a valid lease, and that each takeover was described correctly.
func (s *tenureSchedule) check() bool {
	owners := s.owners()
	if len(owners) > 1 {
		s.t.Errorf("seed %d, at %s: %d owners: %+v and %+v", s.seed, s.now, len(owners), *owners[0].tenure, *owners[1].tenure)
		return false
	}
	for _, c := range s.candidates {
		owns := len(owners) == 1 && owners[0] == c
		if owns && !c.wasOwner && !s.checkTakeover(c) {
			return false
		}
		c.wasOwner = owns
	}
	if len(owners) == 1 {
		s.lastOwner = owners[0].tenure.self
	}
	return true
}

func (s *tenureSchedule) checkTakeover(c *tenureCandidate) bool {
	s.takeovers++
	takeover := c.tenure.LastTakeover()
	switch {
	case takeover.Continued && s.lastOwner != c.tenure.self:
		s.t.Errorf("seed %d, at %s: %v continued, but %v was the owner before", s.seed, s.now, c.tenure.self, s.lastOwner)
		return false
	case !takeover.Continued && s.lastOwner.ID != "" && (takeover.SincePrevious < 0 || takeover.SincePrevious > s.now-s.lastBeganAt):
		s.t.Errorf("seed %d, at %s: %v took over %s after the last ownership, which began %s ago", s.seed, s.now, c.tenure.self,
			takeover.SincePrevious, s.now-s.lastBeganAt)
		return false
	case !takeover.Continued:
		s.lastBeganAt = s.now
	}
	return true
}

func (s *tenureSchedule) tick() bool {
	s.runDueEvents()
	rank := 0
	for _, c := range s.candidates {
		if !s.runnable(c) {
			continue
		}
		s.step(c, rank)
		if s.random.IntN(20) == 0 {
			s.announce(c)
		}
		// Instances that do not hear from each other all consider themselves the first.
		if s.random.Float64() > s.lossRate {
			rank++
		}
	}
	if !s.healed && s.random.IntN(160) == 0 {
		s.disturb()
	}
	if !s.healed && s.random.IntN(40) == 0 {
		s.restartChallenger()
	}
	return s.check()
}

func (s *tenureSchedule) run() {
	for range 2 + s.random.IntN(4) {
		c := &tenureCandidate{index: len(s.candidates)}
		s.candidates = append(s.candidates, c)
		s.start(c)
	}
	for ; s.now < disturbedTime+healedTime; s.now += tenureTick {
		if s.now >= disturbedTime && !s.healed {
			s.heal()
		}
		if !s.tick() {
			return
		}
	}
	if len(s.owners()) != 1 {
		s.t.Errorf("seed %d: no owner %s after the last fault", s.seed, healedTime)
	}
}

// Guards against two owners at the same time, against no owner after the last fault, and against a ledger that is continued
// although another instance granted credits: with a store that is down, refuses some, executes appends late, loses answers or is
// restored from an older copy, and with instances that pause, restart, stop or do not hear from each other.
func TestTenureSchedules(t *testing.T) {
	takeovers := 0
	for i := range uint64(*tenureSchedules) {
		seed := *tenureSeed + i
		s := &tenureSchedule{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), store: &tenureStore{era: 1, refuses: map[int]bool{}},
		}
		s.run()
		takeovers += s.takeovers
		if t.Failed() {
			return
		}
	}
	if takeovers < *tenureSchedules {
		t.Errorf("%d takeovers in %d schedules: the schedules exercise nothing", takeovers, *tenureSchedules)
	}
	t.Logf("%d takeovers in %d schedules", takeovers, *tenureSchedules)
}
