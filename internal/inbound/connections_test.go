package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// fakeConn counts how often it is closed.
type fakeConn struct {
	network.Conn
	closed atomic.Int64
}

func (c *fakeConn) Close() error {
	c.closed.Add(1)
	return nil
}

// Guards against a graceful shutdown that closes a connection on which a request has just arrived: its bytes are still in the
// socket, or its goroutine has read the first ones but not yet called SetBusy.
func TestConnectionWithRequestIsNotIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()

	var connections Connections
	conn := &fakeConn{}
	entry := connections.Add(context.WithValue(context.Background(), socketKey{}, socket), conn)
	if _, err := caller.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Second); !entry.HasInput(); {
		if time.Now().After(deadline) {
			t.Fatal("HasInput does not report the unread byte")
		}
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		if connections.CloseIdle() != 1 || conn.closed.Load() != 0 {
			t.Fatal("a connection with unread bytes was closed")
		}
	}
	if _, err := socket.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	connections.SetBusy(entry, true)
	connections.CloseIdle()
	connections.SetBusy(entry, false)
	if connections.CloseIdle() != 1 || conn.closed.Load() != 0 {
		t.Error("the first call of CloseIdle after a request closed the connection")
	}
	if connections.CloseIdle() != 0 || conn.closed.Load() != 1 {
		t.Error("an idle connection was not closed")
	}
}
