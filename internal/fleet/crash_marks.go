package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

// CrashMarks holds the crash marks of an instance: records of requests that crash targets. Implementations are safe for
// concurrent use and do not block.
type CrashMarks interface {
	// MergeCrashMark merges a mark of another instance and reports whether it changed anything.
	MergeCrashMark(key string, data []byte) bool
	// CrashDigest returns a digest of the marks, 0 for none.
	CrashDigest() uint64
	// EachCrashMark calls add for each mark. refused is true when the request of the mark is no longer sent to targets.
	EachCrashMark(add func(key string, data []byte, refused bool))
}

const (
	// marksFetchDelay is how long the marks of a peer have to differ before they are fetched. Broadcast marks arrive
	// sooner.
	marksFetchDelay = 300 * time.Millisecond
	// marksFetchInterval is the shortest time between two fetches of marks.
	marksFetchInterval = time.Second
)

// recentMark is a mark with the time at which this instance learned of it.
type recentMark struct {
	mark      discovery.CrashMark
	learnedAt time.Time
}

// maxRecentMarks is the largest number of marks that are repeated for instances that missed a datagram.
const maxRecentMarks = 16

// markBroadcast is the event that a crash mark of this instance has to be sent to the others.
type markBroadcast struct{ mark discovery.CrashMark }

// SpreadCrashMark sends a crash mark to the other instances. It does not block, and is safe for concurrent use.
func (n *Node) SpreadCrashMark(key string, data []byte) {
	n.enqueue(markBroadcast{discovery.CrashMark{Key: key, Data: data}})
}

// broadcastMark sends a mark to this zone and to the leaders of the other zones.
func (n *Node) broadcastMark(mark discovery.CrashMark, now time.Time) {
	n.rememberMark(mark, now)
	d := n.newDatagram(now)
	d.Marks = []discovery.CrashMark{mark}
	n.sendToZone(d, now)
	n.sendToOtherZones(d, now)
}

// rememberMark remembers a mark, so that the leader repeats it.
func (n *Node) rememberMark(mark discovery.CrashMark, now time.Time) {
	if len(n.recentMarks) >= maxRecentMarks {
		n.recentMarks = n.recentMarks[1:]
	}
	n.recentMarks = append(n.recentMarks, recentMark{mark, now})
}

// marksToRepeat returns the marks that were learned within repeatPeriod.
func (n *Node) marksToRepeat(now time.Time) []discovery.CrashMark {
	for len(n.recentMarks) > 0 && now.Sub(n.recentMarks[0].learnedAt) > repeatPeriod {
		n.recentMarks = n.recentMarks[1:]
	}
	marks := make([]discovery.CrashMark, 0, len(n.recentMarks))
	for _, m := range n.recentMarks {
		marks = append(marks, m.mark)
	}
	return marks
}

// mergePeerMarks merges the marks of a peer. The leader relays new ones to its zone, and also to the other zones if
// they came from its own.
func (n *Node) mergePeerMarks(marks []discovery.CrashMark, p *peerState, now time.Time) {
	if n.CrashMarks == nil {
		return
	}
	for _, mark := range marks {
		if !n.CrashMarks.MergeCrashMark(mark.Key, mark.Data) || !n.isLeader {
			continue
		}
		n.rememberMark(mark, now)
		d := n.newDatagram(now)
		d.Marks = []discovery.CrashMark{mark}
		n.sendToZone(d, now)
		if p.Zone == n.Self.Zone {
			n.sendToOtherZones(d, now)
		}
	}
}

// mergeStateMarks merges marks that came with the state of a peer. The leader relays new ones to its zone in one datagram, and
// repeats them: a later datagram with a mark that the state had already told is not relayed.
func (n *Node) mergeStateMarks(marks []discovery.CrashMark, now time.Time) {
	if n.CrashMarks == nil {
		return
	}
	var merged []discovery.CrashMark
	for _, mark := range marks {
		if n.CrashMarks.MergeCrashMark(mark.Key, mark.Data) {
			n.rememberMark(mark, now)
			merged = append(merged, mark)
		}
	}
	if n.isLeader && len(merged) > 0 {
		d := n.newDatagram(now)
		d.Marks = merged[:min(len(merged), maxRecentMarks)]
		n.sendToZone(d, now)
	}
}

// marksDigest returns a digest of the marks of this instance, 0 for none.
func (n *Node) marksDigest() uint64 {
	if n.CrashMarks == nil {
		return 0
	}
	return n.CrashMarks.CrashDigest()
}

// allMarks returns the marks of this instance. It is safe for concurrent use.
func (n *Node) allMarks() []discovery.CrashMark {
	var marks []discovery.CrashMark
	if n.CrashMarks != nil {
		n.CrashMarks.EachCrashMark(func(key string, data []byte, _ bool) {
			marks = append(marks, discovery.CrashMark{Key: key, Data: data})
		})
	}
	return marks
}

// fetchDifferingMarks fetches the marks of a peer whose digest has differed for marksFetchDelay: this instance was
// down, paused or partitioned when they were broadcast. The peer likewise fetches those that it lacks itself. An instance that has
// no marks does not wait.
func (n *Node) fetchDifferingMarks(ctx context.Context, digest uint64, p *peerState, now time.Time) {
	if digest == 0 || digest == n.marksDigest() {
		p.marksDifferSince = time.Time{}
		return
	}
	if p.marksDifferSince.IsZero() {
		p.marksDifferSince = now
	}
	// An instance without any mark may have just started.
	isNew := n.marksDigest() == 0
	if !isNew && now.Sub(p.marksDifferSince) < marksFetchDelay || n.marksFetchInFlight || now.Before(n.nextMarksFetch) {
		return
	}
	n.marksFetchInFlight, n.nextMarksFetch = true, now.Add(marksFetchInterval)
	jitter := n.fetchJitter()
	address, from := p.Address, p.ID
	go func() {
		time.Sleep(jitter)
		e := marksFetched{peerID: from}
		e.err = n.guardCall(peerPart, func() (err error) {
			e.marks, err = n.link.fetchMarks(ctx, address)
			return err
		})
		n.deliver(ctx, e)
	}()
}

// handleMarksFetched merges the fetched marks of a peer.
func (n *Node) handleMarksFetched(e marksFetched, now time.Time) {
	n.marksFetchInFlight = false
	if e.err != nil {
		n.Log.Info("Could not fetch the crash marks of a peer.", "peer", e.peerID, "error", e.err)
		return
	}
	if p := n.members.peers[e.peerID]; p != nil {
		n.Log.Info("Fetched the crash marks of a peer.", "peer", e.peerID, "marks", len(e.marks))
		n.mergePeerMarks(e.marks, p, now)
	}
}
