package crashguard

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Guard holds the crash marks of one instance. It is safe for concurrent use.
type Guard struct {
	// spread passes a mark on to peers. It must not block.
	spread func(Fingerprint, []byte)
	// watched is the number of marks with a crash, also an answered one, and of losses without a verdict. While it is 0,
	// requests need no fingerprint.
	watched atomic.Int64

	mu    sync.Mutex
	marks map[Fingerprint]*mark
	// losses holds, by target, requests that lost their answer while it is open whether the target crashed.
	losses    map[string][]loss
	lossCount int
	// lossesOf counts the open losses of a request.
	lossesOf   map[Fingerprint]lossCounts
	suspectsOn map[string]struct{}
	// sum is the digest of the marks while summed is true.
	sum    uint64
	summed bool
	// answered holds requests that had a complete answer lately.
	answered history
	// vacated is closed and replaced when a suspect leaves a target.
	vacated chan struct{}
	// never is not closed. It makes held requests wait for their poll.
	never chan struct{}
	stats Stats
}

// Run is one run of a request on a target.
type Attempt struct {
	// Target is where the request was sent, and Incarnation the process that ran it, empty if that is not known.
	Target, Incarnation string
	// Began is when the request was sent, 0 if that is not known.
	SentAt time.Duration
}

// loss is a run whose answer was lost.
type loss struct {
	Attempt
	fingerprint Fingerprint
	at          time.Duration
	// verdictBy is until when a look is under way whether the target ended. It is 0 without one.
	verdictBy time.Duration
	// answered is true when the request had a complete answer since.
	answered bool
}

// lossCounts counts the open losses of a request, and those of them that a look follows.
type lossCounts struct{ open, looked int }

// New returns a guard. Spread is called with the lock held and must not block; nil disables it.
func New(spread func(Fingerprint, []byte)) *Guard {
	if spread == nil {
		spread = func(Fingerprint, []byte) {}
	}
	return &Guard{
		spread:     spread,
		marks:      map[Fingerprint]*mark{},
		losses:     map[string][]loss{},
		lossesOf:   map[Fingerprint]lossCounts{},
		suspectsOn: map[string]struct{}{},
		vacated:    make(chan struct{}),
		never:      make(chan struct{}),
	}
}

// Watching reports whether any request is suspect. While it is false, Enter admits everything.
func (g *Guard) Active() bool { return g.watched.Load() > 0 }

// Lost records that a request lost its answer on a target because the connection broke. The crash is counted when the target
// is known to have ended, or answers as another incarnation. Look is how long the caller looks for that.
func (g *Guard) ConnectionLost(now time.Duration, f Fingerprint, run Attempt, look time.Duration) {
	g.lose(loss{Attempt: run, fingerprint: f, at: now, verdictBy: now + look}, maxMarks)
}

// Unanswered records that a request got no answer from a target in its time, or that its caller left. Such losses are many
// under load, and take half of the room at most.
func (g *Guard) Unanswered(now time.Duration, f Fingerprint, run Attempt) {
	g.lose(loss{Attempt: run, fingerprint: f, at: now}, maxMarks/2)
}

func (g *Guard) lose(l loss, room int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(l.at)
	if g.lossCount >= room {
		return
	}
	g.losses[l.Target] = append(g.losses[l.Target], l)
	g.lossCount++
	g.countLoss(l, 1)
	g.stats.Losses++
	g.watch()
}

// countLoss counts an open loss of a request, by 1 or -1.
func (g *Guard) countLoss(l loss, by int) {
	counts := g.lossesOf[l.fingerprint]
	counts.open += by
	if l.verdictBy > 0 {
		counts.looked += by
	}
	if counts.open == 0 {
		delete(g.lossesOf, l.fingerprint)
		return
	}
	g.lossesOf[l.fingerprint] = counts
}

// Lives records that a target outlived the runs of a request that lost their answers there.
func (g *Guard) TargetSurvived(f Fingerprint, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgive(target, f)
	g.watch()
}

// lateEnd is how much later than the loss of an answer a target may end by the run that lost it.
const lateEnd = 500 * time.Millisecond

// Ended records that the process of a target ended, for example because it refuses connections: the requests that it lost
// count as crashes. AliveAt is when it last gave a sign of life, 0 if that is not known; what it lost well before that did not
// end it.
func (g *Guard) TargetTerminated(now time.Duration, target string, aliveAt time.Duration) {
	g.resolve(now, target, func(l loss) bool { return aliveAt <= l.at+lateEnd })
}

// Restarted records that a target started again under its name. Signs of life do not tell the two processes apart, so that a
// connection that broke counts whenever the last one was.
func (g *Guard) TargetRestarted(now time.Duration, target string, aliveAt time.Duration) {
	g.resolve(now, target, func(l loss) bool { return l.verdictBy > 0 || aliveAt <= l.at+lateEnd })
}

// Seen records that a target answered as an incarnation. Requests that another incarnation lost count as crashes; those
// of the same incarnation do not.
func (g *Guard) IncarnationSeen(now time.Duration, target, incarnation string) {
	g.resolve(now, target, func(l loss) bool { return l.Incarnation != "" && l.Incarnation != incarnation })
}

func (g *Guard) resolve(now time.Duration, target string, crashed func(loss) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.losses[target]
	if len(list) == 0 {
		return
	}
	delete(g.losses, target)
	for _, l := range list {
		g.close(l)
		if crashed(l) {
			g.count(now, l)
		}
	}
	g.watch()
}

// close counts a loss that is no longer open.
func (g *Guard) close(l loss) {
	g.lossCount--
	g.countLoss(l, -1)
}

func (g *Guard) count(now time.Duration, l loss) {
	m := g.mark(now, l.fingerprint)
	if m.add(now, m.crashOf(l)) {
		g.stats.Crashes++
		m.last = now
		g.spread(l.fingerprint, m.encode(now))
	}
}

// Answered records a complete answer that is no failure of the target. It clears the mark of the request, and reports whether
// there was one. A failure proves nothing: a request may crash one target and fail on the next.
func (g *Guard) Answered(now time.Duration, f Fingerprint) (cleared bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered.add(f)
	if g.watched.Load() == 0 {
		return false
	}
	g.answerLosses(f)
	if m := g.marks[f]; m != nil {
		m.answers++
		cleared = m.suspect()
		if cleared {
			m.clear(g.explained(m))
			m.last = now
			g.stats.Cleared++
			g.spread(f, m.encode(now))
		}
	}
	g.watch()
	return cleared
}

// answerLosses notes for the open losses of a request that it was answered since.
func (g *Guard) answerLosses(f Fingerprint) {
	if g.lossesOf[f].open == 0 {
		return
	}
	for _, list := range g.losses {
		for i := range list {
			list[i].answered = list[i].answered || list[i].fingerprint == f
		}
	}
}

// explained reports whether another request with enough crashes was in flight at each crash of a mark.
func (g *Guard) explained(m *mark) bool {
	for _, o := range g.marks {
		if o != m && o.enough() && o.explains(m) {
			return true
		}
	}
	return false
}

// forgive forgets the open losses of a request on a target.
func (g *Guard) forgive(target string, f Fingerprint) {
	if g.lossesOf[f].open > 0 {
		g.dropLosses(target, func(l loss) bool { return l.fingerprint == f })
	}
}

// dropLosses forgets open losses on a target.
func (g *Guard) dropLosses(target string, drop func(loss) bool) {
	kept := slices.DeleteFunc(g.losses[target], func(l loss) bool {
		dropped := drop(l)
		if dropped {
			g.close(l)
		}
		return dropped
	})
	g.losses[target] = kept
	if len(kept) == 0 {
		delete(g.losses, target)
	}
}

// Receive merges a mark of a peer and reports whether it is news.
func (g *Guard) Receive(now time.Duration, f Fingerprint, data []byte) (bool, error) {
	remote, err := decodeMark(now, data)
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	if g.marks[f] == nil {
		// A mark that was pulled from a peer keeps its age, so that marks do not renew each other.
		g.mark(now, f).last = remote.last
	}
	news := g.marks[f].merge(now, remote)
	if news {
		g.stats.FromPeers++
	}
	g.watch()
	return news, nil
}

// mark returns the mark of a fingerprint. A new one takes the place of the oldest when there is no room.
func (g *Guard) mark(now time.Duration, f Fingerprint) *mark {
	if m := g.marks[f]; m != nil {
		return m
	}
	g.expire(now)
	if len(g.marks) >= maxMarks {
		g.dropOldest()
	}
	m := &mark{last: now}
	g.marks[f] = m
	return m
}

func (g *Guard) dropOldest() {
	var oldest Fingerprint
	var found *mark
	for f, m := range g.marks {
		if found == nil || m.last < found.last {
			oldest, found = f, m
		}
	}
	delete(g.marks, oldest)
}

// expire forgets marks and open losses whose lifetime has passed.
func (g *Guard) expire(now time.Duration) {
	maps.DeleteFunc(g.marks, func(_ Fingerprint, m *mark) bool { return now-m.last >= markLifetime && m.trial == nil })
	for target := range g.losses {
		g.dropLosses(target, func(l loss) bool { return now-l.at >= lossLifetime })
	}
}

// watch counts what is watched after a change.
func (g *Guard) watch() {
	g.summed = false
	watched := int64(g.lossCount)
	for _, m := range g.marks {
		if len(m.crashes) > 0 {
			watched++
		}
	}
	g.watched.Store(watched)
}
