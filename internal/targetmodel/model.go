package targetmodel

import (
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// Model is the state of one run. Requests, attempts, targets and instances refer to each other by their indexes. It is
// not safe for concurrent use.
type Model struct {
	settings Settings
	// now is the simulated time since the start of the run.
	now      time.Duration
	schedule schedule
	// Each source of randomness has its own generator, so that all policies see the same arrivals and episodes.
	arrivals     *rand.Rand
	episodes     *rand.Rand
	choices      *rand.Rand
	targets      []*target
	instances    []*instance
	requests     []request
	attempts     []attempt
	probeReports []loadReport
	report       Report
}

// request is one request of a caller.
type request struct {
	arrivedAt time.Duration
	// work is the service time at full speed.
	work         time.Duration
	instance     int
	attemptCount int
	// outstanding is the number of attempts without a result.
	outstanding int
	done        bool
	// lastAttempt is the attempt sent last, or -1.
	lastAttempt int
}

// attempt is one dispatch of a request to a target.
type attempt struct {
	request    int
	target     int
	sentAt     time.Duration
	admittedAt time.Duration
	// progressedAt is the time at which remainingWork, in service time at full speed, was last updated.
	progressedAt  time.Duration
	remainingWork time.Duration
	// completionVersion identifies the completion event that is valid. Events with an older version are ignored.
	completionVersion int
	result            balancer.ResultKind
	// loadReport is the load report on the answer.
	loadReport loadReport
	// finished is true from the time at which the target sends the result or the instance cancels the attempt.
	finished  bool
	cancelled bool
	// previous is the attempt of the same request before this one, or -1.
	previous int
}

// Run executes one run until no event is left.
func Run(s Settings) Report {
	m := newModel(s)
	for {
		e, ok := m.schedule.pop()
		if !ok {
			break
		}
		m.now = e.at
		m.handle(e)
	}
	return m.report
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
		m.scheduleEpisode(m.targets[i])
	}
	m.scheduleFaults()
	for i := range s.Instances {
		m.instances = append(m.instances, m.newInstance(i))
	}
	m.scheduleArrival()
	return m
}

func (m *Model) handle(e event) {
	switch e.kind {
	case eventRequestArrival:
		m.handleArrival()
	case eventTargetArrival:
		m.handleTargetArrival(e.subject)
	case eventCompletion:
		m.handleCompletion(e.subject, e.argument)
	case eventResult:
		m.handleResult(e)
	case eventProbeReport:
		m.handleProbeReport(e)
	case eventHedge:
		m.hedge(e.subject)
	case eventSpeedChange:
		m.changeSpeed(m.targets[e.subject], e.argument)
	case eventCancel:
		m.remove(m.targets[m.attempts[e.subject].target], e.subject)
	case eventConfigChange:
		for _, in := range m.instances {
			m.configure(in)
		}
	}
}

// arrivalRate returns the number of requests per second that arrive at all instances together.
func (s *Settings) arrivalRate() float64 {
	return s.Utilization * float64(s.Targets*s.Slots) / s.ServiceTime.Seconds()
}

func (m *Model) scheduleArrival() {
	gap := m.arrivals.ExpFloat64() / m.settings.arrivalRate()
	at := m.now + time.Duration(gap*float64(time.Second))
	if at < m.settings.Length {
		m.schedule.add(event{at: at, kind: eventRequestArrival})
	}
}

func (m *Model) handleArrival() {
	m.scheduleArrival()
	id := len(m.requests)
	m.requests = append(m.requests, request{
		arrivedAt:   m.now,
		work:        time.Duration(m.arrivals.ExpFloat64() * float64(m.settings.ServiceTime)),
		instance:    m.arrivals.IntN(m.settings.Instances),
		lastAttempt: -1,
	})
	m.dispatch(id)
}

// Causes of a speed change, the arguments of eventSpeedChange.
const (
	episodeBegins = iota
	episodeEnds
	faultChanges
)

// scheduleEpisode schedules the start of the next slow episode of a target. The exponentially distributed gap makes the
// mean fraction of slow targets SlowShare.
func (m *Model) scheduleEpisode(t *target) {
	if m.settings.SlowShare <= 0 {
		return
	}
	mean := (m.settings.SlowMin + m.settings.SlowMax) / 2
	gap := float64(mean) * (1 - m.settings.SlowShare) / m.settings.SlowShare
	at := m.now + time.Duration(m.episodes.ExpFloat64()*gap)
	if at < m.settings.Length {
		m.schedule.add(event{at: at, kind: eventSpeedChange, subject: t.index, argument: episodeBegins})
	}
}

// scheduleFaults schedules all times at which a fault changes the speed of a target, including the end of the cold phase
// after an absence.
func (m *Model) scheduleFaults() {
	for _, f := range m.settings.Faults {
		if f.Kind != FaultSlow && f.Kind != FaultAbsent {
			continue
		}
		for i := f.First; i <= f.Last; i++ {
			for _, at := range []time.Duration{f.From, f.Until, f.From + coldDuration, f.Until + coldDuration} {
				m.schedule.add(event{at: at, kind: eventSpeedChange, subject: i, argument: faultChanges})
			}
		}
	}
}

func (m *Model) changeSpeed(t *target, cause int) {
	switch cause {
	case episodeBegins:
		t.inSlowEpisode = true
		length := m.settings.SlowMin + time.Duration(m.episodes.Int64N(int64(m.settings.SlowMax-m.settings.SlowMin)+1))
		m.schedule.add(event{at: m.now + length, kind: eventSpeedChange, subject: t.index, argument: episodeEnds})
	case episodeEnds:
		t.inSlowEpisode = false
		m.scheduleEpisode(t)
	}
	if speed := m.currentSpeed(t); speed != t.speed {
		m.setSpeed(t, speed)
	}
}
