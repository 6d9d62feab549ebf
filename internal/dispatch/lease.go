package dispatch

import (
	"slices"
	"time"
)

// A lease counts a request of another instance on a target for the time that the request is expected to take. Nobody tells
// this instance when such a request ends, and the instance that sent it may be gone, so the count has to end by itself.

const (
	// minLease and maxLease bound the time for which a request of another instance counts. A count that is too low for long
	// requests is corrected by the next load report, or by the target, which sheds what it cannot take.
	minLease = 5 * time.Millisecond
	maxLease = 5 * time.Second
	// maxLeases limits the leases that are kept for one target. A target with more requests is full anyway.
	maxLeases = 256
)

// lease is a request of another instance that was sent at a time and counts until another one. It is of a denial if the leader
// of the zone told of it in one, and it was sent at that time or before.
type lease struct {
	sentAt, until time.Duration
	ofDenial      bool
}

// addLease counts a request of another instance for the time that it is expected to take.
func (t *Target) addLease(now time.Duration, l lease, duration time.Duration) {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return l.until <= now })
	if len(t.leases) < maxLeases {
		l.until = l.sentAt + min(max(duration, minLease), maxLease)
		t.leases = append(t.leases, l)
	}
}

// applyDenial counts the requests on the target that the leader of the zone counts and that are not known here. Their ends are
// spread over the time that one takes.
func (t *Target) applyDenial(now time.Duration, inFlight, known int, duration time.Duration) {
	t.deniedInFlight = inFlight
	unseen := min(inFlight-known, maxLeases)
	for i := range max(unseen, 0) {
		t.addLease(now, lease{sentAt: now, ofDenial: true}, duration*time.Duration(i+1)/time.Duration(unseen))
	}
}

// dropReported drops the leases of requests that the load report includes. Whether it includes a request of a denial at about
// the same time is not known, so that those are kept only as far as the report has fewer requests than the denial.
func (t *Target) dropReported() {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return l.sentAt <= t.report.ReceivedAt-reportSkew })
	missing := t.deniedInFlight - t.report.Running - t.report.Waiting - t.changeSinceReport
	for _, l := range t.leases {
		if !l.ofDenial {
			missing--
		}
	}
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool {
		if l.ofDenial {
			missing--
		}
		return l.ofDenial && missing < 0
	})
}

// leased returns the number of requests of other instances that are known here and not included in the load report.
func (t *Target) leased(now time.Duration) int {
	count := 0
	for _, l := range t.leases {
		if l.until > now {
			count++
		}
	}
	return count
}

// nextLeaseEnd returns when the next lease of a target without a recent load report ends, or 0 if there is none. The caller
// holds p.mu.
func (p *Pool) nextLeaseEnd(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, t := range p.targets {
		if t.reportIsRecent(now) {
			continue
		}
		for _, l := range t.leases {
			if l.until > now && (next == 0 || l.until < next) {
				next = l.until
			}
		}
	}
	return next
}
