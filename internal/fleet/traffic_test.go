package fleet

import (
	"testing"
	"time"
)

// Guards against traffic that is not counted: datagrams sent by an instance are received by its peers, by kind, and
// each call to the store is counted.
func TestTrafficIsCounted(t *testing.T) {
	f := startFleet(t, 4)
	f.waitFor(t, "members", func(n *Node) bool { return n.View().Instances == 4 })
	time.Sleep(heartbeatInterval + 200*time.Millisecond)
	var sent, received [numDatagramKinds]int64
	calls := int64(0)
	for _, n := range f.nodes {
		n.Traffic().EachDatagramKind(func(kind DatagramKind, s, r Flow) {
			sent[kind] += s.Datagrams
			received[kind] += r.Datagrams
			if s.Bytes < s.Datagrams || r.Bytes < r.Datagrams {
				t.Errorf("%s: sent %+v, received %+v: fewer bytes than datagrams", kind, s, r)
			}
		})
		n.Traffic().EachCall(func(_ StoreCall, count int64) { calls += count })
	}
	for _, kind := range []DatagramKind{KindHeartbeat, KindGreeting, KindLoadReports, KindUpdate} {
		if sent[kind] == 0 || received[kind] < sent[kind]/2 {
			t.Errorf("%s: %d datagrams sent, %d received, want at least half of them", kind, sent[kind], received[kind])
		}
	}
	if made := int64(f.store.callCount()); calls < made-2 || calls > made+2 {
		t.Errorf("%d calls are counted, the store received %d", calls, made)
	}
}
