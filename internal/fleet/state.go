package fleet

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/accept"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/topic"
)

// fetchTimeout is the timeout of a call to a peer.
const fetchTimeout = 300 * time.Millisecond

// fetchSpreadPerInstance is the time, per instance of the zone, over which requests to one peer are spread.
const fetchSpreadPerInstance = 4 * time.Millisecond

// stateServer serves the calls of peers over net/rpc.
type stateServer struct {
	node    *Node
	address string
	server  *rpc.Server
	limit   *accept.Limit

	mu       sync.Mutex
	listener net.Listener
}

// Fleet is the net/rpc receiver of the calls between instances.
type Fleet struct{ node *Node }

// State returns the state of the called instance. It fails if the control loop does not answer within fetchTimeout.
func (f *Fleet) State(request StateRequest, reply *State) error {
	requested := stateRequested{request: request, reply: make(chan State, 1)}
	f.node.enqueue(requested)
	select {
	case *reply = <-requested.reply:
		return nil
	case <-time.After(fetchTimeout):
		return trace.ConnectionProblem(nil, "the control loop is busy")
	}
}

// MarksRequest requests the crash marks of another instance.
type MarksRequest struct{}

// MarksReply holds the crash marks of an instance.
type MarksReply struct{ Marks []discovery.CrashMark }

// Marks returns the crash marks of the called instance.
func (f *Fleet) Marks(_ MarksRequest, reply *MarksReply) error {
	return f.node.guardCall(peerPart, func() error {
		reply.Marks = f.node.allMarks()
		return nil
	})
}

func newStateServer(n *Node, address string) *stateServer {
	s := &stateServer{node: n, address: address, server: rpc.NewServer(), limit: n.peerConnections}
	if err := s.server.Register(&Fleet{n}); err != nil {
		n.Log.Error("Could not register the RPC service for peers.", "error", err)
	}
	return s
}

func (s *stateServer) open() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	return nil
}

const (
	// callTimeLimit is the longest lifetime of a connection of a peer. Each connection carries one call.
	callTimeLimit = 2 * time.Second
	// maxPeerConnections is the maximum number of connections of peers. At the limit, those whose callers have given up are closed for
	// new ones. Fetches from one peer are spread over time, so that few are open at once.
	maxPeerConnections = 96
)

func (s *stateServer) run() {
	for {
		conn, err := accept.Retrying(s.listener)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.node.Log.Warn("Could not accept a connection of a peer.", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		if conn.SetDeadline(time.Now().Add(callTimeLimit)) != nil || !s.limit.Add(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// serve serves the calls of a connection until the peer closes it.
func (s *stateServer) serve(conn net.Conn) {
	defer s.limit.Remove(conn)
	defer func() { _ = conn.Close() }()
	s.node.guard.Run(s.node.Log, peerPart, func() { s.server.ServeCodec(newGobCodec(conn, maxCallBytes)) })
}

func (s *stateServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// fetch fetches the state of a peer.
func (s *sockets) fetch(ctx context.Context, address string, request StateRequest) (*State, error) {
	var state State
	if err := call(ctx, address, "Fleet.State", request, &state); err != nil {
		return nil, err
	}
	return &state, nil
}

// fetchMarks fetches the crash marks of a peer.
func (s *sockets) fetchMarks(ctx context.Context, address string) ([]discovery.CrashMark, error) {
	var reply MarksReply
	if err := call(ctx, address, "Fleet.Marks", MarksRequest{}, &reply); err != nil {
		return nil, err
	}
	return reply.Marks, nil
}

// call calls a method of a peer on a new connection.
func call(ctx context.Context, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			_ = conn.Close()
			return trace.Wrap(err)
		}
	}
	client := rpc.NewClientWithCodec(newGobCodec(conn, maxReplyBytes))
	defer func() { _ = client.Close() }()
	return trace.Wrap(client.Call(method, request, reply))
}

// fetchJitter returns a random delay that spreads the requests of a zone to one peer. The leaders of the zones are few.
func (n *Node) fetchJitter() time.Duration {
	if n.isLeader {
		return 0
	}
	return time.Duration(n.Random.Int64N(int64(time.Duration(n.members.zonePeerCount())*fetchSpreadPerInstance) + 1))
}

// fetchState fetches from a peer what this instance lacks, unless a fetch is in flight or failed just now.
func (n *Node) fetchState(ctx context.Context, address string, now time.Time) {
	if n.fetchInFlight || now.Before(n.nextFetch) {
		return
	}
	n.fetchInFlight = true
	jitter := n.fetchJitter()
	request := StateRequest{MarksDigest: n.marksDigest()}
	if n.table != nil {
		request.HaveVersion, request.HaveConfig = n.table.Version, true
	}
	if n.targetsTopic.Known {
		request.TargetsNext, request.TargetsEra = n.targetsTopic.Next.Offset, n.targetsTopic.Next.Era
	}
	go func() {
		time.Sleep(jitter)
		e := stateFetched{requestedAt: time.Now()}
		e.err = n.guardCall(peerPart, func() (err error) {
			e.state, err = n.link.fetch(ctx, address, request)
			return err
		})
		n.deliver(ctx, e)
	}()
}

// stateFor returns the answer to a peer's request for the state.
func (n *Node) stateFor(request StateRequest, now time.Time) State {
	s := State{
		ConfigNext: n.configsTopic.Next.Offset, ConfigEra: n.configsTopic.Next.Era, ConfigAge: now.Sub(n.configsTopic.AsOf),
		TargetsNext: n.targetsTopic.Next.Offset, TargetsEra: n.targetsTopic.Next.Era, TargetsAge: now.Sub(n.targetsTopic.AsOf),
		ConfigAnswer: n.configsTopic.Answer, TargetsAnswer: n.targetsTopic.Answer,
		Members: n.members.membersToIntroduce(n.Self.Zone, true), TargetsListed: n.targetsTopic.Known, ConfigListed: n.configsTopic.Known,
		Evacuations: n.evacuations.Report(now),
		MarksRead:   n.storedMarks.loaded, StoreAnswering: now.Sub(n.registry.StoreAnsweringSince()),
	}
	for _, report := range n.coldReports() {
		if s.Cold == nil {
			s.Cold = map[uint32]time.Duration{}
		}
		s.Cold[report.Target] = time.Duration(report.MS) * time.Millisecond
	}
	if n.config != nil && (!request.HaveConfig || request.HaveVersion < n.config.Version) {
		s.Config = n.config
	}
	if n.targetsTopic.Known {
		changes, from := n.registry.ChangesSince(request.targetsNext(), now)
		s.Targets, s.TargetsFrom, s.TargetsFromEra = changes, from.Offset, from.Era
	}
	if era, at := n.registry.LatestRestore(); era > 0 {
		s.RestoredEra, s.Restored = era, now.Sub(at)
	}
	s.CreditOwner = n.creditAnnouncement()
	if digest := n.marksDigest(); digest != 0 && digest != request.MarksDigest {
		s.Marks = n.allMarks()
	}
	return s
}

// handleStateFetched applies the state of a peer.
func (n *Node) handleStateFetched(e stateFetched, now time.Time) {
	n.fetchInFlight = false
	if e.err != nil {
		n.nextFetch = now.Add(fetchTimeout)
		n.configsTopic.PeersFailed, n.targetsTopic.PeersFailed = true, true
		n.Log.Info("Could not fetch the state of a peer.", "error", e.err)
		return
	}
	e.requestedAt = n.startOfCall(e.requestedAt)
	s := e.state
	for target, left := range s.Cold {
		n.learnCold([]coldReport{{Target: target, MS: uint32(left.Milliseconds())}})
	}
	n.addMembers(s.Members, now)
	n.hearCreditOwner(s.CreditOwner, now)
	n.mergeStateMarks(s.Marks, now)
	n.storedMarks.loaded = n.storedMarks.loaded || s.MarksRead
	if s.TargetsListed {
		// The ages are those at the peer, which answered after the request.
		until := n.targetsTopic.DateAnswer(s.TargetsAnswer, e.requestedAt.Add(-s.TargetsAge))
		n.registry.StoreAnswered(e.requestedAt.Add(-s.StoreAnswering), until)
	}
	evacuated := s.Evacuations != nil && n.applyEvacuationReport(s.Evacuations, now)
	changed := n.mergeTargetState(e, now) || evacuated
	if s.Config != nil || s.ConfigListed && !n.configsTopic.Known {
		n.configsTopic.Next, n.configsTopic.Known, n.configsTopic.Behind = topic.Later(n.configsTopic.Next, s.configNext()), true, false
		n.configsTopic.Refresh(e.requestedAt.Add(-max(s.ConfigAge, 0)), s.ConfigAnswer)
		n.applyNewestConfig(s.Config, "peer", now)
	}
	if changed {
		n.publishView(now)
	}
}

// mergeTargetState applies the targets in the state of a peer. It reports whether they were newer than those of this
// instance.
func (n *Node) mergeTargetState(e stateFetched, now time.Time) bool {
	s := e.state
	if !s.TargetsListed || n.targetsTopic.Known && !s.targetsNext().After(n.targetsTopic.Next) {
		return false
	}
	n.registry.Restored(s.RestoredEra, e.requestedAt.Add(-s.Restored))
	n.enterEra(s.targetsNext(), "peer", now)
	if s.targetsFrom() != (topic.Position{}) {
		n.applyChanges(s.Targets, now)
		n.registry.AdvanceReadPosition(s.targetsNext())
	} else {
		// The peer may have listed the targets only after a target departed that this instance still has.
		n.replaceTargets(s.Targets, s.targetsNext(), "peer", now)
	}
	n.targetsTopic.Next, n.targetsTopic.Known, n.targetsTopic.Behind = s.targetsNext(), true, false
	n.targetsTopic.Refresh(e.requestedAt.Add(-s.TargetsAge), s.TargetsAnswer)
	return true
}
