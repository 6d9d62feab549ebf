package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// joinRetry is the pause before this instance tries again to announce itself in the store.
	joinRetry = 700 * time.Millisecond
)

// join announces this instance in the store and reads the others, until that has worked once. After that the members
// hear of each other without the store.
func (n *Node) join(ctx context.Context, now time.Time) {
	if n.joined || n.joining || now.Before(n.joinAt) {
		return
	}
	n.joining = true
	go func() {
		r := membersRead{err: n.Store.Announce(ctx, n.Self)}
		var list []discovery.Member
		var err error
		if list, err = n.Store.Members(ctx); err == nil {
			r.members = list
		} else if r.err == nil {
			r.err = err
		}
		n.deliver(ctx, r)
	}()
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
