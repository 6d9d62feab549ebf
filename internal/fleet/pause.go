package fleet

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/clock"
)

const (
	// pauseThreshold is the time between two ticks from which on the process counts as paused. Ticks are at most
	// idleTickInterval apart.
	pauseThreshold = time.Second
	// flushThreshold is the time between two ticks from which on the datagrams that waited in the socket are dropped. The
	// ages in them are too low by the time that they waited.
	flushThreshold = 300 * time.Millisecond
	// flushTimeout ends a flush whose markers were lost.
	flushTimeout = time.Second
	// suspensionMemory is longer than a call, or the wait of a datagram for the control loop, takes.
	suspensionMemory = 10 * time.Second
)

// flush is the state of dropping the datagrams that waited in the socket during a pause. They are those that arrive before
// a marker, which this instance sends to itself after the pause. A socket keeps the order of its datagrams.
type flush struct {
	// marker is the number of the latest marker, and startedAt is when it was sent. The control loop owns both.
	marker    uint64
	startedAt time.Time
	// active is true until the marker arrives.
	active atomic.Bool
	// tickedAt is the time of the latest tick since the start of the node. It is 0 before the control loop runs.
	tickedAt atomic.Int64
}

// recordTick records that the control loop runs.
func (n *Node) recordTick(now time.Time) {
	n.lastTick = now
	n.flush.tickedAt.Store(max(int64(now.Sub(n.started)), 1))
}

// detectPause detects that the process was paused or the host suspended. Another instance may have taken over as
// leader meanwhile, so this one has to listen first.
func (n *Node) detectPause(now time.Time) {
	_, suspended := n.suspensionClock.takeSuspended()
	pause := now.Sub(n.lastTick) + suspended + n.unhandledSuspension
	n.unhandledSuspension = 0
	n.recordTick(now)
	if suspended > 0 {
		n.recordSuspension(now, suspended)
	}
	n.updateFlush(now, pause)
	if pause < pauseThreshold {
		return
	}
	n.Log.Warn("The process was paused.", "pause_ms", pause.Milliseconds(), "suspended_ms", suspended.Milliseconds(), "reader", n.isLeader)
	n.resumedAt = now
}

// recordSuspension moves what was known before a suspension of the host back by its length.
func (n *Node) recordSuspension(now time.Time, length time.Duration) {
	n.backdate(length)
	n.suspensions = slices.DeleteFunc(n.suspensions, func(s suspension) bool { return now.Sub(s.endedAt) >= suspensionMemory })
	n.suspensions = append(n.suspensions, suspension{endedAt: now, length: length})
}

// detectPauseBeforeEvent detects a pause when an event is handled before the first tick after it. Otherwise the event would
// find this instance in the role that it had before the pause. A suspension of the host, which the monotonic clock does not
// show, is looked for before the results of calls: their age tells how old the knowledge of this instance is.
func (n *Node) detectPauseBeforeEvent(e event, now time.Time) {
	if now.Sub(n.lastTick) < flushThreshold && !isCallResult(e) {
		return
	}
	n.detectPause(now)
	n.updateLeadership(now)
}

// isCallResult reports whether an event is the result of a call that tells how far a topic was read.
func isCallResult(e event) bool {
	switch e.(type) {
	case targetsRead, configsRead, stateFetched:
		return true
	}
	return false
}

// suspension is a suspension of the host.
type suspension struct {
	endedAt time.Time
	length  time.Duration
}

// startOfCall returns when a call began, corrected by the suspensions of the host during it.
func (n *Node) startOfCall(startedAt time.Time) time.Time {
	corrected := startedAt
	for _, s := range n.suspensions {
		if startedAt.Before(s.endedAt) {
			corrected = corrected.Add(-s.length)
		}
	}
	return corrected
}

// listeningSince returns since when this instance hears from others without a pause.
func (n *Node) listeningSince() time.Time { return clock.Later(n.started, n.resumedAt) }

// backdate moves the times of what was received and read before a suspension of the host back by its length, because
// the monotonic clock stops during a suspension.
func (n *Node) backdate(by time.Duration) {
	n.targetsTopic.Backdate(by)
	n.configsTopic.Backdate(by)
	n.shardsAssignedAt = n.shardsAssignedAt.Add(-by)
	n.registry.BackdateStore(by)
	n.members.backdate(by)
}

// updateFlush starts a flush after a gap between two ticks, and continues one. A marker is lost if the socket is still full, so
// each tick sends it again. A process that is only slow would drop all datagrams if each late tick started another flush.
func (n *Node) updateFlush(now time.Time, gap time.Duration) {
	active := n.flush.active.Load()
	switch {
	case gap >= pauseThreshold || gap >= flushThreshold && !active:
		n.flush.marker++
		n.flush.startedAt = now
		n.flush.active.Store(true)
	case !active:
		return
	case now.Sub(n.flush.startedAt) >= flushTimeout:
		n.flush.active.Store(false)
		return
	}
	n.sendToAddress(n.Self.Address, &datagram{From: n.Self.ID, Started: n.Self.Started, Marker: n.flush.marker})
}

// handleOwnDatagram ends the flush if a datagram of this instance to itself is its marker.
func (n *Node) handleOwnDatagram(d *datagram) {
	if d.Started == n.Self.Started && d.Marker == n.flush.marker {
		n.flush.active.Store(false)
	}
}

// mayHaveWaited reports whether a datagram that is received now may have waited in the socket during a pause. It is safe
// for concurrent use.
func (n *Node) mayHaveWaited(now time.Time) bool {
	tickedAt := time.Duration(n.flush.tickedAt.Load())
	return n.flush.active.Load() || tickedAt > 0 && now.Sub(n.started)-tickedAt >= flushThreshold
}
