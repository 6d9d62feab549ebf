package peer

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// roundTime is the interval of exchanges in the design page.
	roundTime = 200 * time.Millisecond
	// departureRounds is the stated target for departures, 3 s.
	departureRounds = int(3 * time.Second / roundTime)
	// byteLimit is the stated limit for control traffic of an instance.
	byteLimit = 6 << 10
	// callBytes covers the headers of net/rpc: method, sequence number and their framing.
	callBytes = 32
)

// countingWriter counts bytes.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// fleet is a number of state machines in one process that exchange in rounds.
type fleet struct {
	machines map[string]*Gossip
	names    []string
	known    []map[string]bool
	down     map[string]bool
	// cut says which machines lose each other.
	cut     func(from, to string) bool
	random  *rand.Rand
	now     time.Duration
	writer  countingWriter
	encoder *gob.Encoder
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{machines: map[string]*Gossip{}, down: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 2))}
	f.encoder = gob.NewEncoder(&f.writer)
	for i := range size {
		address := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
		id := Identity{ID: fmt.Sprintf("entry-%03d", i), Incarnation: f.random.Uint64()}
		self := Member{Identity: id, Zone: "tz-north-a", PeerAddress: address + ":7003", CallerAddress: address + ":7001", AdminAddress: address + ":7002"}
		known := map[string]bool{}
		g := newTestGossip(self)
		g.Register(KindDeparture, Handler{Receive: func(r Rumor) bool {
			news := !known[r.Key]
			known[r.Key] = true
			return news
		}, Digest: func() uint64 { return uint64(len(known)) }})
		f.machines[self.PeerAddress] = g
		f.names = append(f.names, self.PeerAddress)
		f.known = append(f.known, known)
	}
	for _, g := range f.machines {
		g.SetContacts(f.names[:2])
	}
	f.send(Exchange{Digests: []KindDigest{{}}, Rumors: []Rumor{{}}})
	return f
}

// send counts the bytes of a message on a connection on which the types were sent before.
func (f *fleet) send(e Exchange) Exchange {
	if err := f.encoder.Encode(e); err != nil {
		panic(err)
	}
	f.writer.bytes += callBytes
	return e
}

// round lets each machine exchange with one other.
func (f *fleet) round() {
	f.now += roundTime
	for _, name := range f.names {
		g := f.machines[name]
		contact, ok := g.Tick(f.now, f.random)
		if !ok || f.down[name] {
			continue
		}
		request := f.send(g.NewRequest(contact, f.random))
		if f.down[contact.Address] || f.cut != nil && f.cut(name, contact.Address) {
			g.HandleFailure(f.now, contact)
			continue
		}
		g.HandleResponse(f.now, contact, f.send(f.machines[contact.Address].HandleRequest(f.now, request)))
	}
}

// join runs rounds until all machines know all others, as the pull of a joining instance has it at once.
func (f *fleet) join(t testing.TB) {
	t.Helper()
	var all []Rumor
	for _, name := range f.names {
		all = append(all, f.machines[name].self.rumor())
	}
	for _, name := range f.names {
		f.machines[name].Merge(f.now, all)
	}
	for range 50 {
		f.round()
	}
}

func (f *fleet) count(key string) int {
	count := 0
	for _, known := range f.known {
		if known[key] {
			count++
		}
	}
	return count
}

// spread returns the rounds until a rumor is known everywhere.
func (f *fleet) spread(key string) int {
	f.known[0][key] = true
	f.machines[f.names[0]].Spread(Rumor{Kind: KindDeparture, Key: key, Payload: []byte(`{"d":["3f1c"],"c":"3f1c","v":1,"a":0}`)})
	rounds := 0
	for f.count(key) < len(f.names) && rounds < 10*departureRounds {
		f.round()
		rounds++
	}
	return rounds
}

// Guards against rumors that reach a fleet too late or not at all, and against bytes that grow with the fleet.
func TestRumorsReachFleet(t *testing.T) {
	for _, size := range []int{20, 200} {
		worst := 0
		f := newFleet(size, 11)
		f.join(t)
		for i := range 20 {
			worst = max(worst, f.spread(fmt.Sprintf("10.1.0.%d:8080", i)))
		}
		t.Logf("%d instances: slowest of 20 rumors took %d rounds", size, worst)
		if worst > departureRounds {
			t.Errorf("%d instances: a rumor took %d rounds of at most %d", size, worst, departureRounds)
		}
	}
}

func TestBytesDoNotGrowWithFleet(t *testing.T) {
	cases := []struct {
		name   string
		rumors int
	}{{"quiet", 0}, {"2 rumors a second", 2}, {"20 rumors a second", 20}}
	for _, c := range cases {
		for _, size := range []int{20, 200} {
			f := newFleet(size, 12)
			f.join(t)
			const seconds = 20
			f.writer.bytes = 0
			for i := range seconds * 5 {
				for j := range c.rumors {
					if i%5 != 0 {
						break
					}
					source := f.machines[f.names[f.random.IntN(size)]]
					source.Spread(Rumor{Kind: KindDeparture, Key: fmt.Sprintf("%d-%d", i, j), Payload: make([]byte, 200)})
				}
				f.round()
			}
			rate := f.writer.bytes / size / seconds
			t.Logf("%s, %d instances: %d bytes/s sent by each", c.name, size, rate)
			if rate > byteLimit {
				t.Errorf("%s, %d instances: %d bytes/s of at most %d", c.name, size, rate, byteLimit)
			}
		}
	}
}

// Guards against a killed member that stays in the table and against healthy members that are taken for dead while a
// tenth of the fleet is gone.
func TestKilledMembersAreDetected(t *testing.T) {
	const size = 200
	f := newFleet(size, 13)
	f.join(t)
	for _, name := range f.names[:size/10] {
		f.down[name] = true
	}
	rounds := int(2*suspicionTimeout/roundTime) + departureRounds
	for range rounds {
		f.round()
	}
	for _, name := range f.names[size/10:] {
		for _, m := range f.machines[name].Members()[1:] {
			if want := f.down[m.PeerAddress]; want != (m.State == Dead) {
				t.Fatalf("%s knows %s as %s after %d rounds, down is %t", name, m.PeerAddress, m.State, rounds, want)
			}
		}
	}
}

// BenchmarkHalvesMeetAgain measures the time from the end of a cut between two halves of a fleet until all machines know
// all others, and the bytes that each sends meanwhile.
func BenchmarkHalvesMeetAgain(b *testing.B) {
	for _, size := range []int{20, 60, 200} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			f := newFleet(size, 14)
			f.join(b)
			half := map[string]bool{}
			for _, name := range f.names[:size/2] {
				half[name] = true
			}
			f.cut = func(from, to string) bool { return half[from] != half[to] }
			for f.live() > size*size/2 {
				f.round()
			}
			f.cut = nil
			f.writer.bytes = 0
			since := f.now
			for f.live() < size*size {
				f.round()
			}
			seconds := (f.now - since).Seconds()
			b.ReportMetric(seconds, "s-all-members")
			b.ReportMetric(float64(f.writer.bytes)/float64(size)/seconds, "B-sent/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// live returns the sum of the members that each machine knows as alive.
func (f *fleet) live() int {
	count := 0
	for _, g := range f.machines {
		count++
		for _, e := range g.members {
			if e.State == Alive {
				count++
			}
		}
	}
	return count
}
