package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

// A target may turn cold at any moment, and only its health answers tell so. The instance that probes it tells all others at once,
// and the leaders repeat it while the target is cold. What is known ends by itself. It is kept beside the pools, which do not know
// the targets of evacuated zones.

const (
	// coldNewsMargin is how much longer than known a target has to be cold for others to be told at once. It covers the
	// differences in the ages of reports.
	coldNewsMargin = 200 * time.Millisecond
	// coldTolerance is how much longer than known a target has to be cold for a report to count. Delays of datagrams would otherwise
	// add up while leaders repeat what they told each other.
	coldTolerance = 20 * time.Millisecond
	// coldRepeatPeriod is how long the instance that probes a target tells again with each round of probes that it turned cold. A lost
	// datagram would otherwise leave a zone unaware until the next exchange of the leaders.
	coldRepeatPeriod = 300 * time.Millisecond
	// maxColdTime bounds how long a report can make a target cold.
	maxColdTime = 10 * time.Minute
	// maxColdReports is the largest number of reports in one datagram.
	maxColdReports = 128
)

// coldReport tells that a target is cold. Target is the hash of the target's id.
type coldReport struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	// MS is how many milliseconds longer the target is cold.
	MS uint32
}

// learnCold records until when targets are cold. It returns those of which others have to be told at once.
func (n *Node) learnCold(reports []coldReport) (news []coldReport) {
	now := n.Now()
	for _, r := range reports {
		until := now + min(time.Duration(r.MS)*time.Millisecond, maxColdTime)
		known := n.coldUntil[r.Target]
		if until > known+coldNewsMargin {
			news = append(news, r)
		}
		if until <= known+coldTolerance {
			continue
		}
		n.coldUntil[r.Target] = until
		if ref := n.targetsByHash[r.Target]; ref.target != nil {
			ref.batch.pool.MarkCold(ref.id, until)
		}
	}
	return news
}

// forgetWarm forgets the targets that are not cold any more.
func (n *Node) forgetWarm() {
	now := n.Now()
	for target, until := range n.coldUntil {
		if until <= now {
			delete(n.coldUntil, target)
		}
	}
}

// coldReports returns the targets that are known to be cold. Those that are cold the longest come first.
func (n *Node) coldReports() []coldReport {
	now := n.Now()
	var reports []coldReport
	for target, until := range n.coldUntil {
		if until <= now {
			continue
		}
		reports = append(reports, coldReport{Target: target, MS: uint32(max((until - now).Milliseconds(), 1))})
	}
	slices.SortFunc(reports, func(a, b coldReport) int { return cmp.Or(cmp.Compare(b.MS, a.MS), cmp.Compare(a.Target, b.Target)) })
	return reports[:min(len(reports), maxColdReports)]
}

// applyProbedCold records which targets said that they are cold in a round of probes, and tells all zones of those that turned cold.
func (n *Node) applyProbedCold(results []probeResult, now time.Time) {
	at := n.Now()
	var reports []coldReport
	for _, r := range results {
		left := r.report.ColdFor - (at - r.report.ReceivedAt)
		if r.failures > 0 || left <= 0 || !n.limitsCold(r.service) {
			continue
		}
		reports = append(reports, coldReport{Target: hashID(r.id), MS: uint32(max(left.Milliseconds(), 1))})
	}
	news := n.learnCold(reports)
	if len(news) > 0 {
		n.Log.Info("Targets turned cold.", "count", len(news), "left_ms", news[0].MS)
	}
	for _, r := range news {
		n.turnedCold[r.Target] = at
	}
	if len(n.turnedCold) == 0 {
		return
	}
	d := n.newDatagram(now)
	if d.Cold = n.recentlyTurnedCold(at); len(d.Cold) == 0 {
		return
	}
	n.sendToZone(d, now)
	n.sendToOtherZones(d, now)
}

// recentlyTurnedCold returns the targets that turned cold within coldRepeatPeriod, and forgets when the others did.
func (n *Node) recentlyTurnedCold(at time.Duration) []coldReport {
	for target, since := range n.turnedCold {
		if at-since >= coldRepeatPeriod {
			delete(n.turnedCold, target)
		}
	}
	return slices.DeleteFunc(n.coldReports(), func(r coldReport) bool {
		_, recent := n.turnedCold[r.Target]
		return !recent
	})
}

// limitsCold reports whether the targets of a service tolerate few requests while they are cold.
func (n *Node) limitsCold(service string) bool {
	return n.table != nil && n.table.Services[service].WarmupRate > 0
}

// applyColdReports applies the reports of a peer. A leader tells its zone at once of what another zone told it.
func (n *Node) applyColdReports(d *datagram, p *peerState, now time.Time) {
	if len(d.Cold) == 0 {
		return
	}
	news := n.learnCold(d.Cold)
	if len(news) == 0 || p.Zone == n.Self.Zone {
		return
	}
	relay := n.newDatagram(now)
	relay.Cold = news
	n.sendToZone(relay, now)
}

// withColdness returns a target whose warm-up ends when the one ends of which its health answers told, if that is later.
func (n *Node) withColdness(t registry.Target, now time.Time) registry.Target {
	until, known := n.coldUntil[hashID(t.ID)]
	if !known {
		return t
	}
	if end := now.Add(until - n.Now()); end.After(t.WarmupEnd) {
		t.WarmupEnd = end
	}
	return t
}

// ColdTargets returns the number of cold targets in the current view. It is safe for concurrent use.
func (n *Node) ColdTargets() int64 {
	view := n.View()
	if view == nil {
		return 0
	}
	count := 0
	for _, pool := range view.Pools {
		count += pool.ColdTargets()
	}
	return int64(count)
}
