package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// Guards against one answer to a load probe that ends the process, and against a target that is not probed any more after it,
// or whose probe counts as answered.
func TestProbePanicIsAFailedProbe(t *testing.T) {
	var faulty atomic.Bool
	faulty.Store(true)
	s := newSampler(scriptedProber{"t": func() (dispatch.LoadReport, error) {
		if faulty.Load() {
			panic("decoder fault")
		}
		return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil
	}}, func() time.Duration { return time.Second }, &panicguard.Guard{}, slog.New(slog.DiscardHandler))
	defer s.stop()
	s.sync([]registry.Target{{Entry: registry.Entry{ID: "t", Address: "t"}}}, func(string) string { return "/" })
	probe := func() probeResult {
		done := make(chan []probeResult, 1)
		s.startRound(func(string, string) bool { return true }, func(results []probeResult) { done <- results })
		select {
		case results := <-done:
			return results[0]
		case <-time.After(time.Second):
			t.Fatal("the target is not probed any more")
		}
		return probeResult{}
	}
	for round := 1; round <= unreachableFailures; round++ {
		if result := probe(); result.failures != round || result.noLoadReport {
			t.Errorf("round %d: %+v, want %d failures", round, result, round)
		}
	}
	faulty.Store(false)
	if result := probe(); result.failures != 0 || result.report.Slots != 4 {
		t.Errorf("after the target is sound again: %+v", result)
	}
	if s.guard.Panics() != unreachableFailures {
		t.Errorf("%d panics were counted, want %d", s.guard.Panics(), unreachableFailures)
	}
}

// faultyStore panics in each call, as a decoder does that meets an answer that it is not made for.
type faultyStore struct{}

func (faultyStore) Era() int64     { return 0 }
func (faultyStore) LearnEra(int64) {}
func (faultyStore) NewestConfig(context.Context) (discovery.OperatorRecords, topic.Position, error) {
	panic("decoder fault")
}
func (faultyStore) ConfigsSince(context.Context, topic.Position) (discovery.OperatorRecords, topic.Position, error) {
	panic("decoder fault")
}
func (faultyStore) NewestTargets(context.Context) ([]registry.Change, topic.Position, error) {
	panic("decoder fault")
}
func (faultyStore) TargetsSince(context.Context, topic.Position) ([]registry.Change, topic.Position, error) {
	panic("decoder fault")
}
func (faultyStore) Members(context.Context) ([]discovery.Member, error)       { panic("decoder fault") }
func (faultyStore) Announce(context.Context, discovery.Member) error          { panic("decoder fault") }
func (faultyStore) CrashMarks(context.Context) ([]discovery.CrashMark, error) { panic("decoder fault") }
func (faultyStore) PutCrashMark(context.Context, discovery.CrashMark) error   { panic("decoder fault") }
func (faultyStore) CreditOwner(context.Context) (*credit.OwnerRecord, topic.Position, error) {
	panic("decoder fault")
}
func (faultyStore) PutCreditOwner(context.Context, credit.OwnerRecord, topic.Position) (topic.Position, error) {
	panic("decoder fault")
}

// faultyLink panics in each call of a peer.
type faultyLink struct{ link }

func (faultyLink) fetch(context.Context, string, StateRequest) (*State, error) {
	panic("decoder fault")
}
func (faultyLink) fetchMarks(context.Context, string) ([]discovery.CrashMark, error) {
	panic("decoder fault")
}

// oneMark is a crash mark whose request is refused, so that it has to be stored.
type oneMark struct{}

func (oneMark) MergeCrashMark(string, []byte) bool { return false }
func (oneMark) CrashDigest() uint64                { return 1 }
func (oneMark) EachCrashMark(add func(key string, data []byte, refused bool)) {
	add("k", []byte{1}, true)
}

// Guards against one answer of the store or of a peer that ends the process in the goroutine of the call, and against a call
// that never ends for the control loop, which then makes no further one.
func TestPanicsInCallsAreErrors(t *testing.T) {
	ctx := context.Background()
	later := testStart.Add(time.Minute)
	calls := map[string]struct {
		call func(n *Node)
		// calls is the number of calls that are made at the same time.
		calls int
	}{
		"configs, listed": {func(n *Node) { n.readConfigs(ctx, later, 0) }, 1},
		"configs":         {func(n *Node) { n.configsTopic.Known = true; n.readConfigs(ctx, later, 0) }, 1},
		"targets, listed": {func(n *Node) { n.storedMarks.loaded = true; n.readTargets(ctx, later, 0) }, 1},
		"first targets":   {func(n *Node) { n.readTargets(ctx, later, 0) }, 2},
		"targets":         {func(n *Node) { n.targetsTopic.Known = true; n.readTargets(ctx, later, 0) }, 1},
		"members":         {func(n *Node) { n.join(ctx, later) }, 1},
		"stored marks":    {func(n *Node) { n.targetsTopic.Known = true; n.syncStoredMarks(ctx, later) }, 1},
		"putting a mark":  {func(n *Node) { n.targetsTopic.Known, n.storedMarks.loaded = true, true; n.syncStoredMarks(ctx, later) }, 1},
		"state of a peer": {func(n *Node) { n.fetchState(ctx, "127.0.0.1:9", later) }, 1},
		"marks of a peer": {func(n *Node) { n.fetchDifferingMarks(ctx, 2, &peerState{marksDifferSince: testStart}, later) }, 1},
	}
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			n := newQuietNode(t, newMember("a1", "a"))
			n.Store, n.link, n.CrashMarks = faultyStore{}, faultyLink{n.link}, oneMark{}
			n.started, n.isLeader, n.leaderSince = testStart, true, testStart
			c.call(n)
			for range c.calls {
				select {
				case e := <-n.inbox:
					n.handleGuarded(ctx, e, later)
				case <-time.After(time.Second):
					t.Fatal("the call has no result")
				}
			}
			if n.targetsTopic.Reading() || n.configsTopic.Reading() || n.joinInFlight || n.storedMarks.callInFlight || n.fetchInFlight || n.marksFetchInFlight {
				t.Error("the call is still in flight")
			}
			if n.Panics() != int64(c.calls) {
				t.Errorf("%d panics were counted, want %d", n.Panics(), c.calls)
			}
		})
	}
}

// Guards against records that are lost for good because the handling of the read that brought them panicked: the topic counts
// as read up to its end, and the departures in it would never be applied.
func TestReadThatPanickedIsListedAgain(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.isLeader = true
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", testStart)
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t", Offset: 1, Entry: entry}}, complete: true, next: topic.Position{Offset: 2}}, testStart)
	known := n.registry
	n.registry = nil
	n.handleGuarded(context.Background(), targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t", Offset: 2}}, next: topic.Position{Offset: 3}}, testStart)
	n.registry = known
	n.Store = &storeClient{store: &fakeStore{targets: []registry.Change{{ID: "other"}, {ID: "t", Offset: 1, Entry: entry}, {ID: "t", Offset: 2}}}}
	later := testStart.Add(time.Second)
	n.targetsTopic.Refresh(later, storeread.AnswerID{Reader: 7, Number: 1})
	n.readTargets(context.Background(), later, 0)
	select {
	case e := <-n.inbox:
		n.handleGuarded(context.Background(), e, later)
	case <-time.After(time.Second):
		t.Fatal("the targets are not listed again")
	}
	if usable := n.registry.Usable(); len(usable) != 0 || n.targetsTopic.Relist {
		t.Errorf("usable targets %+v, listed again %v; want none, true", usable, !n.targetsTopic.Relist)
	}
}

// Guards against a configuration or a departure that counts as applied although the view of the request path was not
// published, because something panicked in between.
func TestViewIsPublishedAfterPanic(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t", Offset: 1, Entry: entry}}, complete: true, next: topic.Position{Offset: 2}}, testStart)
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", testStart)
	faults := 2
	n.TargetTerminated = func(string, time.Duration, bool) {
		if faults--; faults >= 0 {
			panic("fault")
		}
	}
	n.handleGuarded(context.Background(), targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t", Offset: 2}}, next: topic.Position{Offset: 3}}, testStart)
	if n.View().Pools["s"].Target("t") == nil {
		t.Fatal("the view was published in spite of the panic")
	}
	for after := range 3 {
		n.republishView(testStart.Add(time.Duration(after) * republishInterval))
	}
	if n.View().Pools["s"].Target("t") != nil {
		t.Error("the target is still in use after its departure")
	}
}

// Guards against a message of a peer that ends the process in a goroutine of net/rpc, and against a codec that instances of
// earlier versions, which use the one of net/rpc, do not understand.
func TestPeersWithOtherCodecs(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	server := newStateServer(n, "")
	for name, newClient := range map[string]func(conn net.Conn) *rpc.Client{
		"earlier client": func(conn net.Conn) *rpc.Client { return rpc.NewClient(conn) },
		"same version":   func(conn net.Conn) *rpc.Client { return rpc.NewClientWithCodec(newGobCodec(conn, maxReplyBytes)) },
	} {
		local, remote := net.Pipe()
		go server.serve(remote)
		client := newClient(local)
		var reply MarksReply
		if err := client.Call("Fleet.Marks", MarksRequest{}, &reply); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = client.Close()
	}
	local, remote := net.Pipe()
	go server.server.ServeConn(remote)
	client := rpc.NewClientWithCodec(newGobCodec(local, maxReplyBytes))
	defer func() { _ = client.Close() }()
	if err := client.Call("Fleet.Marks", MarksRequest{}, &MarksReply{}); err != nil {
		t.Errorf("earlier server: %v", err)
	}
}

// faultyConn panics when it is read.
type faultyConn struct{ net.Conn }

func (faultyConn) Read([]byte) (int, error) { panic("decoder fault") }

// Guards against a panic of the decoder that passes through the codec.
func TestCodecReturnsPanics(t *testing.T) {
	var panicked *panicguard.Error
	if err := newGobCodec(faultyConn{}, maxReplyBytes).ReadResponseHeader(&rpc.Response{}); !errors.As(err, &panicked) {
		t.Errorf("error %v, want a panic", err)
	}
}

// Guards against calls and answers of peers for which the decoder panics.
func FuzzPeerCall(f *testing.F) {
	encode := func(values ...any) []byte {
		var b bytes.Buffer
		encoder := gob.NewEncoder(&b)
		for _, v := range values {
			if err := encoder.Encode(v); err != nil {
				f.Fatal(err)
			}
		}
		return b.Bytes()
	}
	f.Add(encode(rpc.Request{ServiceMethod: "Fleet.State", Seq: 1}, StateRequest{HaveVersion: 3, TargetsNext: 9}))
	f.Add(encode(rpc.Response{ServiceMethod: "Fleet.State", Seq: 1}, State{
		Config: &routes.Config{Version: 1}, Targets: []registry.Change{{ID: "t", Entry: &registry.Entry{ID: "t"}}},
		Members: []discovery.Member{{ID: "a"}}, Marks: []discovery.CrashMark{{Key: "k", Data: []byte{1}}},
	}))
	f.Fuzz(func(t *testing.T, b []byte) {
		for name, read := range map[string]func(c *gobCodec) error{
			"call": func(c *gobCodec) error {
				if err := c.ReadRequestHeader(&rpc.Request{}); err != nil {
					return err
				}
				return c.ReadRequestBody(&StateRequest{})
			},
			"answer": func(c *gobCodec) error {
				if err := c.ReadResponseHeader(&rpc.Response{}); err != nil {
					return err
				}
				return c.ReadResponseBody(&State{})
			},
		} {
			var panicked *panicguard.Error
			if err := read(newGobCodec(replayedConn{Reader: bytes.NewReader(b)}, maxReplyBytes)); errors.As(err, &panicked) {
				t.Errorf("%s: %v", name, err)
			}
		}
	})
}

// replayedConn delivers the bytes of its reader.
type replayedConn struct {
	net.Conn
	*bytes.Reader
}

func (c replayedConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
