package crashguard

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Guard holds the crash marks of one instance. It is safe for concurrent use.
type Guard struct {
	// broadcast sends a mark to peers. It must not block.
	broadcast func(Fingerprint, []byte)
	// activeCount is the number of marks with at least one crash plus the number of pending losses. While it is 0,
	// requests need no fingerprint before they are answered.
	activeCount atomic.Int64

	mu    sync.Mutex
	marks map[Fingerprint]*mark
	// pendingLosses holds, by target, the lost answers for which it is not known yet whether the target crashed.
	pendingLosses map[string][]loss
	// pendingCount is the total number of pending losses.
	pendingCount int
	// pendingByRequest counts the pending losses of each request.
	pendingByRequest map[Fingerprint]lossCounts
	// targetsWithSuspect is the set of targets that are running a suspect.
	targetsWithSuspect map[string]struct{}
	// digest is the cached result of Digest. It is valid while digestValid is true.
	digest      uint64
	digestValid bool
	// history counts the recent complete answers.
	history answerHistory
	// targetReleased is closed and replaced when a target no longer runs a suspect.
	targetReleased chan struct{}
	// neverClosed is returned to requests that must wait but have no event to wait for. They wait for PollInterval.
	neverClosed chan struct{}
	// instance identifies this instance in answerCounts.
	instance uint32
	// trialJitter is the part of a trial's delay by which this instance tries later.
	trialJitter float64
	stats       Stats
}

// Attempt describes a request that was sent to a target.
type Attempt struct {
	// Target is where the request was sent. Incarnation identifies the target's process, or is empty if unknown.
	Target, Incarnation string
	// SentAt is when the request was sent, or 0 if unknown.
	SentAt time.Duration
}

// loss is an attempt whose answer was lost.
type loss struct {
	Attempt
	fingerprint Fingerprint
	lostAt      time.Duration
	// checkUntil is the time until which the caller checks whether the target's process terminated, or 0 without a check.
	checkUntil time.Duration
	// answered is true if the request has received a complete answer since.
	answered bool
}

// lossCounts counts the pending losses of a request, and those of them with a check of the target and without an answer since.
type lossCounts struct{ pending, unanswered int }

// New returns a guard. It calls broadcast for each change of a mark that peers should learn of. Broadcast is called with
// the guard's lock held, so it must not block or call the guard. It may be nil.
func New(broadcast func(Fingerprint, []byte)) *Guard {
	if broadcast == nil {
		broadcast = func(Fingerprint, []byte) {}
	}
	return &Guard{
		broadcast:          broadcast,
		marks:              map[Fingerprint]*mark{},
		pendingLosses:      map[string][]loss{},
		pendingByRequest:   map[Fingerprint]lossCounts{},
		targetsWithSuspect: map[string]struct{}{},
		targetReleased:     make(chan struct{}),
		neverClosed:        make(chan struct{}),
		instance:           rand.Uint32(),
		trialJitter:        trialJitter * rand.Float64(),
	}
}

// Active reports whether there are marks with crashes or pending losses. While it is false, Admit admits every request.
func (g *Guard) Active() bool { return g.activeCount.Load() > 0 }

// ConnectionLost records that a request lost its answer because the connection to the target broke. It counts as a crash
// when the target's process is found to have terminated, or when the target answers as another incarnation. The caller
// checks this for the duration checkFor.
func (g *Guard) ConnectionLost(now time.Duration, f Fingerprint, attempt Attempt, checkFor time.Duration) {
	g.addLoss(loss{Attempt: attempt, fingerprint: f, lostAt: now, checkUntil: now + checkFor}, maxMarks)
}

// Unanswered records that a request timed out at a target, or that its caller left before the answer. Such losses are
// frequent under load, so they may take up at most half of the capacity for pending losses.
func (g *Guard) Unanswered(now time.Duration, f Fingerprint, attempt Attempt) {
	g.addLoss(loss{Attempt: attempt, fingerprint: f, lostAt: now}, maxMarks/2)
}

// addLoss adds a pending loss unless there are limit pending losses already.
func (g *Guard) addLoss(l loss, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(l.lostAt)
	if g.pendingCount >= limit {
		g.stats.DroppedLosses++
		return
	}
	g.pendingLosses[l.Target] = append(g.pendingLosses[l.Target], l)
	g.pendingCount++
	g.updateLossCounts(l, 1)
	g.stats.Losses++
	g.updateActive()
}

// updateLossCounts adds delta, 1 or -1, to the counts of the request of a pending loss.
func (g *Guard) updateLossCounts(l loss, delta int) {
	counts := g.pendingByRequest[l.fingerprint]
	counts.pending += delta
	if l.checkUntil > 0 && !l.answered {
		counts.unanswered += delta
	}
	if counts.pending == 0 {
		delete(g.pendingByRequest, l.fingerprint)
		return
	}
	g.pendingByRequest[l.fingerprint] = counts
}

// TargetSurvived records that a target is still running after a request lost answers there. It drops the pending losses of
// the request on this target.
func (g *Guard) TargetSurvived(f Fingerprint, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clearLosses(target, f)
	g.updateActive()
}

// maxTerminationDelay is the longest time between the loss of an answer and the termination of the target's process for
// which the request may be the cause.
const maxTerminationDelay = 500 * time.Millisecond

// TargetTerminated records that the process of a target has terminated, for example because it refuses connections. The
// pending losses on this target count as crashes, except those more than maxTerminationDelay before lastSeen, which did
// not terminate it. LastSeen is when the target was last known to be running, or 0 if unknown.
func (g *Guard) TargetTerminated(now time.Duration, target string, lastSeen time.Duration) {
	g.resolveLosses(now, target, func(l loss) bool { return lastSeen <= l.lostAt+maxTerminationDelay })
}

// TargetRestarted records that a target was restarted under the same name. LastSeen may stem from either process, so
// broken connections count as crashes regardless of it. Other losses are treated as by TargetTerminated.
func (g *Guard) TargetRestarted(now time.Duration, target string, lastSeen time.Duration) {
	g.resolveLosses(now, target, func(l loss) bool { return l.checkUntil > 0 || lastSeen <= l.lostAt+maxTerminationDelay })
}

// IncarnationSeen records that a target answered as the given incarnation. Pending losses of another incarnation count as
// crashes; those of the same or an unknown incarnation are dropped.
func (g *Guard) IncarnationSeen(now time.Duration, target, incarnation string) {
	g.resolveLosses(now, target, func(l loss) bool { return l.Incarnation != "" && l.Incarnation != incarnation })
}

// resolveLosses ends all pending losses on a target and records those for which crashed returns true as crashes.
func (g *Guard) resolveLosses(now time.Duration, target string, crashed func(loss) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.pendingLosses[target]
	if len(list) == 0 {
		return
	}
	delete(g.pendingLosses, target)
	for _, l := range list {
		g.closeLoss(l)
		if crashed(l) {
			g.recordCrash(now, l)
		}
	}
	g.updateActive()
}

// closeLoss updates the counts for a loss that is no longer pending.
func (g *Guard) closeLoss(l loss) {
	g.pendingCount--
	g.updateLossCounts(l, -1)
}

// recordCrash adds the crash that a loss turned out to be to the mark of its request, and broadcasts the mark.
func (g *Guard) recordCrash(now time.Duration, l loss) {
	m := g.getOrCreateMark(now, l.fingerprint)
	c := m.crashFor(l)
	c.simultaneous = m.joinsEarlier(now)
	if m.addCrash(now, c) {
		g.stats.Crashes++
		m.updatedAt = now
		g.tell(now, l.fingerprint, m)
	}
}

// tell sends a mark to the peers.
func (g *Guard) tell(now time.Duration, f Fingerprint, m *mark) {
	m.answers.told = m.answers.here
	g.broadcast(f, m.encode(now, g.instance))
}

// Answered records a complete answer that is not a failure of the target. It clears the mark of the request, and reports
// whether the request was suspect. Failures must not be recorded, because they prove nothing: a request may crash one
// target and fail on the next.
func (g *Guard) Answered(now time.Duration, f Fingerprint) (cleared bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !f.isOfCaller() {
		g.history.add(f)
	}
	if g.activeCount.Load() == 0 {
		return false
	}
	g.markLossesAnswered(f)
	if m := g.marks[f]; m != nil {
		m.answers.add()
		cleared = m.suspect()
		if cleared {
			m.clear(g.explainedByOthers(m))
			m.updatedAt = now
			g.stats.Cleared++
			g.tell(now, f, m)
		}
	}
	g.updateActive()
	return cleared
}

// markLossesAnswered records for the pending losses of a request that it has been answered since.
func (g *Guard) markLossesAnswered(f Fingerprint) {
	counts := g.pendingByRequest[f]
	if counts.pending == 0 {
		return
	}
	counts.unanswered = 0
	g.pendingByRequest[f] = counts
	for _, list := range g.pendingLosses {
		for i := range list {
			list[i].answered = list[i].answered || list[i].fingerprint == f
		}
	}
}

// explainedByOthers reports whether another request with enough crashes to be refused was in flight at each unanswered
// crash of a mark.
func (g *Guard) explainedByOthers(m *mark) bool {
	for _, o := range g.marks {
		if o != m && !o.ofCaller && o.refusable() && o.explains(m) {
			return true
		}
	}
	return false
}

// clearLosses drops the pending losses of a request on a target.
func (g *Guard) clearLosses(target string, f Fingerprint) {
	if g.pendingByRequest[f].pending > 0 {
		g.dropLosses(target, func(l loss) bool { return l.fingerprint == f })
	}
}

// dropLosses drops the pending losses on a target for which drop returns true.
func (g *Guard) dropLosses(target string, drop func(loss) bool) {
	remaining := slices.DeleteFunc(g.pendingLosses[target], func(l loss) bool {
		dropped := drop(l)
		if dropped {
			g.closeLoss(l)
		}
		return dropped
	})
	g.pendingLosses[target] = remaining
	if len(remaining) == 0 {
		delete(g.pendingLosses, target)
	}
}

// Receive merges a mark that a peer sent, and reports whether it changed anything. The error is a *FormatError.
func (g *Guard) Receive(now time.Duration, f Fingerprint, data []byte) (bool, error) {
	remote, err := decodeMark(now, data)
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	if g.marks[f] == nil {
		// A mark that was pulled from a peer keeps its age, so that peers do not keep each other's marks alive forever.
		g.getOrCreateMark(now, f).updatedAt = remote.updatedAt
	}
	changed := g.marks[f].merge(now, g.instance, remote)
	if changed {
		g.stats.FromPeers++
	}
	g.updateActive()
	return changed, nil
}

// getOrCreateMark returns the mark of a fingerprint. A new mark evicts another one if there are maxMarks marks.
func (g *Guard) getOrCreateMark(now time.Duration, f Fingerprint) *mark {
	if m := g.marks[f]; m != nil {
		return m
	}
	g.expire(now)
	if len(g.marks) >= maxMarks {
		g.evictMark()
	}
	m := &mark{updatedAt: now, ofCaller: f.isOfCaller()}
	m.answers.prior = g.history.count(f)
	g.marks[f] = m
	return m
}

// evictMark removes the mark that was not updated for the longest time. Marks that refuse their request are removed last.
func (g *Guard) evictMark() {
	var evicted Fingerprint
	var evictedMark *mark
	for f, m := range g.marks {
		if evictedMark == nil || m.lessImportantThan(evictedMark) {
			evicted, evictedMark = f, m
		}
	}
	delete(g.marks, evicted)
	g.stats.EvictedMarks++
}

// expired reports whether a mark is to be removed because of its age, and counts it if so.
func (g *Guard) expired(now time.Duration, m *mark) bool {
	if now-m.updatedAt < markLifetime || m.probation != nil {
		return false
	}
	if m.refusable() {
		g.stats.ExpiredMarks++
	}
	return true
}

// expire removes marks and pending losses whose lifetime has passed. Marks with a request on probation stay.
func (g *Guard) expire(now time.Duration) {
	marks, losses := len(g.marks), g.pendingCount
	maps.DeleteFunc(g.marks, func(_ Fingerprint, m *mark) bool { return g.expired(now, m) })
	for target := range g.pendingLosses {
		g.dropLosses(target, func(l loss) bool { return now-l.lostAt >= lossLifetime })
	}
	if len(g.marks) != marks || g.pendingCount != losses {
		g.updateActive()
	}
}

// updateActive updates activeCount after a change of marks or pending losses, and invalidates the digest.
func (g *Guard) updateActive() {
	g.digestValid = false
	count := int64(g.pendingCount)
	for _, m := range g.marks {
		if len(m.crashes) > 0 {
			count++
		}
	}
	g.activeCount.Store(count)
}
