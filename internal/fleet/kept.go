package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// keepAfter is how long an instance reads its zone before it keeps the marks.
	keepAfter = 100 * time.Millisecond
	// readKeptRetry is the pause after a read of the kept marks that failed. After a restart of all they have to be known again
	// within the 3 s after which instances count as undisturbed.
	readKeptRetry = 500 * time.Millisecond
	// keepRetry is the pause after a mark could not be kept.
	keepRetry = 2 * time.Second
	// keepInterval is how often marks are looked at that have to be kept, or dropped.
	keepInterval = 500 * time.Millisecond
	// maxKeptMarks bounds the marks in the store.
	maxKeptMarks = 64
)

// keptMarks is what an instance knows of the marks in the store. Marks that refuse their request are kept there, because after a
// restart of all instances nobody else knows them. One instance of the fleet keeps them for all.
type keptMarks struct {
	// inStore holds the keys that this instance knows to be there.
	inStore map[string]bool
	// read is true once the marks were read in the store, here or by a peer that told its state. The first start of the system
	// has none.
	read bool
	// calling is true while a call is under way, and nextAt when the next one may be made.
	calling bool
	nextAt  time.Time
}

// keptMarksRead is the end of a read of the marks in the store.
type keptMarksRead struct {
	marks []discovery.CrashMark
	err   error
}

// markKept is the end of a call that keeps or drops a mark.
type markKept struct {
	mark discovery.CrashMark
	err  error
}

// keepsMarks reports whether this instance keeps the marks for all: it reads the load of the first zone that has a reader. Just
// after a start several take themselves for that.
func (n *Node) keepsMarks(now time.Time) bool {
	if !n.reader || now.Sub(n.readerSince) < keepAfter {
		return false
	}
	for zone := range n.readers {
		if zone < n.Self.Zone {
			return false
		}
	}
	return true
}

// keepMarks reads the marks in the store after a start, and brings them in line with those of this instance.
func (n *Node) keepMarks(ctx context.Context, now time.Time) {
	if n.CrashMarks == nil || n.kept.calling || now.Before(n.kept.nextAt) || !n.targets.known || !n.keepsMarks(now) {
		return
	}
	n.kept.nextAt = now.Add(keepInterval)
	if !n.kept.read {
		n.kept.calling = true
		n.traffic.calls[CallCrashMarks].Add(1)
		go func() {
			marks, err := n.Store.CrashMarks(ctx)
			n.deliver(ctx, keptMarksRead{marks, err})
		}()
		return
	}
	mark, due := n.dueMark()
	if !due {
		return
	}
	n.kept.calling = true
	n.traffic.calls[CallPutCrashMark].Add(1)
	go func() { n.deliver(ctx, markKept{mark, n.Store.PutCrashMark(ctx, mark)}) }()
}

// dueMark returns a mark that is not in the store yet, or one without data that has to be dropped there.
func (n *Node) dueMark() (due discovery.CrashMark, found bool) {
	if n.marksDigest() == 0 && len(n.kept.inStore) == 0 {
		return due, false
	}
	refused := map[string]bool{}
	n.CrashMarks.EachCrashMark(func(key string, data []byte, isRefused bool) {
		if !isRefused {
			return
		}
		refused[key] = true
		if !found && !n.kept.inStore[key] && len(n.kept.inStore) < maxKeptMarks {
			due, found = discovery.CrashMark{Key: key, Data: data}, true
		}
	})
	for key := range n.kept.inStore {
		if !refused[key] {
			return discovery.CrashMark{Key: key}, true
		}
	}
	return due, found
}

func (n *Node) handleKeptMarks(e keptMarksRead, now time.Time) {
	n.kept.calling = false
	if e.err != nil {
		n.kept.nextAt = now.Add(readKeptRetry)
		n.Log.Info("Could not read the kept crash marks.", "error", e.err)
		return
	}
	n.kept.read = true
	n.Log.Info("Read the kept crash marks.", "marks", len(e.marks))
	for _, mark := range e.marks {
		n.kept.inStore[mark.Key] = true
		if n.CrashMarks.MergeCrashMark(mark.Key, mark.Data) {
			n.tellMark(mark, now)
		}
	}
}

func (n *Node) handleMarkKept(e markKept, now time.Time) {
	n.kept.calling = false
	if e.err != nil {
		n.kept.nextAt = now.Add(keepRetry)
		n.Log.Info("Could not keep a crash mark.", "fingerprint", e.mark.Key, "error", e.err)
		return
	}
	if e.mark.Data == nil {
		delete(n.kept.inStore, e.mark.Key)
	} else {
		n.kept.inStore[e.mark.Key] = true
	}
	n.Log.Info("Kept a crash mark.", "fingerprint", e.mark.Key, "dropped", e.mark.Data == nil)
}
