package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// testExecutor is an Executor and a Configuration.
type testExecutor struct {
	mu   sync.Mutex
	fold *intent.Fold
}

func (o *testExecutor) Do(_ context.Context, f func()) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
	return nil
}

func (o *testExecutor) AppliedOffset() logservice.Offset { return o.fold.State().Through }
func (o *testExecutor) Delta(after logservice.Offset) *intent.Delta {
	return o.fold.State().Delta(after)
}
func (o *testExecutor) ObservePeerOffset(logservice.Offset) {}
func (o *testExecutor) Merge(d *intent.Delta) error {
	_, err := o.fold.Merge(d)
	return err
}

func (o *testExecutor) through() logservice.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fold.State().Through
}

func startNode(t *testing.T, id, secret string) (*Node, *testExecutor) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	executor := &testExecutor{fold: intent.NewFold()}
	n, err := NewNode(Config{
		Self:          Member{Identity: Identity{ID: id, Incarnation: 1}, PeerAddress: address},
		ListenAddress: address, Secret: secret, Executor: executor, Configuration: executor,
		Random: rand.New(rand.NewPCG(1, uint64(len(id)))),
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.Serve() }()
	t.Cleanup(n.Close)
	return n, executor
}

func (n *Node) address() string { return n.config.Self.PeerAddress }

const testSecret = "a secret of the test fleet"

// Guards against a client that accepts a server without the secret, and against a server that accepts its own proof,
// reflected, from a client without the secret.
func TestHandshakeRejectsWrongSecret(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	b, _ := startNode(t, "b", "another secret of a fleet")
	err := a.connPool.call(t.Context(), b.address(), "Peer.Exchange", Exchange{}, &Exchange{})
	var auth *AuthError
	if !errors.As(err, &auth) {
		t.Errorf("call with another secret returned error %v, want *AuthError", err)
	}
	conn, err := net.Dial("tcp", b.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(make([]byte, nonceBytes))
	response := make([]byte, nonceBytes+32)
	if _, err := io.ReadFull(conn, response); err != nil {
		t.Fatal(err)
	}
	// The server's own proof, reflected, must not be accepted as the client's.
	_, _ = conn.Write(response[nonceBytes:])
	if n, err := conn.Read(response); err == nil {
		t.Errorf("server sent %d bytes after a reflected proof", n)
	}
}

// Guards against a call that blocks forever because the peer does not respond, and against reuse of a connection whose
// call timed out.
func TestCallTimesOutOnSilentPeer(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	b, executor := startNode(t, "b", testSecret)
	executor.mu.Lock()
	err := a.connPool.call(t.Context(), b.address(), "Peer.Exchange", Exchange{}, &Exchange{})
	executor.mu.Unlock()
	var timeout *TimeoutError
	if !errors.As(err, &timeout) {
		t.Fatalf("call to a blocked peer returned error %v, want *TimeoutError", err)
	}
	if a.connPool.get(b.address()).currentClient() != nil {
		t.Error("the connection of the call that timed out is still open")
	}
	var response Exchange
	if err := a.connPool.call(t.Context(), b.address(), "Peer.Exchange", Exchange{}, &response); err != nil || response.From.ID != "b" {
		t.Errorf("the next call returned error %v and a response from %q", err, response.From.ID)
	}
}

// Guards against sending or receiving messages that exceed MaxMessageBytes.
func TestMessagesAreBounded(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	b, _ := startNode(t, "b", testSecret)
	received := 0
	b.OnClosingRecord(func(ClosingRecord) { received++ })
	cases := []struct {
		name    string
		payload int
		fits    bool
	}{{"largest part", MaxClosingPayloadBytes, true}, {"larger than a message", MaxMessageBytes, false}}
	for _, c := range cases {
		record := ClosingRecord{Instance: "a", Parts: 1, Payload: make([]byte, c.payload)}
		err := a.connPool.call(t.Context(), b.address(), "Peer.Close", record, &CloseAnswer{})
		if c.fits != (err == nil) {
			t.Errorf("%s: call returned error %v", c.name, err)
		}
	}
	if received != 1 {
		t.Errorf("%d records were received, want 1", received)
	}
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() { _, _ = client.Write([]byte{0x7f, 0xff, 0xff, 0xff}) }()
	var size *SizeError
	if _, err := (&frameReader{conn: server}).Read(make([]byte, 1)); !errors.As(err, &size) {
		t.Errorf("frame of 2 GB: got error %v, want *SizeError", err)
	}
}

// Guards against type descriptors that are sent between processes of the same version, and against messages that a
// process of another version cannot decode because the descriptors are missing.
func TestTypeDescriptorsAreSentToOtherVersionsOnly(t *testing.T) {
	const maxUndescribedBytes = 250 // an exchange with one rumor and no type descriptors has fewer than 200 bytes
	for _, same := range []bool{true, false} {
		near, far := net.Pipe()
		writer, reader := newCodec(near, 0, same), newCodec(far, 0, same)
		sent := Exchange{From: Identity{ID: "a", Incarnation: 1}, Rumors: []Rumor{{Kind: KindMember, Key: "b/2"}}}
		go func() { _ = writer.WriteRequest(&rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}, sent) }()
		var header rpc.Request
		var got Exchange
		if err := errors.Join(reader.ReadRequestHeader(&header), reader.ReadRequestBody(&got)); err != nil || got.From != sent.From {
			t.Errorf("same types %t: received from %v, error %v", same, got.From, err)
		}
		if bytes := writer.writeBuf.Len(); (bytes < maxUndescribedBytes) != same {
			t.Errorf("same types %t: the first message has %d bytes; only one without type descriptors has fewer than %d", same, bytes, maxUndescribedBytes)
		}
		_ = errors.Join(near.Close(), far.Close())
	}
}

// Guards against an incomplete configuration when it does not fit into one message.
func TestLargeConfigurationIsPulledInPages(t *testing.T) {
	a, executorA := startNode(t, "a", testSecret)
	b, executorB := startNode(t, "b", testSecret)
	for i := range 8 {
		change := &intent.Change{ID: fmt.Sprint(i), Service: fmt.Sprintf("s%d", i), Spec: largeSpec(t, fmt.Sprintf("s%d", i))}
		payload, err := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		record := logservice.Record{Offset: logservice.Offset(i + 1), Payload: payload}
		if d := executorB.fold.State().Apply(record); d.Verdict != intent.Accepted {
			t.Fatal(d.Verdict, d.Err)
		}
	}
	data, err := executorB.Delta(0).Encode()
	if err != nil || len(data) < 4*MaxMessageBytes {
		t.Fatalf("the configuration has only %d bytes, or was not encoded: error %v", len(data), err)
	}
	a.gossip.SetContacts([]string{b.address()})
	a.tick(t.Context())
	for range 100 {
		if executorA.through() == executorB.through() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if executorA.fold.State().Digest() != executorB.fold.State().Digest() {
		t.Errorf("the pulled configuration differs: applied offset %d, want %d", executorA.through(), executorB.through())
	}
}

func largeSpec(t *testing.T, name string) string {
	t.Helper()
	s := operator.Service{Name: name, Region: "tz-north", Zones: []string{"tz-north-a"}, Classes: []operator.Class{{Name: "lookup"}}}
	for i := range 500 {
		address := fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
		s.Targets = append(s.Targets, operator.Target{Address: address, Zone: "tz-north-a"})
	}
	s.Provision()
	text, err := intent.EncodeService(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against goroutines and connections that remain after Close.
func TestCloseLeaksNoGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a, _ := startNode(t, "a", testSecret)
	b, _ := startNode(t, "b", testSecret)
	for _, address := range []string{b.address(), a.address()} {
		if err := a.connPool.call(t.Context(), address, "Peer.Exchange", Exchange{}, &Exchange{}); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	b.Close()
}

// Guards against rumors that exceed the size limit, and against a spread queue without bounds.
func TestSpreadIsBounded(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	var tooLarge *RumorSizeError
	if err := a.Spread(Rumor{Kind: KindCrash, Key: "k", Payload: make([]byte, MaxPayloadBytes+1)}); !errors.As(err, &tooLarge) {
		t.Errorf("Spread of a rumor that is too large returned error %v, want *RumorSizeError", err)
	}
	for i := range spreadQueueSize + 10 {
		if err := a.Spread(Rumor{Kind: KindCrash, Key: strings.Repeat("k", 1+i%100)}); err != nil {
			t.Fatal(err)
		}
	}
	if a.DroppedRumors() != 10 {
		t.Errorf("%d rumors were dropped, want 10", a.DroppedRumors())
	}
}
