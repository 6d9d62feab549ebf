package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
)

const (
	// storedMarksDelay is how long an instance has to be leader of its zone before it reads or writes the stored marks.
	storedMarksDelay = 100 * time.Millisecond
	// storedMarksReadRetry is the pause after a failed read of the stored marks. After a restart of all instances the
	// marks have to be known again within 3 s, because the limit on the crashes of a request then applies again.
	storedMarksReadRetry = 500 * time.Millisecond
	// putMarkRetry is the pause after a failed write of a mark.
	putMarkRetry = 2 * time.Second
	// putMarkInterval is the time between two checks for marks that have to be written or deleted.
	putMarkInterval = 500 * time.Millisecond
	// storedMarksListingDelay is how long after a write that got no answer, or after the last write of the instance that wrote the
	// marks before, the stored marks are listed. The store may execute such a write until shortly before.
	storedMarksListingDelay = registry.MaxWriteDelay + time.Second
	// maxStoredMarks is the largest number of marks in the store.
	maxStoredMarks = 64
)

// storedMarks is the state of the marks in the store, as this instance knows it. Marks whose requests are refused are
// stored, because after a restart of all instances no instance knows them any more. One instance of the fleet writes
// them for all.
type storedMarks struct {
	// inStore holds the keys of the marks that are known to be in the store.
	inStore map[string]bool
	// writing is true while this instance writes the marks for the fleet.
	writing bool
	// listingDue is when inStore has to be compared with the store, zero if no write of unknown result is left.
	listingDue time.Time
	// loaded is true once the stored marks were read, by this instance or by a peer that sent its state. It is true
	// from the beginning on the first start of the system, when the store has none.
	loaded bool
	// callInFlight is true while a call is in flight, and nextCall is the earliest time of the next one.
	callInFlight bool
	nextCall     time.Time
}

// storedMarksRead is the result of a read of the stored marks.
type storedMarksRead struct {
	marks  []discovery.CrashMark
	sentAt time.Time
	err    error
}

// markStored is the result of a call that writes or deletes a stored mark.
type markStored struct {
	mark discovery.CrashMark
	err  error
}

// writesStoredMarks reports whether this instance manages the stored marks for the whole fleet: it is the leader of the
// first zone, by name, that has a leader. Shortly after a start this can be true on several instances.
func (n *Node) writesStoredMarks(now time.Time) bool {
	if !n.isLeader || now.Sub(n.leaderSince) < storedMarksDelay {
		return false
	}
	for zone := range n.zoneLeaders {
		if zone < n.Self.Zone {
			return false
		}
	}
	return true
}

// syncStoredMarks reads the stored marks after a start, and then writes and deletes them one by one to match the marks
// of this instance. It lists them again when the store may have executed a write of unknown result.
func (n *Node) syncStoredMarks(ctx context.Context, now time.Time) {
	if n.CrashMarks == nil || !n.updateMarksWriter(now) || n.storedMarks.callInFlight || now.Before(n.storedMarks.nextCall) || !n.targetsTopic.Known {
		return
	}
	n.storedMarks.nextCall = now.Add(putMarkInterval)
	if !n.storedMarks.loaded || n.storedMarksListingDue(now) {
		n.readStoredMarks(ctx, now)
		return
	}
	if mark, found := n.nextMarkToPut(); found {
		n.putMark(ctx, mark)
	}
}

// updateMarksWriter updates whether this instance writes the stored marks, and reports it.
func (n *Node) updateMarksWriter(now time.Time) bool {
	writes := n.writesStoredMarks(now)
	if writes && !n.storedMarks.writing {
		n.storedMarks.listingDue = now.Add(storedMarksListingDelay)
	}
	n.storedMarks.writing = writes
	return writes
}

// storedMarksListingDue reports whether the stored marks have to be listed. Without any mark there was none to write either.
func (n *Node) storedMarksListingDue(now time.Time) bool {
	due := n.storedMarks.listingDue
	return !due.IsZero() && !now.Before(due) && (n.marksDigest() != 0 || len(n.storedMarks.inStore) > 0)
}

// readStoredMarks starts a read of the stored marks. The returned channel is closed once its result is delivered.
func (n *Node) readStoredMarks(ctx context.Context, now time.Time) <-chan struct{} {
	n.storedMarks.callInFlight = true
	n.traffic.storeCalls[CallCrashMarks].Add(1)
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		e := storedMarksRead{sentAt: now}
		e.err = n.guardCall(storePart, func() (err error) {
			e.marks, err = n.Store.CrashMarks(ctx)
			return err
		})
		n.deliver(ctx, e)
	}()
	return delivered
}

// firstMarksWait is how much longer than for the first listing of the targets an instance waits for the stored marks.
const firstMarksWait = 100 * time.Millisecond

// readMarksWithListing starts a read of the stored marks together with the first listing of the targets, because an instance serves
// once it has that. Instances that fetch the listing from this one get the marks with it. The returned function waits until the
// result of the read is delivered, at most for firstMarksWait.
func (n *Node) readMarksWithListing(ctx context.Context, now time.Time) (wait func()) {
	if n.CrashMarks == nil || n.targetsTopic.Known || n.storedMarks.loaded || n.storedMarks.callInFlight {
		return func() {}
	}
	delivered := n.readStoredMarks(ctx, now)
	return func() {
		select {
		case <-delivered:
		case <-time.After(firstMarksWait):
		}
	}
}

func (n *Node) putMark(ctx context.Context, mark discovery.CrashMark) {
	n.storedMarks.callInFlight = true
	n.traffic.storeCalls[CallPutCrashMark].Add(1)
	go func() {
		err := n.guardCall(storePart, func() error { return n.Store.PutCrashMark(ctx, mark) })
		n.deliver(ctx, markStored{mark, err})
	}()
}

// nextMarkToPut returns a mark that is not stored yet, or one without data that has to be deleted from the store.
func (n *Node) nextMarkToPut() (next discovery.CrashMark, found bool) {
	if n.marksDigest() == 0 && len(n.storedMarks.inStore) == 0 {
		return next, false
	}
	refused := map[string]bool{}
	n.CrashMarks.EachCrashMark(func(key string, data []byte, isRefused bool) {
		if !isRefused {
			return
		}
		refused[key] = true
		if !found && !n.storedMarks.inStore[key] && len(n.storedMarks.inStore) < maxStoredMarks {
			next, found = discovery.CrashMark{Key: key, Data: data}, true
		}
	})
	for key := range n.storedMarks.inStore {
		if !refused[key] {
			return discovery.CrashMark{Key: key}, true
		}
	}
	return next, found
}

func (n *Node) handleStoredMarksRead(e storedMarksRead, now time.Time) {
	n.storedMarks.callInFlight = false
	if e.err != nil {
		n.storedMarks.nextCall = now.Add(storedMarksReadRetry)
		n.Log.Info("Could not read the stored crash marks.", "error", e.err)
		return
	}
	n.Log.Info("Read the stored crash marks.", "marks", len(e.marks))
	// The marks of the store are merged only after a start. Later this instance knows the newer state.
	merge := !n.storedMarks.loaded
	n.storedMarks.loaded = true
	if n.storedMarksListingDue(e.sentAt) {
		n.storedMarks.listingDue = time.Time{}
	}
	clear(n.storedMarks.inStore)
	for _, mark := range e.marks {
		n.storedMarks.inStore[mark.Key] = true
		if merge && n.CrashMarks.MergeCrashMark(mark.Key, mark.Data) {
			n.broadcastMark(mark, now)
		}
	}
}

func (n *Node) handleMarkStored(e markStored, now time.Time) {
	n.storedMarks.callInFlight = false
	if e.err != nil {
		n.storedMarks.nextCall = now.Add(putMarkRetry)
		n.storedMarks.listingDue = now.Add(storedMarksListingDelay)
		n.Log.Info("Could not store or delete a crash mark.", "fingerprint", e.mark.Key, "error", e.err)
		return
	}
	if e.mark.Data == nil {
		delete(n.storedMarks.inStore, e.mark.Key)
	} else {
		n.storedMarks.inStore[e.mark.Key] = true
	}
	n.Log.Info("Stored or deleted a crash mark.", "fingerprint", e.mark.Key, "dropped", e.mark.Data == nil)
}
