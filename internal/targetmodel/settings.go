// Package targetmodel is a small discrete-event model of the targets of one
// service and of independent instances that select among them. It runs the real
// policies of package balancer. It models no network, platform or cluster.
//
// A model is seeded and replays exactly. It is not safe for concurrent use;
// separate models may run at once.
package targetmodel

import (
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// Settings describe one run.
type Settings struct {
	Seed uint64
	// Builder builds the policy of each instance. Nil selects the all-knowing dispatcher, which sees the true
	// state of each target and serves as the floor.
	Builder balancer.Builder
	// ProbesPerRequest is the probing rate.
	ProbesPerRequest float64
	Instances        int
	Targets          int
	Slots            int
	// Utilization is the arrival rate over the capacity of all targets at full speed.
	Utilization float64
	// ServiceTime is the mean of the exponentially distributed service times.
	ServiceTime time.Duration
	// SlowShare is the mean share of targets in a slow episode.
	SlowShare float64
	// SlowFactor divides the speed of a target during an episode.
	SlowFactor float64
	// SlowMin and SlowMax bound the uniformly distributed length of an episode.
	SlowMin, SlowMax time.Duration
	// ResultDelay is how late results and probe answers reach the instance.
	ResultDelay time.Duration
	// QueuePerSlot bounds the requests waiting at a target, which rejects beyond. 0 means no bound.
	QueuePerSlot int
	// Zones is the number of availability zones. Instances and targets are spread over them in turn.
	Zones int
	// ZoneDelay is the additional one-way delay between zones.
	ZoneDelay time.Duration
	// NoLoadOnAnswers leaves the load reports on answers out.
	NoLoadOnAnswers bool
	// Warmup is excluded from the report. Length is the arrival time of the last request.
	Warmup, Length time.Duration
	// HedgeAfter is when a second copy of a request is sent. 0 disables hedging.
	HedgeAfter time.Duration
	// HedgeBudget is the highest share of second copies.
	HedgeBudget float64
	// MaxAttempts is how many targets a rejected or failed request is sent to.
	MaxAttempts int
	Faults      []Fault
	// Observe is called for each dispatch, unless it is nil.
	Observe func(at time.Duration, instance, target int)
}

// LateAfter is the latency beyond which a request counts as late.
const LateAfter = 100 * time.Millisecond

// Flightdesk returns the settings for the service of Kilimanjaro Wingworks.
func Flightdesk() Settings {
	return Settings{
		Instances:   20,
		Targets:     20,
		Slots:       6,
		Utilization: 0.75,
		ServiceTime: 5 * time.Millisecond,
		SlowShare:   0.1,
		SlowFactor:  10,
		SlowMin:     20 * time.Millisecond,
		SlowMax:     200 * time.Millisecond,
		ResultDelay: time.Millisecond,
		Zones:       1,
		Warmup:      time.Second,
		Length:      6 * time.Second,
		MaxAttempts: 3,
	}
}

// BancoApp returns the settings for the service of Pannolino Solidale.
func BancoApp() Settings {
	s := Flightdesk()
	s.Slots = 4
	return s
}

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults.
const (
	// FaultSlow divides the speed of the target by the settings' SlowFactor.
	FaultSlow FaultKind = iota
	// FaultReject makes the target reject everything within 0.1 ms.
	FaultReject
	// FaultUnreachable makes connections to the target fail.
	FaultUnreachable
	// FaultReportIdle makes every load report of the target say that it is idle.
	FaultReportIdle
	// FaultReportStuck makes the target repeat its first load report of the interval.
	FaultReportStuck
	// FaultReportLate makes load reports show the state at the time of the last change at least 100 ms ago.
	FaultReportLate
	// FaultAbsent keeps the target out of the configuration. It joins with cold caches at the end of the interval.
	FaultAbsent
	// FaultPaused stops an instance. Subjects are instances.
	FaultPaused
)

// Fault holds for the subjects from First to Last during an interval.
type Fault struct {
	Kind        FaultKind
	First, Last int
	From, Until time.Duration
}

const (
	rejectTime = 100 * time.Microsecond
	// staleReportAge is the age of reports under FaultReportLate.
	staleReportAge = 100 * time.Millisecond
	// coldFor is how long a joining target runs at reduced speed.
	coldFor = 2 * time.Second
	// coldFactor divides the speed of a cold target.
	coldFactor = 5
)

func (s *Settings) faulty(kind FaultKind, subject int, at time.Duration) (Fault, bool) {
	for _, f := range s.Faults {
		if f.Kind == kind && subject >= f.First && subject <= f.Last && at >= f.From && at < f.Until {
			return f, true
		}
	}
	return Fault{}, false
}
