package fleet

import (
	"sync/atomic"
	"time"
)

// Keys of callers may only be relied on while the configuration that holds them is known to be current. The control loop publishes
// when it was so last, for the request path. The time is that at which a read of the store began, of this instance or of a peer.

// configsAsOf is the latest time at which the configuration of the view was known to be the newest one, on the clock of Config.Now.
type configsAsOf struct {
	value atomic.Pointer[time.Duration]
	// published is the time of the topic from which value was made. The control loop owns it.
	published time.Time
}

// ConfigsAsOf returns the latest time at which the configuration of the view was known to be the newest one, on the clock of
// Config.Now. It returns false while that is unknown.
func (n *Node) ConfigsAsOf() (asOf time.Duration, known bool) {
	value := n.configsAsOf.value.Load()
	if value == nil {
		return 0, false
	}
	return *value, true
}

// publishConfigsAsOf publishes the time at which the configuration was known to be current. It runs after an event was handled,
// so that the configurations that a read returned are in the view. If the view could not be published, the earlier time holds.
// current returns the time of the control loop. It is read after the clock of Config.Now, so that a pause of the process between
// the two makes the configuration seem older, not newer.
func (n *Node) publishConfigsAsOf(current func() time.Time) {
	view := n.view.Load()
	if view == nil || view.Table != n.table || n.configsTopic.AsOf.Equal(n.configsAsOf.published) {
		return
	}
	// A suspension that the request path has found already is in the clock, but not in the times of this loop.
	now, suspended := n.suspensionClock.takeSuspended()
	if suspended > 0 {
		n.recordSuspension(current(), suspended)
		n.unhandledSuspension += suspended
	}
	asOf := now - current().Sub(n.configsTopic.AsOf)
	n.configsAsOf.value.Store(&asOf)
	n.configsAsOf.published = n.configsTopic.AsOf
}

// publishFirstConfigsAsOf publishes the time together with the first view, because requests wait for it. It is published again
// after the event.
func (n *Node) publishFirstConfigsAsOf(now time.Time) {
	if n.configsAsOf.value.Load() == nil {
		n.publishConfigsAsOf(func() time.Time { return now })
		n.configsAsOf.published = time.Time{}
	}
}

// receptionOf returns when a datagram was read from the socket, corrected if the host was suspended since then.
func (n *Node) receptionOf(e datagramReceived, now time.Time) time.Time {
	if e.receivedAt.IsZero() {
		return now
	}
	return n.startOfCall(e.receivedAt)
}
