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

// fakeLog keeps the whole history for the reference and hides what is no longer retained.
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

// referenceFold is the plain statement of the rule that the fold implements: base equals current. Changes holds
// nil for a record of another kind.
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

// world is one random interleaving of publishers, readers, peers, outages and retention.
type world struct {
	t       *testing.T
	random  *rand.Rand
	log     *fakeLog
	readers []*Fold
	late    []Record
	serial  int
}

func (w *world) step() {
	f := w.readers[w.random.IntN(len(w.readers))]
	switch w.random.IntN(12) {
	case 0, 1, 2, 3:
		w.read(f)
	case 4, 5, 6:
		w.publish(f)
	case 7:
		w.appendLate()
	case 8:
		w.merge(f, w.readers[w.random.IntN(len(w.readers))])
	case 9:
		if f.State().Revision > 0 {
			w.log.append(Record{Kind: KindCheckpoint, Checkpoint: NewCheckpoint(f.State(), time.Time{})})
		}
	case 10:
		w.log.earliest += logservice.Offset(w.random.IntN(1 + (len(w.log.history)+1-int(w.log.earliest))/2))
	case 11:
		w.readers[w.random.IntN(len(w.readers))] = NewFold()
	}
}

func (w *world) read(f *Fold) {
	before := f.State().Through
	err := f.ApplyPage(w.log.read(f.Next(), 1+w.random.IntN(5)), func(Decision) {})
	var gap *GapError
	if err != nil && !errors.As(err, &gap) {
		w.t.Fatal(err)
	}
	w.check(f, before)
}

func (w *world) merge(f, peer *Fold) {
	before := f.State().Through
	after := before
	if w.random.IntN(4) == 0 {
		after = logservice.Offset(w.random.IntN(int(before) + 1))
	}
	data, err := peer.State().Delta(after).Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	d, err := DecodeDelta(data)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := f.Merge(d); err != nil {
		w.t.Fatal(err)
	}
	w.check(f, before)
}

// publish appends a change on what the reader knows. Its append may be lost before the log, may land late, or
// may be sent again because the answer was lost.
func (w *world) publish(f *Fold) {
	w.serial++
	service := fmt.Sprintf("s%d", w.random.IntN(3))
	change := &Change{ID: fmt.Sprint(w.serial), Service: service, Base: f.State().CurrentRevision(service)}
	if f.State().Services[service] == nil || w.random.IntN(3) > 0 {
		change.Spec = testSpec(service, w.serial)
	}
	record := Record{Kind: KindChange, Change: change}
	switch w.random.IntN(4) {
	case 0:
		w.late = append(w.late, record)
	case 1:
		w.log.append(record)
		w.late = append(w.late, record)
	default:
		w.log.append(record)
	}
}

func (w *world) appendLate() {
	if n := len(w.late); n > 0 {
		i := w.random.IntN(n)
		w.log.append(w.late[i])
		w.late = append(w.late[:i], w.late[i+1:]...)
	}
}

func (w *world) check(f *Fold, before logservice.Offset) {
	s := f.State()
	if s.Through < before {
		w.t.Fatalf("applied offset went back from %d to %d", before, s.Through)
	}
	plain, _ := json.Marshal(struct{ Services, Removed, Forgotten any }{s.Services, s.Removed, s.Forgotten})
	if digest := sha256.Sum256(plain); hex.EncodeToString(digest[:16]) != s.Digest() {
		w.t.Fatalf("through %d the digest is not that of the plain encoding, which earlier versions send", s.Through)
	}
	want, _ := referenceFold(w.log.changes[:s.Through])
	for name, revision := range want {
		if s.CurrentRevision(name) != revision {
			w.t.Fatalf("through %d service %s has revision %d, reference has %d", s.Through, name, s.CurrentRevision(name), revision)
		}
	}
	for name, entry := range s.Services {
		if want[name] != entry.Revision {
			w.t.Fatalf("through %d service %s is in force but not in the reference", s.Through, name)
		}
	}
}

// Guards against readers that disagree, offsets that go back, and two acceptances on one base.
func TestFoldAgreesWithReference(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), log: &fakeLog{earliest: 1}}
			for range 5 {
				w.readers = append(w.readers, NewFold())
			}
			for range 300 {
				w.step()
			}
			_, acceptances := referenceFold(w.log.changes)
			for base, count := range acceptances {
				if count > 1 {
					t.Errorf("base %s was accepted %d times", base, count)
				}
			}
			w.converge()
		})
	}
}

// converge checks that readers which were cut off for longer than the retention reach the end of the log through
// a checkpoint that lies beyond the first page.
func (w *world) converge() {
	best := w.readers[0]
	for _, f := range w.readers[1:] {
		if f.State().Through > best.State().Through {
			best = f
		}
	}
	if best.State().Revision == 0 || w.log.earliest > best.State().Through+1 {
		return
	}
	w.log.append(Record{Kind: KindCheckpoint, Checkpoint: NewCheckpoint(best.State(), time.Time{})})
	w.log.earliest = max(w.log.earliest, best.State().Through)
	for i, f := range append(w.readers, NewFold()) {
		for range len(w.log.history) + 2 {
			w.read(f)
		}
		if f.State().Through != logservice.Offset(len(w.log.history)) {
			w.t.Fatalf("reader %d stays at %d of %d", i, f.State().Through, len(w.log.history))
		}
	}
}

// Guards against memory that grows with removed services, and against an old base that becomes acceptable
// again because its removal was forgotten.
func TestRemovedServicesAreBounded(t *testing.T) {
	log := &fakeLog{earliest: 1}
	f := NewFold()
	follow := func() {
		if err := f.ApplyPage(log.read(f.Next(), 10), func(Decision) {}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range MaxRemoved + 50 {
		name := fmt.Sprintf("s%d", i)
		log.append(Record{Kind: KindChange, Change: &Change{ID: name, Service: name, Base: f.State().CurrentRevision(name), Spec: testSpec(name, i)}})
		follow()
		log.append(Record{Kind: KindChange, Change: &Change{ID: name + "r", Service: name, Base: f.State().CurrentRevision(name)}})
		follow()
	}
	if n := len(f.State().Removed); n != MaxRemoved {
		t.Fatalf("%d removed services are remembered", n)
	}
	log.append(Record{Kind: KindChange, Change: &Change{ID: "late", Service: "s0", Base: 0, Spec: testSpec("s0", 0)}})
	follow()
	if f.State().Services["s0"] != nil {
		t.Fatal("a late change on a forgotten base was accepted")
	}
	late := NewFold()
	if moved, err := late.Merge(f.State().Delta(3)); err != nil || !moved {
		t.Fatalf("merge of a state with forgotten removals: moved %t, error %v", moved, err)
	}
}

// Guards against a clone or a recovered state whose maps are shared with their origin. Run with -race.
func TestCloneMayBeReadWhileOwnerApplies(t *testing.T) {
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
			t.Error("a clone changed after it was handed out")
		}
	}
}

// Guards against a newer record that counts as malformed, and against the state that lacks it spreading to instances
// that would go back to it.
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
		s, newer := NewState(), NewState()
		s.Apply(log.history[0])
		d := s.Apply(logservice.Record{Offset: 2, Payload: []byte(c.payload)})
		timer := NewCheckpointTimer(rand.New(rand.NewPCG(1, 1)))
		timer.SetRetention(0, time.Minute)
		moved, _ := NewState().Merge(s.Delta(0))
		if d.Verdict != c.verdict || s.Through != 2 || (s.Clone().CheckComplete() != nil) != c.leftOut || moved == c.leftOut || timer.Due(time.Hour, s) == c.leftOut {
			t.Errorf("%s: %s, %v, spreads %t", c.payload, d.Verdict, s.CheckComplete(), moved)
		}
		newer.Apply(log.history[0])
		if digest := newer.Digest(); digest != "d4ab604d2759917857b9e33d04a86f18" {
			t.Errorf("the digest of a state without new fields is %s, so that instances of earlier versions refuse it", digest)
		}
		late := logservice.Record{Offset: 3, Payload: []byte(`{"kind":"change","change":{"id":"3","service":"s","base":1,"spec":""}}`)}
		if held := strings.Contains(c.payload, `"s"`); c.leftOut && held != (s.Apply(late).Verdict == UnsupportedFormat) {
			t.Errorf("%s: a later change that others may have refused is held back: %t", c.payload, !held)
		}
		newer.Apply(logservice.Record{Offset: 2})
		newer.Apply(late)
		newer.Through = 4
		if moved, err := s.Merge(newer.Delta(2)); c.leftOut && (!moved || err != nil || s.CheckComplete() != nil) {
			t.Errorf("%s: a peer that lacks nothing did not complete the state: %v", c.payload, err)
		}
	}
}
