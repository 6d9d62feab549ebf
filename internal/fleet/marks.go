package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

// CrashMarks holds what an instance knows of requests that crash targets. It is safe for concurrent use and does not block.
type CrashMarks interface {
	// MergeCrashMark takes over a mark of another instance and reports whether it is news.
	MergeCrashMark(key string, data []byte) bool
	// CrashDigest identifies the marks, 0 for none.
	CrashDigest() uint64
	// EachCrashMark calls add for each mark. Refused is true when its request is not sent any more.
	EachCrashMark(add func(key string, data []byte, refused bool))
}

const (
	// marksSettle is how long the marks of a peer may differ before they are fetched. News are on their way for less.
	marksSettle = 300 * time.Millisecond
	// marksInterval is the pause between two fetches of marks.
	marksInterval = time.Second
)

// recentMark is a mark with the time at which this instance learnt it.
type recentMark struct {
	mark discovery.CrashMark
	at   time.Time
}

// maxRecentMarks bounds the marks that are repeated for instances that missed a datagram.
const maxRecentMarks = 16

// markSpread is a crash mark of this instance that the others are to be told of.
type markSpread struct{ mark discovery.CrashMark }

// SpreadCrashMark tells the other instances of a request that crashes targets. It does not block.
func (n *Node) SpreadCrashMark(key string, data []byte) {
	n.post(markSpread{discovery.CrashMark{Key: key, Data: data}})
}

// tellMark tells this zone and the readers of the others of a mark.
func (n *Node) tellMark(mark discovery.CrashMark, now time.Time) {
	n.keepMark(mark, now)
	d := n.base(now)
	d.Marks = []discovery.CrashMark{mark}
	n.tellZone(d, now)
	n.tellZones(d, now)
}

// keepMark keeps a mark for the next announcements of a reader.
func (n *Node) keepMark(mark discovery.CrashMark, now time.Time) {
	if len(n.marks) >= maxRecentMarks {
		n.marks = n.marks[1:]
	}
	n.marks = append(n.marks, recentMark{mark, now})
}

// recentMarks returns the marks that were learnt lately.
func (n *Node) recentMarks(now time.Time) []discovery.CrashMark {
	for len(n.marks) > 0 && now.Sub(n.marks[0].at) > recentFor {
		n.marks = n.marks[1:]
	}
	marks := make([]discovery.CrashMark, 0, len(n.marks))
	for _, m := range n.marks {
		marks = append(marks, m.mark)
	}
	return marks
}

// takeMarks hands marks of a peer on. What is news, the reader of the zone tells its zone, and the other zones if it came
// from its own.
func (n *Node) takeMarks(marks []discovery.CrashMark, p *peerState, now time.Time) {
	if n.CrashMarks == nil {
		return
	}
	for _, mark := range marks {
		if !n.CrashMarks.MergeCrashMark(mark.Key, mark.Data) || !n.reader {
			continue
		}
		n.keepMark(mark, now)
		d := n.base(now)
		d.Marks = []discovery.CrashMark{mark}
		n.tellZone(d, now)
		if p.Zone == n.Self.Zone {
			n.tellZones(d, now)
		}
	}
}

// takeStateMarks takes over marks that came with the state of a peer, which others know already.
func (n *Node) takeStateMarks(marks []discovery.CrashMark) {
	if n.CrashMarks == nil {
		return
	}
	for _, mark := range marks {
		n.CrashMarks.MergeCrashMark(mark.Key, mark.Data)
	}
}

// marksDigest identifies the marks of this instance, 0 for none.
func (n *Node) marksDigest() uint64 {
	if n.CrashMarks == nil {
		return 0
	}
	return n.CrashMarks.CrashDigest()
}

// allMarks returns the marks of this instance.
func (n *Node) allMarks() []discovery.CrashMark {
	var marks []discovery.CrashMark
	if n.CrashMarks != nil {
		n.CrashMarks.EachCrashMark(func(key string, data []byte, _ bool) {
			marks = append(marks, discovery.CrashMark{Key: key, Data: data})
		})
	}
	return marks
}

// compareMarks fetches the marks of a peer that has had others for a while: this instance was down, paused or cut off when they
// were told. The peer fetches those that it lacks itself.
func (n *Node) compareMarks(ctx context.Context, digest uint64, p *peerState, now time.Time) {
	if digest == 0 || digest == n.marksDigest() {
		p.marksDiffer = time.Time{}
		return
	}
	if p.marksDiffer.IsZero() {
		p.marksDiffer = now
	}
	if now.Sub(p.marksDiffer) < marksSettle || n.fetchingMarks || now.Before(n.marksAt) {
		return
	}
	n.fetchingMarks, n.marksAt = true, now.Add(marksInterval)
	pause := n.fetchPause()
	address, from := p.Address, p.ID
	go func() {
		time.Sleep(pause)
		marks, err := n.link.fetchMarks(ctx, address)
		n.deliver(ctx, marksFetched{marks, from, err})
	}()
}

// handleMarks takes over the marks of a peer.
func (n *Node) handleMarks(e marksFetched, now time.Time) {
	n.fetchingMarks = false
	if e.err != nil {
		n.Log.Info("Could not fetch the crash marks of a peer.", "peer", e.from, "error", e.err)
		return
	}
	if p := n.members.peers[e.from]; p != nil {
		n.Log.Info("Fetched the crash marks of a peer.", "peer", e.from, "marks", len(e.marks))
		n.takeMarks(e.marks, p, now)
	}
}
