package fleet

import "time"

// recentMark is a mark with the time at which this instance learnt it.
type recentMark struct {
	mark crashMark
	at   time.Time
}

// maxRecentMarks bounds the marks that are repeated for instances that missed a datagram.
const maxRecentMarks = 16

// markSpread is a crash mark of this instance that the others are to be told of.
type markSpread struct{ mark crashMark }

// SpreadCrashMark tells the other instances of a request that crashes targets. It does not block.
func (n *Node) SpreadCrashMark(key string, data []byte) { n.post(markSpread{crashMark{key, data}}) }

// tellMark tells this zone and the readers of the others of a mark.
func (n *Node) tellMark(mark crashMark, now time.Time) {
	n.keepMark(mark, now)
	d := n.base(now)
	d.Marks = []crashMark{mark}
	n.tellZone(d, now)
	n.tellZones(d, now)
}

// keepMark keeps a mark for the next announcements of a reader.
func (n *Node) keepMark(mark crashMark, now time.Time) {
	if len(n.marks) >= maxRecentMarks {
		n.marks = n.marks[1:]
	}
	n.marks = append(n.marks, recentMark{mark, now})
}

// recentMarks returns the marks that were learnt lately.
func (n *Node) recentMarks(now time.Time) []crashMark {
	for len(n.marks) > 0 && now.Sub(n.marks[0].at) > recentFor {
		n.marks = n.marks[1:]
	}
	marks := make([]crashMark, 0, len(n.marks))
	for _, m := range n.marks {
		marks = append(marks, m.mark)
	}
	return marks
}

// takeMarks hands marks of a peer on. What is news, the reader of the zone tells its zone, and the other zones if it came
// from its own.
func (n *Node) takeMarks(marks []crashMark, p *peerState, now time.Time) {
	if n.CrashMark == nil {
		return
	}
	for _, mark := range marks {
		if !n.CrashMark(mark.Key, mark.Data) || !n.reader {
			continue
		}
		n.keepMark(mark, now)
		d := n.base(now)
		d.Marks = []crashMark{mark}
		n.tellZone(d, now)
		if p.Zone == n.Self.Zone {
			n.tellZones(d, now)
		}
	}
}
