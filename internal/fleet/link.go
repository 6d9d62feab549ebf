package fleet

import (
	"context"
	"errors"
	"github.com/basillink/basillink/internal/discovery"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// link carries what instances tell and ask each other.
type link interface {
	// run hands what arrives to the node until the link is closed.
	run(ctx context.Context)
	// send sends a datagram to addresses. It may be lost.
	send(b []byte, addresses []*net.UDPAddr)
	// fetch asks the instance at an address for its state.
	fetch(ctx context.Context, address string, request StateRequest) (*State, error)
	// fetchMarks asks the instance at an address for its crash marks.
	fetchMarks(ctx context.Context, address string) ([]discovery.CrashMark, error)
	close()
}

// sockets is the link over the network: datagrams over UDP, and net/rpc over TCP at the same port.
type sockets struct {
	node *Node
	udp  *net.UDPConn
	rpc  *stateServer
}

// openSockets opens the port of peers.
func openSockets(n *Node) (*sockets, error) {
	address, err := net.ResolveUDPAddr("udp", n.Self.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &sockets{node: n, udp: udp, rpc: newStateServer(n, n.Self.Address)}
	if err := s.rpc.open(); err != nil {
		_ = udp.Close()
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func (s *sockets) run(ctx context.Context) {
	go s.receive(ctx)
	go s.rpc.run()
}

// receive hands the datagrams of peers to the node.
func (s *sockets) receive(ctx context.Context) {
	n := s.node
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		length, from, err := s.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.Log.Warn("Could not receive a datagram.", "error", err)
			continue
		}
		n.guard.Run(n.Log, "datagram", func() { n.take(buffer[:length], from) })
	}
}

// sendTimeout bounds the sending of one datagram to all its receivers.
const sendTimeout = 10 * time.Millisecond

// send logs errors only, because a datagram may be lost anyway.
func (s *sockets) send(b []byte, addresses []*net.UDPAddr) {
	log := s.node.Log
	// A full link must not hold up the control loop. What is lost is told again.
	if err := s.udp.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		log.Debug("Could not bound the sending.", "error", err)
	}
	for _, to := range addresses {
		if _, err := s.udp.WriteToUDP(b, to); err != nil {
			log.Debug("Could not send a datagram.", "to", to.String(), "error", err)
		}
	}
}

func (s *sockets) close() {
	_ = s.udp.Close()
	s.rpc.close()
}
