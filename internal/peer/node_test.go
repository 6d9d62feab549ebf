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

// testOwner is an owner and a configuration in one.
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
	owner := &testExecutor{fold: intent.NewFold()}
	n, err := NewNode(Config{
		Self:   Member{Identity: Identity{ID: id, Incarnation: 1}, PeerAddress: address},
		Listen: address, Secret: secret, Executor: owner, Configuration: owner,
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
	return n, owner
}

func (n *Node) address() string { return n.config.Self.PeerAddress }

const testSecret = "a secret of the test fleet"

// Guards against a peer that is served without the secret, and against a server that does not prove its own.
func TestHandshakeRefusesOtherSecret(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	b, _ := startNode(t, "b", "another secret of a fleet")
	err := a.links.call(t.Context(), b.address(), "Peer.Exchange", Exchange{}, &Exchange{})
	var auth *AuthError
	if !errors.As(err, &auth) {
		t.Errorf("error %v", err)
	}
	conn, err := net.Dial("tcp", b.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(make([]byte, nonceBytes))
	answer := make([]byte, nonceBytes+32)
	if _, err := io.ReadFull(conn, answer); err != nil {
		t.Fatal(err)
	}
	// Reflecting the server's own proof must not pass for the client's.
	_, _ = conn.Write(answer[nonceBytes:])
	if n, err := conn.Read(answer); err == nil {
		t.Errorf("the server answered %d bytes to a reflected proof", n)
	}
}

// Guards against a call that blocks for ever on a silent connection, and against a connection that is used again after
// its call timed out.
func TestSilentPeerEndsCall(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	b, owner := startNode(t, "b", testSecret)
	owner.mu.Lock()
	err := a.links.call(t.Context(), b.address(), "Peer.Exchange", Exchange{}, &Exchange{})
	owner.mu.Unlock()
	var timeout *TimeoutError
	if !errors.As(err, &timeout) {
		t.Fatalf("error %v", err)
	}
	if a.links.link(b.address()).current() != nil {
		t.Error("the connection of the call that timed out is kept")
	}
	var answer Exchange
	if err := a.links.call(t.Context(), b.address(), "Peer.Exchange", Exchange{}, &answer); err != nil || answer.From.ID != "b" {
		t.Errorf("the next call returns %v, answer from %q", err, answer.From.ID)
	}
}

// Guards against messages that exceed the stated size limit, in either direction.
func TestMessagesAreBounded(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	b, _ := startNode(t, "b", testSecret)
	taken := 0
	b.OnClosingRecord(func(ClosingRecord) { taken++ })
	cases := []struct {
		name    string
		payload int
		fits    bool
	}{{"largest part", MaxClosingPayloadBytes, true}, {"beyond the limit", MaxMessageBytes, false}}
	for _, c := range cases {
		record := ClosingRecord{Instance: "a", Parts: 1, Payload: make([]byte, c.payload)}
		err := a.links.call(t.Context(), b.address(), "Peer.Close", record, &CloseAnswer{})
		if c.fits != (err == nil) {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
	if taken != 1 {
		t.Errorf("%d records were taken", taken)
	}
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() { _, _ = client.Write([]byte{0x7f, 0xff, 0xff, 0xff}) }()
	var size *SizeError
	if _, err := (&frameReader{conn: server}).Read(make([]byte, 1)); !errors.As(err, &size) {
		t.Errorf("a frame of 2 GB: error %v", err)
	}
}

// Guards against type descriptions that are sent on each connection between processes of one version, and against
// messages that a process of another version cannot decode.
func TestTypesAreDescribedToOtherVersions(t *testing.T) {
	const described = 250 // bytes; an exchange with a rumor has less than 200
	for _, same := range []bool{true, false} {
		near, far := net.Pipe()
		writer, reader := newCodec(near, 0, same), newCodec(far, 0, same)
		sent := Exchange{From: Identity{ID: "a", Incarnation: 1}, Rumors: []Rumor{{Kind: KindMember, Key: "b/2"}}}
		go func() { _ = writer.WriteRequest(&rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}, sent) }()
		var header rpc.Request
		var got Exchange
		if err := errors.Join(reader.ReadRequestHeader(&header), reader.ReadRequestBody(&got)); err != nil || got.From != sent.From {
			t.Errorf("same types %t: from %v, error %v", same, got.From, err)
		}
		if bytes := writer.out.Len(); (bytes < described) != same {
			t.Errorf("same types %t: the first message has %d bytes", same, bytes)
		}
		_ = errors.Join(near.Close(), far.Close())
	}
}

// Guards against a configuration beyond one message that arrives incomplete.
func TestLargeConfigurationIsPulledInPages(t *testing.T) {
	a, ownerA := startNode(t, "a", testSecret)
	b, ownerB := startNode(t, "b", testSecret)
	for i := range 8 {
		change := &intent.Change{ID: fmt.Sprint(i), Service: fmt.Sprintf("s%d", i), Spec: largeSpec(t, fmt.Sprintf("s%d", i))}
		payload, err := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		record := logservice.Record{Offset: logservice.Offset(i + 1), Payload: payload}
		if d := ownerB.fold.State().Apply(record); d.Verdict != intent.Accepted {
			t.Fatal(d.Verdict, d.Err)
		}
	}
	data, err := ownerB.Delta(0).Encode()
	if err != nil || len(data) < 4*MaxMessageBytes {
		t.Fatalf("the configuration has only %d bytes, error %v", len(data), err)
	}
	a.gossip.SetContacts([]string{b.address()})
	a.tick(t.Context())
	for range 100 {
		if ownerA.through() == ownerB.through() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if ownerA.fold.State().Digest() != ownerB.fold.State().Digest() {
		t.Errorf("through %d of %d", ownerA.through(), ownerB.through())
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

// Guards against goroutines and connections that outlive a node.
func TestCloseLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a, _ := startNode(t, "a", testSecret)
	b, _ := startNode(t, "b", testSecret)
	for _, address := range []string{b.address(), a.address()} {
		if err := a.links.call(t.Context(), address, "Peer.Exchange", Exchange{}, &Exchange{}); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	b.Close()
}

// Guards against a rumor or a queue without bounds.
func TestSpreadIsBounded(t *testing.T) {
	a, _ := startNode(t, "a", testSecret)
	var tooLarge *RumorSizeError
	if err := a.Spread(Rumor{Kind: KindCrash, Key: "k", Payload: make([]byte, MaxPayloadBytes+1)}); !errors.As(err, &tooLarge) {
		t.Errorf("error %v", err)
	}
	for i := range spreadQueue + 10 {
		if err := a.Spread(Rumor{Kind: KindCrash, Key: strings.Repeat("k", 1+i%100)}); err != nil {
			t.Fatal(err)
		}
	}
	if a.DroppedRumors() != 10 {
		t.Errorf("%d rumors were dropped", a.DroppedRumors())
	}
}
