package fleet

import (
	"context"
	"errors"
	"github.com/basillink/basillink/internal/discovery"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// fetchTimeout bounds a request for the state of a peer. A silent connection is given up.
const fetchTimeout = 300 * time.Millisecond

// fetchSpread is the time, per instance of the zone, over which requests to one peer are spread.
const fetchSpread = 4 * time.Millisecond

// stateServer answers peers that ask for the state, over net/rpc.
type stateServer struct {
	node    *Node
	address string
	server  *rpc.Server

	mu       sync.Mutex
	listener net.Listener
}

// Fleet is the receiver of the calls between instances.
type Fleet struct{ node *Node }

// State returns what the called instance knows.
func (f *Fleet) State(request StateRequest, reply *State) error {
	asked := stateAsked{request: request, reply: make(chan State, 1)}
	f.node.post(asked)
	select {
	case *reply = <-asked.reply:
		return nil
	case <-time.After(fetchTimeout):
		return trace.ConnectionProblem(nil, "the control loop is busy")
	}
}

// MarksRequest asks for the crash marks of another instance.
type MarksRequest struct{}

// MarksReply holds the crash marks of an instance.
type MarksReply struct{ Marks []discovery.CrashMark }

// Marks returns the crash marks of the called instance.
func (f *Fleet) Marks(_ MarksRequest, reply *MarksReply) error {
	reply.Marks = f.node.allMarks()
	return nil
}

func newStateServer(n *Node, address string) *stateServer {
	s := &stateServer{node: n, address: address, server: rpc.NewServer()}
	if err := s.server.Register(&Fleet{n}); err != nil {
		n.Log.Error("Could not register the calls between instances.", "error", err)
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

// callIdleLimit ends a connection of a peer. Each connection carries one call.
const callIdleLimit = 2 * time.Second

func (s *stateServer) run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.node.Log.Warn("Could not accept a peer.", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if err := conn.SetDeadline(time.Now().Add(callIdleLimit)); err != nil {
			_ = conn.Close()
			continue
		}
		go s.server.ServeConn(conn)
	}
}

func (s *stateServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// fetch asks a peer for its state.
func (s *sockets) fetch(ctx context.Context, address string, request StateRequest) (*State, error) {
	var state State
	if err := call(ctx, address, "Fleet.State", request, &state); err != nil {
		return nil, err
	}
	return &state, nil
}

// fetchMarks asks a peer for its crash marks.
func (s *sockets) fetchMarks(ctx context.Context, address string) ([]discovery.CrashMark, error) {
	var reply MarksReply
	if err := call(ctx, address, "Fleet.Marks", MarksRequest{}, &reply); err != nil {
		return nil, err
	}
	return reply.Marks, nil
}

// call calls a peer on a connection of its own.
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
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	return trace.Wrap(client.Call(method, request, reply))
}

// fetchPause spreads the requests of a zone to one peer.
func (n *Node) fetchPause() time.Duration {
	return time.Duration(n.Random.Int64N(int64(time.Duration(n.members.zoneSize())*fetchSpread) + 1))
}

// fetchState asks a peer for what this instance lacks.
func (n *Node) fetchState(ctx context.Context, address string, now time.Time) {
	if n.fetching || now.Before(n.fetchAt) {
		return
	}
	n.fetching = true
	pause := n.fetchPause()
	request := StateRequest{MarksDigest: n.marksDigest()}
	if n.table != nil {
		request.HaveVersion, request.HaveConfig = n.table.Version, true
	}
	if n.targets.known {
		request.TargetsNext = n.targets.next
	}
	go func() {
		time.Sleep(pause)
		state, err := n.link.fetch(ctx, address, request)
		n.deliver(ctx, stateFetched{state, err})
	}()
}

// state answers a peer.
func (n *Node) state(request StateRequest, now time.Time) State {
	s := State{
		ConfigNext: n.configs.next, ConfigAge: now.Sub(n.configs.asOf),
		TargetsNext: n.targets.next, TargetsAge: now.Sub(n.targets.asOf),
		Members: n.members.introductions(n.Self.Zone, true), TargetsListed: n.targets.known, ConfigListed: n.configs.known,
		MarksRead: n.kept.read,
	}
	if n.config != nil && (!request.HaveConfig || request.HaveVersion < n.config.Version) {
		s.Config = n.config
	}
	if n.targets.known {
		s.Targets, s.TargetsFrom = n.registry.Changes(request.TargetsNext, now)
	}
	if digest := n.marksDigest(); digest != 0 && digest != request.MarksDigest {
		s.Marks = n.allMarks()
	}
	return s
}

// handleState takes over what a peer knows.
func (n *Node) handleState(e stateFetched, now time.Time) {
	n.fetching = false
	if e.err != nil {
		n.fetchAt = now.Add(fetchTimeout)
		n.configs.alone, n.targets.alone = true, true
		n.Log.Info("Could not fetch the state of a peer.", "error", e.err)
		return
	}
	s := e.state
	n.meet(s.Members, now)
	n.takeStateMarks(s.Marks)
	n.kept.read = n.kept.read || s.MarksRead
	changed := n.takeTargetState(s, now)
	if s.Config != nil || s.ConfigListed && !n.configs.known {
		n.configs.next, n.configs.known, n.configs.behind = max(n.configs.next, s.ConfigNext), true, false
		n.configs.fresh(now.Add(-s.ConfigAge))
		n.applyConfig(s.Config, "peer", now)
	}
	if changed {
		n.publish(now)
	}
}

// takeTargetState takes over the targets that a peer knows. It reports whether there was anything new.
func (n *Node) takeTargetState(s *State, now time.Time) bool {
	if !s.TargetsListed || n.targets.known && s.TargetsNext <= n.targets.next {
		return false
	}
	if s.TargetsFrom > 0 {
		n.applyChanges(s.Targets, now)
		n.registry.ReadTo(s.TargetsNext)
	} else {
		// The peer may have listed the targets after one left that this instance still knows.
		n.replaceTargets(s.Targets, s.TargetsNext, "peer", now)
	}
	n.targets.next, n.targets.known, n.targets.behind = s.TargetsNext, true, false
	n.targets.fresh(now.Add(-s.TargetsAge))
	return true
}
