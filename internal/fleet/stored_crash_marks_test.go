package fleet

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sharedMarks are crash marks that all instances of a fleet know.
type sharedMarks struct {
	mu      sync.Mutex
	refused map[string]bool
}

func (m *sharedMarks) refuse(key string, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[key] = refused
}

func (m *sharedMarks) MergeCrashMark(string, []byte) bool { return false }

func (m *sharedMarks) CrashDigest() uint64 { return 1 }

func (m *sharedMarks) EachCrashMark(add func(key string, data []byte, refused bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, refused := range m.refused {
		add(key, []byte{1}, refused)
	}
}

// markStep changes the marks, the store or the fleet.
type markStep struct {
	at     time.Duration
	change func(*markFleet)
}

// markFleet is a fleet of three instances whose store may execute writes of marks late.
type markFleet struct {
	*simulation
	marks *sharedMarks
}

func refuseMark(refused bool) func(*markFleet) {
	return func(f *markFleet) { f.marks.refuse("k", refused) }
}

// delayWrites lets the next writes of marks get no answer. The store executes them late.
func delayWrites(lateness time.Duration) func(*markFleet) {
	return func(f *markFleet) { f.store.update(func() { f.store.markLateness = lateness }) }
}

func stopWriter(f *markFleet) {
	f.stops[0]()
	f.stops[0] = nil
}

// Guards against stored marks that differ from those of the instances for good: after a restart of all, requests would be refused
// whose marks were cleared, and others would crash targets again.
func TestStoredMarksAfterLateWrites(t *testing.T) {
	const lost = 5 * time.Second
	for _, c := range []struct {
		name   string
		steps  []markStep
		stored []string
	}{
		{"write executed after the mark was cleared", []markStep{
			{0, delayWrites(lost)},
			{0, refuseMark(true)},
			{2 * time.Second, delayWrites(0)},
			{2 * time.Second, refuseMark(false)},
		}, nil},
		{"write executed after the mark was deleted", []markStep{
			{0, delayWrites(lost)},
			{0, refuseMark(true)},
			{2 * time.Second, delayWrites(0)},
			{4 * time.Second, refuseMark(false)},
		}, nil},
		{"deletion executed after the request was refused again", []markStep{
			{0, refuseMark(true)},
			{4 * time.Second, delayWrites(lost)},
			{4 * time.Second, refuseMark(false)},
			{6 * time.Second, delayWrites(0)},
			{6 * time.Second, refuseMark(true)},
		}, []string{"k"}},
		{"writer stopped before the mark was cleared", []markStep{
			{0, refuseMark(true)},
			{2 * time.Second, stopWriter},
			{2 * time.Second, refuseMark(false)},
		}, nil},
		{"writer stopped before its write was executed", []markStep{
			{0, delayWrites(lost)},
			{0, refuseMark(true)},
			{700 * time.Millisecond, stopWriter},
			{700 * time.Millisecond, refuseMark(false)},
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startMarkFleet()
				time.Sleep(3 * time.Second)
				begin := time.Now()
				for _, s := range c.steps {
					time.Sleep(s.at - time.Since(begin))
					s.change(f)
				}
				time.Sleep(20 * time.Second)
				var stored []string
				f.store.update(func() { stored = slices.Sorted(maps.Keys(f.store.marks)) })
				if !slices.Equal(stored, c.stored) {
					t.Errorf("stored marks %v, want %v", stored, c.stored)
				}
				for _, stop := range f.stops {
					if stop != nil {
						stop()
					}
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

func startMarkFleet() *markFleet {
	f := &markFleet{simulation: newSimulation(schedule{instancesPerZone: 1}, 1), marks: &sharedMarks{refused: map[string]bool{}}}
	f.onConfigure = func(_ int, c *Config) { c.CrashMarks, c.Bootstrap = f.marks, true }
	f.nodes, f.stops, f.startedAt = make([]*Node, scheduleZones), make([]func(), scheduleZones), time.Now()
	for i := range scheduleZones {
		f.startNode(i)
	}
	return f
}
