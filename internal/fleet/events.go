package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

// event is an input of the control loop.
type event interface{}

// datagramReceived is a datagram of a peer.
type datagramReceived struct {
	datagram *datagram
	from     string
	// receivedAt is when it was read from the socket, zero if that is not known.
	receivedAt time.Time
}

// configsRead is the result of a read of the operator's records.
type configsRead struct {
	startedAt time.Time
	records   discovery.OperatorRecords
	next      topic.Position
	err       error
}

// targetsRead is the result of a read of targets. complete is true when it holds the newest record of every target.
type targetsRead struct {
	startedAt time.Time
	changes   []registry.Change
	complete  bool
	next      topic.Position
	err       error
}

// membersRead is the result of a read of the announced members. announced is the entry of this instance, nil if the
// read did not announce it.
type membersRead struct {
	members   []discovery.Member
	announced *discovery.Member
	err       error
}

// stateFetched is the answer of a peer to a request for its state.
type stateFetched struct {
	state       *State
	requestedAt time.Time
	err         error
}

// marksFetched is the answer of a peer to a request for its crash marks.
type marksFetched struct {
	marks  []discovery.CrashMark
	peerID string
	err    error
}

// stateRequested is a request of a peer for the state of this instance.
type stateRequested struct {
	request StateRequest
	reply   chan State
}

// roundFinished holds the results of one round of load probes.
type roundFinished struct{ results []probeResult }

// targetMisdirected reports that the address of a target was answered by another incarnation.
type targetMisdirected struct{ targetID string }

// handle processes one event.
func (n *Node) handle(ctx context.Context, e event, now time.Time) {
	switch e := e.(type) {
	case datagramReceived:
		n.handleDatagram(ctx, e, now)
	case configsRead:
		n.handleConfigsRead(e, now)
	case targetsRead:
		n.handleTargetsRead(e, now)
	case membersRead:
		n.handleMembersRead(e, now)
	case stateFetched:
		n.handleStateFetched(e, now)
	case storedMarksRead:
		n.handleStoredMarksRead(e, now)
	case creditOwnerRead:
		n.handleCreditOwnerRead(e, now)
		n.followCreditCall(ctx, now)
	case creditOwnerPut:
		n.handleCreditOwnerPut(e, now)
		n.followCreditCall(ctx, now)
	case markStored:
		n.handleMarkStored(e, now)
	case marksFetched:
		n.handleMarksFetched(e, now)
	case stateRequested:
		e.reply <- n.stateFor(e.request, now)
	case roundFinished:
		n.handleRoundFinished(e, now)
	case markBroadcast:
		n.broadcastMark(e.mark, now)
	case targetMisdirected:
		if n.registry.Drop(e.targetID) {
			n.Log.Info("Dropped a target whose address answers for another one.", "target", e.targetID)
			n.publishView(now)
		}
	}
}

// deliver passes the result of an own call to the control loop. It blocks until there is space, because the loop
// depends on the result.
func (n *Node) deliver(ctx context.Context, e event) {
	select {
	case n.inbox <- e:
	case <-ctx.Done():
	}
}
