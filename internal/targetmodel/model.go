package targetmodel

import (
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// Model is one run.
type Model struct {
	settings  Settings
	now       time.Duration
	schedule  schedule
	arrivals  *rand.Rand
	episodes  *rand.Rand
	choices   *rand.Rand
	targets   []*target
	instances []*instance
	requests  []request
	copies    []copyState
	probes    []report
	result    Report
}

// request is one request of a caller.
type request struct {
	arrived  time.Duration
	work     time.Duration
	instance int
	attempts int
	// open is the number of copies without a result.
	open int
	done bool
	// last is the copy sent last, or -1.
	last int
}

// copyState is one dispatch of a request to a target.
type copyState struct {
	request    int
	target     int
	sent       time.Duration
	admitted   time.Duration
	progressed time.Duration
	work       time.Duration
	version    int
	verdict    balancer.ResultKind
	report     report
	ended      bool
	cancelled  bool
	// previous is the copy sent before for the same request, or -1.
	previous int
}

// Run runs the model to its end.
func Run(s Settings) Report {
	m := newModel(s)
	for {
		e, ok := m.schedule.next()
		if !ok {
			break
		}
		m.now = e.at
		m.handle(e)
	}
	return m.result
}

func newModel(s Settings) *Model {
	m := &Model{
		settings: s,
		arrivals: rand.New(rand.NewPCG(s.Seed, 1)),
		episodes: rand.New(rand.NewPCG(s.Seed, 2)),
		choices:  rand.New(rand.NewPCG(s.Seed, 3)),
	}
	for i := range s.Targets {
		m.targets = append(m.targets, &target{index: i, zone: i % s.Zones, speed: 1})
		m.planEpisode(m.targets[i])
	}
	m.planFaults()
	for i := range s.Instances {
		m.instances = append(m.instances, m.newInstance(i))
	}
	m.planArrival()
	return m
}

func (m *Model) handle(e event) {
	switch e.kind {
	case requestArrives:
		m.arrive()
	case copyReachesTarget:
		m.reachTarget(e.subject)
	case copyEnds:
		m.end(e.subject, e.version)
	case resultReachesInstance:
		m.reachInstance(e)
	case probeReachesInstance:
		m.probeAnswered(e)
	case hedgeIsDue:
		m.hedge(e.subject)
	case speedChanges:
		m.changeSpeed(m.targets[e.subject], e.version)
	case copyIsCancelled:
		m.remove(m.targets[m.copies[e.subject].target], e.subject)
	case configurationChanges:
		for _, in := range m.instances {
			m.configure(in)
		}
	}
}

// rate returns the arrivals per second over all instances.
func (s *Settings) rate() float64 {
	return s.Utilization * float64(s.Targets*s.Slots) / s.ServiceTime.Seconds()
}

func (m *Model) planArrival() {
	gap := m.arrivals.ExpFloat64() / m.settings.rate()
	at := m.now + time.Duration(gap*float64(time.Second))
	if at < m.settings.Length {
		m.schedule.add(event{at: at, kind: requestArrives})
	}
}

func (m *Model) arrive() {
	m.planArrival()
	id := len(m.requests)
	m.requests = append(m.requests, request{
		arrived:  m.now,
		work:     time.Duration(m.arrivals.ExpFloat64() * float64(m.settings.ServiceTime)),
		instance: m.arrivals.IntN(m.settings.Instances),
		last:     -1,
	})
	m.serve(id)
}

// Versions of speedChanges events.
const (
	episodeBegins = iota
	episodeEnds
	faultChanges
)

func (m *Model) planEpisode(t *target) {
	if m.settings.SlowShare <= 0 {
		return
	}
	mean := (m.settings.SlowMin + m.settings.SlowMax) / 2
	gap := float64(mean) * (1 - m.settings.SlowShare) / m.settings.SlowShare
	at := m.now + time.Duration(m.episodes.ExpFloat64()*gap)
	if at < m.settings.Length {
		m.schedule.add(event{at: at, kind: speedChanges, subject: t.index, version: episodeBegins})
	}
}

func (m *Model) planFaults() {
	for _, f := range m.settings.Faults {
		if f.Kind != FaultSlow && f.Kind != FaultAbsent {
			continue
		}
		for i := f.First; i <= f.Last; i++ {
			for _, at := range []time.Duration{f.From, f.Until, f.From + coldFor, f.Until + coldFor} {
				m.schedule.add(event{at: at, kind: speedChanges, subject: i, version: faultChanges})
			}
		}
	}
}

func (m *Model) changeSpeed(t *target, cause int) {
	switch cause {
	case episodeBegins:
		t.slow = true
		length := m.settings.SlowMin + time.Duration(m.episodes.Int64N(int64(m.settings.SlowMax-m.settings.SlowMin)+1))
		m.schedule.add(event{at: m.now + length, kind: speedChanges, subject: t.index, version: episodeEnds})
	case episodeEnds:
		t.slow = false
		m.planEpisode(t)
	}
	if speed := m.currentSpeed(t); speed != t.speed {
		m.setSpeed(t, speed)
	}
}
