package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/storeread"
)

// Names of the parts of the node in the log entries of panics.
const (
	storePart = "store"
	peerPart  = "peer"
)

// Panics returns the number of messages and calls whose handling panicked.
func (n *Node) Panics() int64 { return n.guard.Panics() }

// guardCall runs a call to the store or to a peer and returns a panic as its error, so that the control loop always gets the
// result that it waits for. It is safe for concurrent use.
func (n *Node) guardCall(part string, f func() error) error { return n.guard.Call(n.Log, part, f) }

// handleGuarded handles an event. An event from outside whose handling panics is dropped: the same message reaches
// every instance, so a crash would take down the whole fleet. What it may have left half-applied is repaired. A panic in the
// handling of the node's own events ends the process, which restarts with empty state.
func (n *Node) handleGuarded(ctx context.Context, e event, now time.Time) {
	part := "message"
	switch e.(type) {
	case datagramReceived, stateRequested, stateFetched, marksFetched:
	case configsRead, targetsRead, membersRead, storedMarksRead, markStored, creditOwnerRead, creditOwnerPut:
		part = storePart
	default:
		n.handle(ctx, e, now)
		return
	}
	if n.guard.Run(n.Log, part, func() { n.handle(ctx, e, now) }) {
		return
	}
	// The view may not have been published. Datagrams and states of peers leave nothing else behind: what they update is
	// repeated in full.
	n.republishAt = now
	if part == storePart {
		n.resetReads(e, now)
	}
}

// resetReads makes topics readable again after the handling of an answer of the store panicked.
func (n *Node) resetReads(e event, now time.Time) {
	n.joinInFlight, n.storedMarks.callInFlight = false, false
	switch e.(type) {
	case creditOwnerRead, creditOwnerPut:
		n.creditOwnership.tenure.CallFailed(n.suspensionClock.now())
	}
	for _, topic := range []*storeread.Topic{&n.targetsTopic, &n.configsTopic} {
		if topic.Reading() {
			topic.ReadFailed(now, n.Random.Float64(), n.failingInFleet)
		}
	}
	if read, ok := e.(targetsRead); ok {
		// The topic may count as read up to an offset whose records were not applied. A listing that panics is not repeated.
		n.targetsTopic.Relist = !read.complete
		n.targetsTopic.DelayRetry(now)
	}
}

// republishInterval is the pause between two attempts to publish the view after a panic.
const republishInterval = time.Second

// republishView publishes the view if a panic may have kept it from being published. A panic in it does not end the process
// either, because the view is made of what others sent.
func (n *Node) republishView(now time.Time) {
	if n.republishAt.IsZero() || now.Before(n.republishAt) {
		return
	}
	n.republishAt = now.Add(republishInterval)
	if n.guard.Run(n.Log, "view", func() { n.publishView(now) }) {
		n.republishAt = time.Time{}
	}
}
