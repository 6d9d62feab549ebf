package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

const (
	// usualPace is the mean pace before any was read.
	usualPace = 1.5
	// paceMemory is how fast the pace of a machine changes: neighbours come and go several times a second. A reading says
	// little about a time that lies further away.
	paceMemory = 300 * time.Millisecond
	// occupancyLifetime is how long the occupancy of a reading is used. An older one is replaced by a cautious guess.
	occupancyLifetime = time.Second
	// failureHalfLife is how fast the evidence of failures fades, so that a recovered target is tried again.
	failureHalfLife = 1500 * time.Millisecond
	// maxFailures bounds the evidence, so that a target is tried again a few half-lives after its last failure.
	maxFailures = 6
	// successFactor is what remains of the evidence of failures after a good answer.
	successFactor = 0.7
	// unreachableBase and unreachableMax bound how long a target is left out after a failed connection.
	unreachableBase = 200 * time.Millisecond
	unreachableMax  = 1600 * time.Millisecond
)

// Reading is the load that a target reported.
type LoadReport struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine now. 1 is usual.
	Slowdown float64
	// At is when the reading arrived.
	ReceivedAt time.Duration
	// Leaving and Pause are what the target asked of the instance that read it: to send nothing more, or nothing for a time.
	Draining bool
	Backoff  time.Duration
}

// Target is one target as the dispatcher sees it. The lock of its Pool guards it.
type Target struct {
	ID      string
	Address string
	// Born is the start of the incarnation as Unix time in ms, 0 if that is not known.
	StartedAt int64
	local     bool
	slots     int
	warm      time.Duration
	reading   LoadReport
	read      bool
	// own counts the requests in flight from this instance.
	own int
	// claims are those of this instance that are neither confirmed nor denied yet.
	claims []*claim
	// moves are the requests that were sent to the target or ended on it lately, and since is their sum beyond the reading.
	moves []move
	since int
	// failures is the fading evidence that the target fails requests, as of failedAt.
	failures float64
	failedAt time.Duration
	// unreachableUntil leaves the target out after a failed connection.
	unreachableUntil time.Duration
	unreachableFor   time.Duration
	restriction
	// usedAt is when a request of this instance last ended well on the target, 0 if none did.
	usedAt time.Duration
}

// move is a request sent to a target (+1) or ended on it (-1).
type move struct {
	at     time.Duration
	change int
}

// readingSkew is how long a request may be on its way while the target answers a reading.
const readingSkew = 1500 * time.Microsecond

// note counts a move.
func (t *Target) note(now time.Duration, change int) {
	t.since += change
	if len(t.moves) >= maxMoves {
		// Without readings, as for targets that do not tell their load, nothing else ends the list.
		t.moves = t.moves[:copy(t.moves, t.moves[maxMoves/2:])]
	}
	t.moves = append(t.moves, move{now, change})
}

// maxMoves bounds the moves that are kept. Only those of the last milliseconds before a reading matter.
const maxMoves = 64

// take replaces the reading by a newer one. Moves that it cannot include stay counted.
func (t *Target) take(r LoadReport) {
	if t.read && r.ReceivedAt < t.reading.ReceivedAt {
		return
	}
	t.reading, t.read, t.since = r, true, 0
	kept := t.moves[:0]
	for _, m := range t.moves {
		if m.at > r.ReceivedAt-readingSkew {
			kept = append(kept, m)
			t.since += m.change
		}
	}
	t.moves = kept
}

func newTarget(r registry.Target, zone string, warm time.Duration) *Target {
	return &Target{ID: r.ID, Address: r.Address, StartedAt: r.Born, local: r.Zone == zone, slots: max(r.Slots, 1), warm: warm}
}

// Incarnation names the process of the target.
func (t *Target) Incarnation() string { return fmt.Sprintf("%s/%d", t.ID, t.StartedAt) }

// is reports whether a registered target is this one, and not a later incarnation or one at another address.
func (t *Target) is(r registry.Target) bool {
	return t.Address == r.Address && (t.StartedAt == r.Born || t.StartedAt == 0 || r.Born == 0)
}

// occupied estimates the requests that the target runs or holds. Without a usable reading the other instances are
// assumed to fill half of the target besides the requests that are known of.
func (t *Target) occupied(now time.Duration, p *Policy) int {
	if !t.read || now-t.reading.ReceivedAt > occupancyLifetime {
		return max(t.own, t.since) + t.usable(p)/2
	}
	occupied := max(t.own, t.reading.Running+t.reading.Waiting+t.since)
	if now-t.reading.ReceivedAt > p.ReportLifetime {
		// Others may have sent requests since.
		occupied++
	}
	return occupied
}

// readingAge is the age of the reading, negative without one.
func (t *Target) readingAge(now time.Duration) time.Duration {
	if !t.read {
		return -1
	}
	return now - t.reading.ReceivedAt
}

// pace estimates how much longer than usual work of a given length takes on the target, whose pace returns to the mean.
func (t *Target) pace(now, work time.Duration, mean float64, p *Policy) float64 {
	pace := mean
	if t.read {
		age := float64(now-t.reading.ReceivedAt) / float64(paceMemory)
		pace += (t.reading.Slowdown - mean) * math.Exp(-max(age, 0))
	}
	if span := float64(work) * pace / float64(paceMemory); span > 0 {
		pace = mean + (pace-mean)*(1-math.Exp(-span))/span
	}
	if now < t.warm {
		pace *= p.WarmupFactor
	}
	return pace
}

// connected reports whether an unused connection to the target is probably open.
func (t *Target) connected(now time.Duration, p *Policy) bool {
	return t.usedAt > 0 && now-t.usedAt < p.ConnectionLifetime
}

func (t *Target) usable(p *Policy) int { return max(1, int(float64(t.slots)*p.UsableShare)) }

// evidence returns the failures that have not faded yet.
func (t *Target) evidence(now time.Duration) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * math.Exp2(-float64(now-t.failedAt)/float64(failureHalfLife))
}

func (t *Target) noteFailure(now time.Duration, weight float64) {
	t.failures = min(t.evidence(now)+weight, maxFailures)
	t.failedAt = now
}

func (t *Target) noteSuccess(now time.Duration) {
	t.failures = t.evidence(now) * successFactor
	t.failedAt = now
	t.unreachableFor = 0
}

func (t *Target) noteUnreachable(now time.Duration) {
	t.unreachableFor = min(max(2*t.unreachableFor, unreachableBase), unreachableMax)
	t.unreachableUntil = now + t.unreachableFor
}

// estimate is what sending a request to a target would mean.
type estimate struct {
	target *Target
	pace   float64
	// cost orders targets. It is the expected time to the answer plus what else speaks against the target.
	cost time.Duration
	// answer is the expected time to the answer.
	answer time.Duration
	// open is true when the target has a free slot within its usable share.
	open bool
	// occupied are the requests that the target holds, and usable those that it may hold.
	occupied, usable int
}

// estimate weighs a target for a request.
func (t *Target) estimate(now time.Duration, a *Request, o outlook, p *Policy) estimate {
	occupied := t.occupied(now, p)
	usable := t.usable(p)
	pace := t.pace(now, o.work, o.meanPace, p)
	one := float64(o.work) * pace
	answer := one
	open := occupied < usable && (t.read || now >= o.blindUntil)
	if !open {
		// One of the running requests ends in the mean after its share of the work; those beyond it queue up.
		answer += one * float64(occupied-usable+1) / float64(usable)
	}
	cost := answer + one*crowdingShare*float64(occupied)/float64(usable)
	cost += t.evidence(now) * float64(a.Objective) * failureCost
	if !t.local {
		cost += float64(o.crossing)
	}
	cost += lateFactor * max(answer-safeShare*float64(o.left), 0)
	return estimate{target: t, pace: pace, cost: time.Duration(cost), answer: time.Duration(answer), open: open, occupied: occupied, usable: usable}
}

// outlook is what holds for all targets of a service at one decision.
type outlook struct {
	// work is the expected time on a target at its usual pace, and crossing the cost of another zone.
	work, crossing time.Duration
	// left is the time until the answer is late. It is negative when it already is.
	left     time.Duration
	meanPace float64
	// blindUntil is until when targets without a reading are not open.
	blindUntil time.Duration
}

const (
	// crowdingShare is the share of the work that a full target costs more than an empty one. It spreads requests, and
	// with them the error of readings that are already old.
	crowdingShare = 0.3
	// lateFactor weighs the expected time beyond safeShare of what is left of the latency objective. The work of single
	// requests differs from the mean, so that answers are at risk before the expected time reaches the objective.
	lateFactor = 3
	safeShare  = 0.8
	// failureCost is the share of the latency objective that one fresh failure costs.
	failureCost = 0.6
)

// Slots returns the number of requests that the target runs at the same time.
func (t *Target) Slots() int { return t.slots }
