package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// joinRetry is the pause before this instance tries again to announce itself in the store.
	joinRetry = 700 * time.Millisecond
	// seedTime is how long seeds are asked before the store is.
	seedTime = 400 * time.Millisecond
	// announceAfter is how long an instance has read its zone before it is announced in the store.
	announceAfter = time.Second
)

// join finds the other instances: through the seeds, and when none of them answers in the store. Only the readers of zones
// are announced there, because whoever finds one of them hears of all others.
func (n *Node) join(ctx context.Context, now time.Time) {
	if n.joining || n.announced || now.Before(n.joinAt) {
		return
	}
	found := len(n.members.peers) > 0
	switch {
	case !found && now.Sub(n.started) < seedTime:
		n.joinAt = now.Add(seedTime / 4)
		n.greetSeeds()
		return
	case found && !(n.reader && now.Sub(n.readerSince) > announceAfter):
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
	n.announced = true
	n.countedAt = time.Time{}
	n.noteInstances(now)
	n.Log.Info("Announced this instance.", "members", len(e.members))
}
