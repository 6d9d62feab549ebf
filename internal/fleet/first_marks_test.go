package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

// mergedMarks holds marks and their digest.
type mergedMarks struct {
	mu   sync.Mutex
	data map[string]string
}

func (m *mergedMarks) MergeCrashMark(key string, data []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.data[key] != string(data)
	m.data[key] = string(data)
	return changed
}

func (m *mergedMarks) CrashDigest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return uint64(len(m.data))
}

func (m *mergedMarks) EachCrashMark(add func(key string, data []byte, refused bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, data := range m.data {
		add(key, []byte(data), true)
	}
}

// slowMarksStore answers reads of the stored marks only when the context ends.
type slowMarksStore struct{ virtualStoreClient }

func (s slowMarksStore) CrashMarks(ctx context.Context) ([]discovery.CrashMark, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against an instance that serves with the targets that it listed before it has the stored marks, so that a request that is
// refused crashes one more target after each restart of all instances; and against waiting for the marks for long.
func TestStoredMarksComeWithFirstListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := virtualStoreClient{&virtualStore{marks: map[string]discovery.CrashMark{"k": {Key: "k", Data: []byte{1}}}}, "a1"}
		n := newQuietNode(t, newMember("a1", "a"))
		n.CrashMarks = &mergedMarks{data: map[string]string{}}
		n.Store = client
		n.readTargets(ctx, testStart, 0)
		if _, isMarks := (<-n.inbox).(storedMarksRead); !isMarks {
			t.Error("the targets were read before the marks")
		}
		if _, isTargets := (<-n.inbox).(targetsRead); !isTargets {
			t.Error("the targets were not read")
		}
		started := newQuietNode(t, newMember("a2", "a"))
		started.CrashMarks, started.Store = &mergedMarks{data: map[string]string{}}, slowMarksStore{client}
		begin := time.Now()
		started.readTargets(ctx, testStart, 0)
		if _, isTargets := (<-started.inbox).(targetsRead); !isTargets || time.Since(begin) > 2*firstMarksWait {
			t.Errorf("waited %s for the targets", time.Since(begin))
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against members of a zone that learn of a mark up to 100 ms after their leader, because it came with the state of a peer.
func TestLeaderRelaysMarksOfState(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.CrashMarks = &mergedMarks{data: map[string]string{}}
	n.isLeader = true
	n.members.add(newMember("a2", "a"), testStart)
	n.members.peers["a2"].lastHeard = testStart
	sent := func() (datagrams int64) {
		n.traffic.EachDatagramKind(func(_ DatagramKind, flow, _ Flow) { datagrams += flow.Datagrams })
		return datagrams
	}
	state := &State{Marks: []discovery.CrashMark{{Key: "k", Data: []byte{1}}, {Key: "l", Data: []byte{1}}}}
	for i, want := range []int64{1, 0} {
		before := sent()
		n.handleStateFetched(stateFetched{state: state, requestedAt: testStart}, testStart)
		if got := sent() - before; got != want {
			t.Errorf("state %d: %d datagrams, want %d", i, got, want)
		}
	}
}

// Guards against an instance that has just started and waits to fetch the marks that the others have.
func TestInstanceWithoutMarksFetchesThemAtOnce(t *testing.T) {
	for _, c := range []struct {
		marks map[string]string
		want  bool
	}{{map[string]string{}, true}, {map[string]string{"l": "1"}, false}} {
		n := newQuietNode(t, newMember("a1", "a"))
		n.CrashMarks = &mergedMarks{data: c.marks}
		n.fetchDifferingMarks(t.Context(), 2, &peerState{}, testStart)
		if n.marksFetchInFlight != c.want {
			t.Errorf("%d marks: fetch in flight %v, want %v", len(c.marks), n.marksFetchInFlight, c.want)
		}
	}
}
