package fleet

import (
	"context"
	"errors"
	"github.com/basillink/basillink/internal/discovery"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// link is the network between the instances.
type link interface {
	// run passes received datagrams and calls to the node until the link is closed. It does not block.
	run(ctx context.Context)
	// send sends a datagram to a list of addresses. Datagrams can be lost.
	send(b []byte, addresses []*net.UDPAddr)
	// fetch fetches the state of the instance at an address.
	fetch(ctx context.Context, address string, request StateRequest) (*State, error)
	// fetchMarks fetches the crash marks of the instance at an address.
	fetchMarks(ctx context.Context, address string) ([]discovery.CrashMark, error)
	close()
}

// sockets is the link over the network: datagrams over UDP, and net/rpc over TCP on the same port.
type sockets struct {
	node *Node
	udp  *net.UDPConn
	rpc  *stateServer
}

// openSockets opens both sockets of the peer address.
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

// receive passes the datagrams of peers to the node.
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
		n.guard.Run(n.Log, "datagram", func() { n.receiveDatagram(buffer[:length], from) })
	}
}

// sendTimeout is the timeout for sending one datagram to all its receivers.
const sendTimeout = 10 * time.Millisecond

// send only logs errors, because datagrams can be lost anyway.
func (s *sockets) send(b []byte, addresses []*net.UDPAddr) {
	log := s.node.Log
	// A congested link must not block the control loop. Lost content is sent again.
	if err := s.udp.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		log.Debug("Could not set the write deadline.", "error", err)
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
