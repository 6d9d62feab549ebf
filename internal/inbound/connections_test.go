package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// closable counts how often it was closed.
type closable struct {
	network.Conn
	closed atomic.Int64
}

func (c *closable) Close() error {
	c.closed.Add(1)
	return nil
}

// Guards against a planned stop that closes a connection on which a request has just arrived: in the socket, or with its
// goroutine, which has read the first bytes and not said so yet.
func TestConnectionWithARequestIsNotIdle(t *testing.T) {
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

	var all Connections
	conn := &closable{}
	entry := all.Add(context.WithValue(context.Background(), socketKey{}, socket), conn)
	if _, err := caller.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Second); !entry.HasInput(); {
		if time.Now().After(deadline) {
			t.Fatal("the byte is not noticed")
		}
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		if all.CloseIdle() != 1 || conn.closed.Load() != 0 {
			t.Fatal("a connection with unread bytes was closed")
		}
	}
	if _, err := socket.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	all.SetBusy(entry, true)
	all.CloseIdle()
	all.SetBusy(entry, false)
	if all.CloseIdle() != 1 || conn.closed.Load() != 0 {
		t.Error("a connection was closed at the first look after its request")
	}
	if all.CloseIdle() != 0 || conn.closed.Load() != 1 {
		t.Error("an idle connection stays open")
	}
}
