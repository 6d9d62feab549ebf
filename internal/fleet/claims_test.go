package fleet

import (
	"net"
	"testing"
	"time"
)

// Guards against a reader of a zone that lets any number of requests through to a target, or gives no answer.
func TestReaderDeniesClaims(t *testing.T) {
	f := startFleet(t, 2)
	reader, err := net.ResolveUDPAddr("udp", f.nodes[0].Self.Address)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.DialUDP("udp", nil, reader)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	const slots, claims = 4, 12
	announce := func() {
		for number := range uint32(claims) {
			b, err := encode(&datagram{Claim: &claimNote{Target: hashID("t1"), Number: number}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := socket.Write(b); err != nil {
				t.Fatal(err)
			}
		}
	}
	buffer := make([]byte, 1<<10)
	length := 0
	for deadline := time.Now().Add(5 * time.Second); length == 0; {
		announce()
		if err := socket.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if length, err = socket.Read(buffer); err != nil && time.Now().After(deadline) {
			t.Fatal("no claim was denied: ", err)
		}
	}
	d, err := decode(buffer[:length])
	if err != nil || d.Denial == nil || d.Denial.Occupied != slots {
		t.Errorf("%+v, denial %+v, %v", d, d.Denial, err)
	}
}

// Guards against instances that do not know where to claim a target, of their own zone or of another one, and against a
// reader that asks others about its own zone.
func TestAllKnowTheReaders(t *testing.T) {
	f := startFleet(t, 4)
	own := map[string]string{"z0": "t1", "z1": "t2"}
	f.await(t, "claims go to the readers", func(n *Node) bool {
		reads := n.Self.ID == "n0" || n.Self.ID == "n1"
		for zone, target := range own {
			if asks := n.claim(target, 1); asks == (reads && zone == n.Self.Zone) {
				return false
			}
		}
		return true
	})
}
