package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

const (
	// initialSlowdown is the mean slowdown before the first load report.
	initialSlowdown = 1.5
	// slowdownTimeConstant is the time constant with which a reported slowdown decays to the mean. Neighbors on a host
	// come and go several times a second, so that a load report says little about the time well after it.
	slowdownTimeConstant = 300 * time.Millisecond
	// maxReportAge is the age up to which the in-flight count of a load report is used. After that it is replaced by a
	// cautious guess.
	maxReportAge = time.Second
	// failureHalfLife is how fast the weight of failures decays, so that a recovered target receives requests again.
	failureHalfLife = 1500 * time.Millisecond
	// maxFailures caps the weight of failures, so that a target receives requests again a few half-lives after its last
	// failure.
	maxFailures = 6
	// successDecay is the factor by which a successful answer reduces the weight of failures.
	successDecay = 0.7
	// baseUnreachableBackoff and maxUnreachableBackoff bound the time for which a target is skipped after a failed
	// connection. The time doubles with each further failure.
	baseUnreachableBackoff = 200 * time.Millisecond
	maxUnreachableBackoff  = 1600 * time.Millisecond
)

// LoadReport is the load that a target reported.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the factor by which work takes longer than usual on the target's host now; 1 is usual.
	Slowdown float64
	// ReceivedAt is the monotonic time at which the report arrived.
	ReceivedAt time.Duration
	// Draining and Backoff are hints for the instance that requested the report: to send no further requests, or none for
	// the given time.
	Draining bool
	Backoff  time.Duration
	// ColdFor is how much longer the target is cold, 0 if it is not.
	ColdFor time.Duration
	// Healthy is true if the target says that it is healthy and not about to leave.
	Healthy bool
}

// Target is the dispatcher's state of one target. It is guarded by the mutex of its Pool.
type Target struct {
	ID      string
	Address string
	// StartedAt is the start time of the incarnation as Unix time in ms, or 0 if unknown.
	StartedAt int64
	local     bool
	slots     int
	// warmUntil is the end of the warm-up of the entry, and coldUntil that of the answers of the target.
	warmUntil, coldUntil time.Duration
	creditState
	report    LoadReport
	hasReport bool
	// ownInFlight counts the requests in flight from this instance.
	ownInFlight int
	// pendingClaims are the claims of this instance that are neither confirmed nor denied yet.
	pendingClaims []*claim
	// recentChanges are the latest changes of the in-flight count by requests of this instance. changeSinceReport is the sum
	// of those changes that the load report does not include.
	recentChanges     []loadChange
	changeSinceReport int
	// leases are the requests of other instances that are known here and that the load report does not include.
	leases []lease
	// deniedInFlight is the number of requests on the target that the latest denial of a claim told of.
	deniedInFlight int
	// failures is the decaying weight of failed requests as of failedAt.
	failures float64
	failedAt time.Duration
	// unreachableUntil is the time until which the target is skipped after a failed connection, and unreachableBackoff
	// the length of that period.
	unreachableUntil   time.Duration
	unreachableBackoff time.Duration
	backpressure
	// lastUsed is when the target last answered a request of this instance successfully, or 0 if it never did.
	lastUsed time.Duration
}

// loadChange is a request sent to a target (+1) or ended on it (-1).
type loadChange struct {
	at    time.Duration
	delta int
}

// reportSkew is how long before the arrival of a load report a request may have been sent without being included in it,
// because it was in transit when the target answered the load probe.
const reportSkew = 1500 * time.Microsecond

// recordChange adds a change to the in-flight count of the target. The time at is that of the change. It lies in the future for
// a request that is sent once its claim has been confirmed.
func (t *Target) recordChange(at time.Duration, delta int) {
	t.changeSinceReport += delta
	if len(t.recentChanges) >= maxRecentChanges {
		// Nothing else trims the list for targets that send no load reports.
		t.recentChanges = t.recentChanges[:copy(t.recentChanges, t.recentChanges[maxRecentChanges/2:])]
	}
	t.recentChanges = append(t.recentChanges, loadChange{at, delta})
}

// recordEnd records the end of a request that counts from sentAt on. Where that lies in the future, the end has the same time, so
// that a load report includes both changes or neither.
func (t *Target) recordEnd(now, sentAt time.Duration) { t.recordChange(max(now, sentAt), -1) }

// maxRecentChanges limits the changes that are kept. Only those in the last milliseconds before a load report matter.
const maxRecentChanges = 64

// applyReport replaces the load report unless it is older than the current one. Changes that are too recent to be included
// in the report are still counted on top of it.
func (t *Target) applyReport(r LoadReport) {
	t.coldUntil = max(t.coldUntil, r.ReceivedAt+r.ColdFor)
	if t.hasReport && r.ReceivedAt < t.report.ReceivedAt {
		return
	}
	t.report, t.hasReport, t.changeSinceReport = r, true, 0
	kept := t.recentChanges[:0]
	for _, c := range t.recentChanges {
		if c.at > r.ReceivedAt-reportSkew {
			kept = append(kept, c)
			t.changeSinceReport += c.delta
		}
	}
	t.recentChanges = kept
	t.dropReported()
}

func newTarget(r registry.Target, zone string, warmUntil time.Duration) *Target {
	return &Target{ID: r.ID, Address: r.Address, StartedAt: r.Born, local: r.Zone == zone, slots: max(r.Slots, 1), warmUntil: warmUntil}
}

// Incarnation returns the name of the target's process: its id and start time.
func (t *Target) Incarnation() string { return fmt.Sprintf("%s/%d", t.ID, t.StartedAt) }

// matches reports whether a registered target is the same incarnation at the same address. An unknown start time matches
// any other.
func (t *Target) matches(r registry.Target) bool {
	return t.Address == r.Address && (t.StartedAt == r.Born || t.StartedAt == 0 || r.Born == 0)
}

// inFlight estimates the number of requests that the target executes or queues. Without a recent load report it assumes
// that the other instances fill half of the target's usable slots, unless it knows of more requests of theirs.
func (t *Target) inFlight(now time.Duration, p *Policy) int {
	if !t.reportIsRecent(now) {
		return t.ownInFlight + max(t.leased(now), t.usableSlots(p)/2)
	}
	return t.reportedInFlight(now, p)
}

// knownInFlight is like inFlight, but assumes nothing about requests that are not known here. The leader of a zone knows of
// the requests of the other instances by their claims.
func (t *Target) knownInFlight(now time.Duration, p *Policy) int {
	if !t.reportIsRecent(now) {
		return t.ownInFlight + t.leased(now)
	}
	return t.reportedInFlight(now, p)
}

// reportIsRecent reports whether the target has a load report whose in-flight count can be used.
func (t *Target) reportIsRecent(now time.Duration) bool {
	return t.hasReport && now-t.report.ReceivedAt <= maxReportAge
}

func (t *Target) reportedInFlight(now time.Duration, p *Policy) int {
	inFlight := max(t.ownInFlight, t.report.Running+t.report.Waiting+t.changeSinceReport+t.leased(now))
	if now-t.report.ReceivedAt > p.ReportLifetime {
		// Other instances may have sent requests since.
		inFlight++
	}
	return inFlight
}

// reportAge returns the age of the load report, or a negative value without one.
func (t *Target) reportAge(now time.Duration) time.Duration {
	if !t.hasReport {
		return -1
	}
	return now - t.report.ReceivedAt
}

// slowdown estimates the mean slowdown of the target while it executes work of the given service time. The reported
// slowdown decays to the mean over all targets.
func (t *Target) slowdown(now, serviceTime time.Duration, mean float64, p *Policy) float64 {
	slowdown := mean
	if t.hasReport {
		age := float64(now-t.report.ReceivedAt) / float64(slowdownTimeConstant)
		slowdown += (t.report.Slowdown - mean) * math.Exp(-max(age, 0))
	}
	if span := float64(serviceTime) * slowdown / float64(slowdownTimeConstant); span > 0 {
		slowdown = mean + (slowdown-mean)*(1-math.Exp(-span))/span
	}
	if t.isCold(now) {
		slowdown *= p.WarmupFactor
	}
	return slowdown
}

// hasIdleConnection reports whether an idle connection to the target is probably open.
func (t *Target) hasIdleConnection(now time.Duration, p *Policy) bool {
	return t.lastUsed > 0 && now-t.lastUsed < p.ConnectionLifetime
}

func (t *Target) usableSlots(p *Policy) int { return max(1, int(float64(t.slots)*p.UsableShare)) }

// decayedFailures returns the current weight of past failures.
func (t *Target) decayedFailures(now time.Duration) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * math.Exp2(-float64(now-t.failedAt)/float64(failureHalfLife))
}

func (t *Target) recordFailure(now time.Duration, weight float64) {
	t.failures = min(t.decayedFailures(now)+weight, maxFailures)
	t.failedAt = now
}

func (t *Target) recordSuccess(now time.Duration) {
	t.failures = t.decayedFailures(now) * successDecay
	t.failedAt = now
	t.unreachableBackoff = 0
}

func (t *Target) recordUnreachable(now time.Duration) {
	t.unreachableBackoff = min(max(2*t.unreachableBackoff, baseUnreachableBackoff), maxUnreachableBackoff)
	t.unreachableUntil = now + t.unreachableBackoff
}

// estimate is the expected effect of sending a request to a target.
type estimate struct {
	target   *Target
	slowdown float64
	// cost ranks targets. It is the expected latency plus penalties, for example for past failures or another zone.
	cost time.Duration
	// latency is the expected time until the answer.
	latency time.Duration
	// available is true when the target has a free usable slot and, until firstReportDeadline, a load report.
	available bool
	// inFlight is the number of requests on the target, and usableSlots the number that it may hold.
	inFlight, usableSlots int
}

// estimate computes the latency and cost of sending a request to the target.
func (t *Target) estimate(now time.Duration, r *Request, c decisionContext, p *Policy) estimate {
	inFlight := t.inFlight(now, p)
	usableSlots := t.usableSlots(p)
	slowdown := t.slowdown(now, c.serviceTime, c.meanSlowdown, p)
	execution := float64(c.serviceTime) * slowdown
	latency := execution
	available := inFlight < usableSlots && (t.hasReport || now >= c.firstReportDeadline)
	if !available {
		// On average, one of the running requests ends after 1/usableSlots of the execution time. Further requests queue.
		latency += execution * float64(inFlight-usableSlots+1) / float64(usableSlots)
	}
	cost := latency + execution*utilizationCost*float64(inFlight)/float64(usableSlots)
	cost += t.decayedFailures(now) * float64(r.Objective) * failureCost
	if !t.local {
		cost += float64(c.crossZoneCost)
	}
	cost += lateCostFactor * max(latency-safeLatencyShare*float64(c.remaining), 0)
	return estimate{
		target: t, slowdown: slowdown, cost: time.Duration(cost), latency: time.Duration(latency),
		available: available, inFlight: inFlight, usableSlots: usableSlots,
	}
}

// decisionContext holds the inputs of a decision that are the same for all targets.
type decisionContext struct {
	// serviceTime is the expected service time at a slowdown of 1, and crossZoneCost the cost of using another zone.
	serviceTime, crossZoneCost time.Duration
	// remaining is the time until the latency objective is missed. It is negative when it is missed already.
	remaining    time.Duration
	meanSlowdown float64
	// firstReportDeadline is the time until which targets without a load report are not available.
	firstReportDeadline time.Duration
}

const (
	// utilizationCost is how much more a full target costs than an empty one, as a share of the execution time. It spreads
	// the requests, and with them the error of outdated load reports.
	utilizationCost = 0.3
	// lateCostFactor weighs the expected latency beyond safeLatencyShare of the remaining time. The service times of single
	// requests differ from the mean, so that an answer may be late before its expected latency reaches the objective.
	lateCostFactor   = 3
	safeLatencyShare = 0.8
	// failureCost is the cost of one recent failure as a share of the latency objective.
	failureCost = 0.6
)

// Slots returns the number of requests that the target executes at the same time.
func (t *Target) Slots() int { return t.slots }
