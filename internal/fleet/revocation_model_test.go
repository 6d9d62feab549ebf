package fleet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
)

const (
	// revocation is the time for revoking a key in the model, and keyValidity the age up to which an instance serves keys.
	revocation  = 5 * time.Second
	keyValidity = revocation * 85 / 100
)

// observationStep is the time between two observations of an instance.
const observationStep = 50 * time.Millisecond

// revocationModel plays instances in virtual time while the operator writes configurations. It checks that no instance serves with a
// configuration for longer than the bound after its successor was written.
type revocationModel struct {
	t     *testing.T
	name  string
	net   *virtualNet
	store *virtualStore
	nodes []*Node
	// replacedAt holds when each version was replaced.
	replacedAt map[uint64]time.Time
	version    uint64
	// refusals counts, by instance, the observations at which it refused requests with keys.
	refusals []int
	// oldest is the greatest age that an instance told.
	oldest time.Duration
}

func (m *revocationModel) start(instances int) (stop func()) {
	m.net = &virtualNet{random: rand.New(rand.NewPCG(3, 4)), nodes: map[string]*Node{}, partitioned: map[string]bool{}, lossRate: 0.02}
	m.store = &virtualStore{behaviorByInstance: map[string]storeBehavior{}}
	m.replacedAt, m.version, m.refusals = map[uint64]time.Time{}, 1, make([]int, instances)
	m.store.append("t", &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "z0", Service: "s", Slots: 4})
	var stops []func()
	seeds := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for i := range instances {
		self := discovery.Member{ID: fmt.Sprintf("n%03d", i), Zone: fmt.Sprintf("z%d", i%3), Address: m.address(i), Capacity: 1}
		n, stopNode := startVirtualNode(m.net, m.store, self, seeds, slog.New(slog.DiscardHandler), func(c *Config) { c.Bootstrap = true })
		m.nodes, stops = append(m.nodes, n), append(stops, stopNode)
	}
	return func() {
		for _, stopNode := range stops {
			stopNode()
		}
		// The calls in flight end.
		time.Sleep(10 * time.Second)
	}
}

func (m *revocationModel) address(i int) string { return fmt.Sprintf("127.0.1.%d:7000", i+1) }

// play lets time pass while the operator writes a configuration every 700 ms, and observes all instances.
func (m *revocationModel) play(duration time.Duration) {
	for passed := time.Duration(0); passed < duration; passed += observationStep {
		if passed%(700*time.Millisecond) == 0 {
			m.replacedAt[m.version] = time.Now()
			m.version++
			m.store.putConfig(m.version)
		}
		time.Sleep(observationStep)
		for i := range m.nodes {
			m.observe(i)
		}
	}
}

func (m *revocationModel) observe(i int) {
	n := m.nodes[i]
	asOf, known := n.ConfigsAsOf()
	view := n.View()
	age := n.Now() - asOf
	if !known || age >= keyValidity {
		m.refusals[i]++
		return
	}
	m.oldest = max(m.oldest, age)
	if at, replaced := m.replacedAt[view.Table.Version]; replaced && time.Since(at) >= revocation {
		m.t.Errorf("%s: instance %d serves version %d, which was replaced %s ago", m.name, i, view.Table.Version, time.Since(at))
	}
}

func (m *revocationModel) reset() {
	clear(m.refusals)
	m.oldest = 0
}

// Guards against the two errors that stand against each other: an instance that serves a key that was revoked longer than the bound
// ago, and instances that refuse their callers although the store answers one that they hear from.
func TestRevocationBindsAndKeysAreServed(t *testing.T) {
	const instances, settling, duration = 24, 5 * time.Second, 15 * time.Second
	delayed := func(delay time.Duration) func(*revocationModel) {
		return func(m *revocationModel) {
			m.store.update(func() { m.store.answerDelay = func() time.Duration { return delay } })
		}
	}
	treat := func(behavior storeBehavior, chosen func(i int) bool) func(*revocationModel) {
		return func(m *revocationModel) {
			m.store.update(func() {
				for i := range instances {
					if chosen(i) {
						m.store.behaviorByInstance[m.nodes[i].Self.ID] = behavior
					}
				}
			})
		}
	}
	none, all := func(int) bool { return false }, func(int) bool { return true }
	odd, notOne := func(i int) bool { return i%2 == 1 }, func(i int) bool { return i != 17 }
	notSixth := func(i int) bool { return i%6 != 5 }
	cutOff := func(i int) bool { return i == 0 || i == 7 }
	for _, c := range []struct {
		name    string
		trouble func(*revocationModel)
		// mayRefuse reports whether an instance may refuse requests with keys, as it does not reach the store itself. If mustRefuse
		// is set, it has to.
		mayRefuse  func(i int) bool
		mustRefuse bool
	}{
		{"no trouble", func(*revocationModel) {}, none, false},
		{"one reader unanswered", treat(storeSilent, func(i int) bool { return i == 0 }), none, false},
		{"all leaders refused", treat(storeRefuses, func(i int) bool { return i < 3 }), none, false},
		{"half refused", treat(storeRefuses, odd), none, false},
		{"a sixth served", treat(storeRefuses, notSixth), notSixth, false},
		// The instances try in turn, ever more slowly, so that a store that is down gets few calls. The one that is served may be
		// too late, which docs/design/workspaces.md lists as a limit.
		{"one served", treat(storeRefuses, notOne), all, false},
		{"answers take 0.7 s", delayed(700 * time.Millisecond), none, false},
		{"answers take 1 s", delayed(time.Second), none, false},
		{"answers take 1.5 s", delayed(1500 * time.Millisecond), none, false},
		{"store down", treat(storeSilent, all), all, true},
		{"two instances cut off", func(m *revocationModel) {
			treat(storeSilent, cutOff)(m)
			m.net.setPartitioned(m.address(0), true)
			m.net.setPartitioned(m.address(7), true)
		}, cutOff, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &revocationModel{t: t, name: c.name}
				stop := m.start(instances)
				defer stop()
				m.play(settling)
				m.reset()
				c.trouble(m)
				m.play(duration)
				t.Logf("the oldest configuration that was served with was %s old", m.oldest)
				for i, refusals := range m.refusals {
					if refusals > 0 && !c.mayRefuse(i) || refusals == 0 && c.mustRefuse && c.mayRefuse(i) {
						t.Errorf("instance %d refused at %d observations", i, refusals)
					}
				}
			})
		})
	}
}

// Guards against a process that was frozen and serves, when it goes on, with keys that were revoked meanwhile.
func TestFrozenInstanceRefusesKeysFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &revocationModel{t: t, name: "frozen"}
		stop := m.start(6)
		defer stop()
		m.play(5 * time.Second)
		m.reset()
		n, reply := m.nodes[0], make(chan State)
		m.net.pause(m.address(0))
		go func() { n.inbox <- stateRequested{reply: reply} }()
		m.play(keyValidity + time.Second)
		if m.refusals[0] == 0 {
			t.Error("the instance serves keys although its control loop does not run")
		}
		m.net.resume(m.address(0))
		<-reply
		m.play(time.Second)
		m.reset()
		m.play(time.Second)
		if m.refusals[0] > 0 {
			t.Errorf("%d refusals in the second second after the pause", m.refusals[0])
		}
	})
}
