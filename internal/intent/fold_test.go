package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// fakeLog keeps the complete history for referenceFold. Its read method returns only retained records.
type fakeLog struct {
	history  []logservice.Record
	changes  []*Change
	earliest logservice.Offset
}

func (l *fakeLog) append(r Record) {
	payload, err := r.Encode()
	if err != nil {
		panic(err)
	}
	l.changes = append(l.changes, r.Change)
	l.history = append(l.history, logservice.Record{Offset: logservice.Offset(len(l.history) + 1), Payload: payload})
}

func (l *fakeLog) read(from logservice.Offset, count int) logservice.Page {
	next := logservice.Offset(len(l.history) + 1)
	from = min(max(from, l.earliest), next)
	end := min(int(from)-1+count, len(l.history))
	return logservice.Page{Records: l.history[from-1 : max(end, int(from)-1)], Earliest: l.earliest, Next: next}
}

// referenceFold is a minimal implementation of the rule for accepting a change: its base equals the current revision of
// its service. It returns the current revisions by service, and the number of accepted changes by service and base.
// The changes are nil for records of another kind.
func referenceFold(changes []*Change) (map[string]logservice.Offset, map[string]int) {
	current := map[string]logservice.Offset{}
	acceptances := map[string]int{}
	for i, change := range changes {
		if change == nil || change.Base != current[change.Service] {
			continue
		}
		acceptances[fmt.Sprintf("%s@%d", change.Service, change.Base)]++
		current[change.Service] = logservice.Offset(i + 1)
	}
	return current, acceptances
}

func testSpec(name string, author int) string {
	s := operator.Service{
		Name: name, Region: "tz-north", Zones: []string{"tz-north-a"}, SlotsPerTarget: 1 + author%100,
		Classes: []operator.Class{{Name: "lookup"}},
		Targets: []operator.Target{{Address: "127.0.0.1:8080", Zone: "tz-north-a"}},
	}
	s.Provision()
	text, err := EncodeService(s)
	if err != nil {
		panic(err)
	}
	return text
}

// simulation runs random steps of log readers: reading, publishing, merging from a peer, checkpoints, expiry of records
// and restarts. Delayed holds appended records that have not reached the log yet.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	log     *fakeLog
	readers []*Fold
	delayed []Record
	nextID  int
}

func (sim *simulation) step() {
	f := sim.readers[sim.random.IntN(len(sim.readers))]
	switch sim.random.IntN(12) {
	case 0, 1, 2, 3:
		sim.read(f)
	case 4, 5, 6:
		sim.publish(f)
	case 7:
		sim.appendDelayed()
	case 8:
		sim.merge(f, sim.readers[sim.random.IntN(len(sim.readers))])
	case 9:
		if f.State().Revision > 0 {
			sim.log.append(Record{Kind: KindCheckpoint, Checkpoint: NewCheckpoint(f.State(), time.Time{})})
		}
	case 10:
		sim.log.earliest += logservice.Offset(sim.random.IntN(1 + (len(sim.log.history)+1-int(sim.log.earliest))/2))
	case 11:
		sim.readers[sim.random.IntN(len(sim.readers))] = NewFold()
	}
}

func (sim *simulation) read(f *Fold) {
	before := f.State().Through
	err := f.ApplyPage(sim.log.read(f.Next(), 1+sim.random.IntN(5)), func(Decision) {})
	var gap *GapError
	if err != nil && !errors.As(err, &gap) {
		sim.t.Fatal(err)
	}
	sim.check(f, before)
}

func (sim *simulation) merge(f, peer *Fold) {
	before := f.State().Through
	after := before
	if sim.random.IntN(4) == 0 {
		after = logservice.Offset(sim.random.IntN(int(before) + 1))
	}
	data, err := peer.State().Delta(after).Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	d, err := DecodeDelta(data)
	if err != nil {
		sim.t.Fatal(err)
	}
	if _, err := f.Merge(d); err != nil {
		sim.t.Fatal(err)
	}
	sim.check(f, before)
}

// publish appends a change based on the state of a reader. The record reaches the log at once, later, never or, as
// after a lost answer and a retry, twice.
func (sim *simulation) publish(f *Fold) {
	sim.nextID++
	service := fmt.Sprintf("s%d", sim.random.IntN(3))
	change := &Change{ID: fmt.Sprint(sim.nextID), Service: service, Base: f.State().CurrentRevision(service)}
	if f.State().Services[service] == nil || sim.random.IntN(3) > 0 {
		change.Spec = testSpec(service, sim.nextID)
	}
	record := Record{Kind: KindChange, Change: change}
	switch sim.random.IntN(4) {
	case 0:
		sim.delayed = append(sim.delayed, record)
	case 1:
		sim.log.append(record)
		sim.delayed = append(sim.delayed, record)
	default:
		sim.log.append(record)
	}
}

func (sim *simulation) appendDelayed() {
	if n := len(sim.delayed); n > 0 {
		i := sim.random.IntN(n)
		sim.log.append(sim.delayed[i])
		sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
	}
}

func (sim *simulation) check(f *Fold, before logservice.Offset) {
	s := f.State()
	if s.Through < before {
		sim.t.Fatalf("applied offset went back from %d to %d", before, s.Through)
	}
	plain, _ := json.Marshal(struct{ Services, Removed, Forgotten any }{s.Services, s.Removed, s.Forgotten})
	if digest := sha256.Sum256(plain); hex.EncodeToString(digest[:16]) != s.Digest() {
		sim.t.Fatalf("through %d the digest differs from that of encoding/json, which earlier versions compute", s.Through)
	}
	want, _ := referenceFold(sim.log.changes[:s.Through])
	for name, revision := range want {
		if s.CurrentRevision(name) != revision {
			sim.t.Fatalf("through %d service %s has revision %d, reference has %d", s.Through, name, s.CurrentRevision(name), revision)
		}
	}
	for name, entry := range s.Services {
		if want[name] != entry.Revision {
			sim.t.Fatalf("through %d service %s is in force but not in the reference", s.Through, name)
		}
	}
}

// Guards against readers of one log that reach different states, offsets that go back, and two accepted changes with the
// same base.
func TestFoldAgreesWithReference(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), log: &fakeLog{earliest: 1}}
			for range 5 {
				sim.readers = append(sim.readers, NewFold())
			}
			for range 300 {
				sim.step()
			}
			_, acceptances := referenceFold(sim.log.changes)
			for base, count := range acceptances {
				if count > 1 {
					t.Errorf("base %s was accepted %d times", base, count)
				}
			}
			sim.converge()
		})
	}
}

// converge checks that readers whose next record is no longer retained reach the end of the log, even if the checkpoint
// that they need lies beyond the first page that they read.
func (sim *simulation) converge() {
	best := sim.readers[0]
	for _, f := range sim.readers[1:] {
		if f.State().Through > best.State().Through {
			best = f
		}
	}
	if best.State().Revision == 0 || sim.log.earliest > best.State().Through+1 {
		return
	}
	sim.log.append(Record{Kind: KindCheckpoint, Checkpoint: NewCheckpoint(best.State(), time.Time{})})
	sim.log.earliest = max(sim.log.earliest, best.State().Through)
	for i, f := range append(sim.readers, NewFold()) {
		for range len(sim.log.history) + 2 {
			sim.read(f)
		}
		if f.State().Through != logservice.Offset(len(sim.log.history)) {
			sim.t.Fatalf("reader %d stays at %d of %d", i, f.State().Through, len(sim.log.history))
		}
	}
}

// Guards against unbounded memory for removed services, and against a change with an outdated base that is accepted
// because the removal of its service was evicted.
func TestRemovedServicesAreBounded(t *testing.T) {
	log := &fakeLog{earliest: 1}
	f := NewFold()
	readPage := func() {
		if err := f.ApplyPage(log.read(f.Next(), 10), func(Decision) {}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range MaxRemoved + 50 {
		name := fmt.Sprintf("s%d", i)
		log.append(Record{Kind: KindChange, Change: &Change{ID: name, Service: name, Base: f.State().CurrentRevision(name), Spec: testSpec(name, i)}})
		readPage()
		log.append(Record{Kind: KindChange, Change: &Change{ID: name + "r", Service: name, Base: f.State().CurrentRevision(name)}})
		readPage()
	}
	if n := len(f.State().Removed); n != MaxRemoved {
		t.Fatalf("got %d removed services, want %d", n, MaxRemoved)
	}
	log.append(Record{Kind: KindChange, Change: &Change{ID: "late", Service: "s0", Base: 0, Spec: testSpec("s0", 0)}})
	readPage()
	if f.State().Services["s0"] != nil {
		t.Fatal("a change with the base 0 of a forgotten removal was accepted")
	}
	lagging := NewFold()
	if advanced, err := lagging.Merge(f.State().Delta(3)); err != nil || !advanced {
		t.Fatalf("merge of a state with forgotten removals: advanced %t, error %v", advanced, err)
	}
}

// Guards against a clone or a checkpoint that shares maps with the state it was made from. Run with -race.
func TestCloneIsIndependentOfOriginal(t *testing.T) {
	log := &fakeLog{earliest: 1}
	for i := range 50 {
		name := fmt.Sprintf("s%d", i)
		log.append(Record{Kind: KindChange, Change: &Change{ID: name, Service: name, Spec: testSpec(name, i)}})
	}
	f := NewFold()
	changed := make(chan bool)
	for _, record := range log.history {
		f.State().Apply(record)
		clone, checkpoint := f.State().Clone(), NewCheckpoint(f.State(), time.Time{})
		want := clone.Digest()
		go func() { changed <- clone.Digest() != want || checkpoint.State.Digest() != want }()
	}
	for range log.history {
		if <-changed {
			t.Error("the digest of a clone or checkpoint changed")
		}
	}
}

// Guards against a record of a newer format that is treated as malformed, and against the distribution of a state without
// that record, which would take other instances back to an older revision.
func TestNewerFormatIsLeftOut(t *testing.T) {
	cases := []struct {
		payload string
		verdict Verdict
		leftOut bool
	}{
		{`{"kind":"change","format":2,"change":{"service":"s","hedging":1}}`, UnsupportedFormat, true},
		{`{"kind":"change","format":2,"change":{"id":"2","service":"s","base":1,"spec":""}}`, UnsupportedFormat, true},
		{`{"kind":"schedule","format":3}`, UnsupportedFormat, true},
		{`{"kind":"checkpoint","format":2,"checkpoint":{"shards":[]}}`, UnsupportedFormat, false},
		{`{"kind":"change","change":{"hedging":1}}`, Malformed, false},
		{`{"kind":"change","format":-1,"change":{"id":"2","service":"s","base":1,"spec":""}}`, Malformed, false},
		{`{"kind":"change","format":1,"change":{"id":"2","service":"s","base":1,"spec":""}}`, Accepted, false},
	}
	for _, c := range cases {
		log := &fakeLog{earliest: 1}
		log.append(Record{Kind: KindChange, Change: &Change{ID: "1", Service: "s", Spec: testSpec("s", 1)}})
		s, complete := NewState(), NewState()
		s.Apply(log.history[0])
		d := s.Apply(logservice.Record{Offset: 2, Payload: []byte(c.payload)})
		timer := NewCheckpointTimer(rand.New(rand.NewPCG(1, 1)))
		timer.SetRetention(0, time.Minute)
		advanced, _ := NewState().Merge(s.Delta(0))
		if d.Verdict != c.verdict || s.Through != 2 || (s.Clone().CheckComplete() != nil) != c.leftOut || advanced == c.leftOut || timer.Due(time.Hour, s) == c.leftOut {
			t.Errorf("%s: verdict %s, completeness error %v, delta merged by a new state: %t", c.payload, d.Verdict, s.CheckComplete(), advanced)
		}
		complete.Apply(log.history[0])
		if digest := complete.Digest(); digest != "d4ab604d2759917857b9e33d04a86f18" {
			t.Errorf("the digest of a state without new fields is %s, instances of earlier versions would reject it", digest)
		}
		later := logservice.Record{Offset: 3, Payload: []byte(`{"kind":"change","change":{"id":"3","service":"s","base":1,"spec":""}}`)}
		if namesService := strings.Contains(c.payload, `"s"`); c.leftOut && namesService != (s.Apply(later).Verdict == UnsupportedFormat) {
			t.Errorf("%s: a later change of the service is left out: %t, want %t", c.payload, !namesService, namesService)
		}
		complete.Apply(logservice.Record{Offset: 2})
		complete.Apply(later)
		complete.Through = 4
		if advanced, err := s.Merge(complete.Delta(2)); c.leftOut && (!advanced || err != nil || s.CheckComplete() != nil) {
			t.Errorf("%s: a delta from a peer with a complete state did not complete the state: %v", c.payload, err)
		}
	}
}
