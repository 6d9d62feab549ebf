package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

// joinRetry is the pause before this instance asks the store again for the members.
const joinRetry = 700 * time.Millisecond

// join reads the announced members from the store and announces this instance unless it is, until that has worked once.
// After that the members hear of each other without the store. An instance that starts again finds itself announced, and
// knows at once how many share the targets with it.
func (n *Node) join(ctx context.Context, now time.Time) {
	if n.joined || n.joining || now.Before(n.joinAt) {
		return
	}
	n.joining = true
	go func() {
		var r membersRead
		r.members, r.err = n.Store.Members(ctx)
		if r.err == nil && !slices.ContainsFunc(r.members, n.isSelf) {
			// The second reading finds those that were announced at the same time and read before this instance was.
			if r.err = n.Store.Announce(ctx, n.Self); r.err == nil {
				r.members, r.err = n.Store.Members(ctx)
			}
		}
		n.deliver(ctx, r)
	}()
}

// isSelf reports whether an announced member is this instance, in this or an earlier incarnation.
func (n *Node) isSelf(m discovery.Member) bool {
	return m.ID == n.Self.ID && m.Address == n.Self.Address && m.Zone == n.Self.Zone && m.Capacity == n.Self.Capacity
}

func (n *Node) handleMembers(e membersRead, now time.Time) {
	n.joining = false
	n.meet(e.members, now)
	if e.err != nil {
		n.joinAt = now.Add(joinRetry)
		n.greetSeeds()
		n.Log.Info("Could not announce this instance.", "error", e.err)
		return
	}
	n.joined = true
	n.countedAt = time.Time{}
	n.noteInstances(now)
	n.Log.Info("Announced this instance.", "members", len(e.members))
}
