// Package targetmodel is a discrete-event simulation of the targets of one service
// and of independent instances that balance requests over them. It runs the real
// policies of package balancer. It does not simulate the network, apart from fixed
// delays, nor the platform or the cluster.
//
// A run is deterministic: the same settings and seed give the same report. Separate
// runs may execute concurrently.
package targetmodel

import (
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// Settings are the parameters of one run.
type Settings struct {
	// Seed is the seed of all random numbers of the run.
	Seed uint64
	// Builder builds the policy of each instance. Nil selects the all-knowing dispatcher, which sees the true state of
	// every target. Its latency is the lower bound with which policies are compared.
	Builder balancer.Builder
	// ProbesPerRequest is the number of load probes that an instance may send per request.
	ProbesPerRequest float64
	Instances        int
	Targets          int
	// Slots is the number of requests that each target runs at once.
	Slots int
	// Utilization is the ratio of the arrival rate to the capacity of all targets at full speed.
	Utilization float64
	// ServiceTime is the mean of the exponentially distributed service times.
	ServiceTime time.Duration
	// SlowShare is the mean fraction of targets that are in a slow episode. 0 disables slow episodes.
	SlowShare float64
	// SlowFactor divides the speed of a target during an episode.
	SlowFactor float64
	// SlowMin and SlowMax are the bounds of the uniformly distributed length of an episode.
	SlowMin, SlowMax time.Duration
	// ResultDelay is the time that results and probe answers take to reach the instance.
	ResultDelay time.Duration
	// QueuePerSlot is the number of requests per slot that may wait at a target. The target rejects further ones. 0 means
	// no limit.
	QueuePerSlot int
	// Zones is the number of availability zones. Instances and targets are assigned to them in turn.
	Zones int
	// ZoneDelay is the additional one-way delay between zones.
	ZoneDelay time.Duration
	// NoLoadOnAnswers omits the load reports from answers, so that policies know the load only from probes.
	NoLoadOnAnswers bool
	// Warmup is the time at the start of the run that the report excludes. No request arrives from Length on.
	Warmup, Length time.Duration
	// HedgeAfter is the time without an answer after which a second attempt of a request is sent. 0 disables hedging.
	HedgeAfter time.Duration
	// HedgeBudget is the maximum fraction of requests that are hedged.
	HedgeBudget float64
	// MaxAttempts is the number of targets that a rejected or failed request is sent to before it fails.
	MaxAttempts int
	// Faults are the faults that occur in the run.
	Faults []Fault
	// Observe is called for each attempt with the time since the start and the indexes of the instance and the target. It
	// may be nil.
	Observe func(at time.Duration, instance, target int)
}

// LateAfter is the latency above which a request counts as late.
const LateAfter = 100 * time.Millisecond

// Flightdesk returns the settings for the flightdesk service of Kilimanjaro Wingworks.
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

// BancoApp returns the settings for the banco-app service of Pannolino Solidale.
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
	// FaultReject makes the target reject every request after rejectDelay, 0.1 ms.
	FaultReject
	// FaultUnreachable makes connections to the target fail.
	FaultUnreachable
	// FaultReportIdle makes every load report of the target say that it is idle.
	FaultReportIdle
	// FaultReportStuck makes the target repeat its first load report of the interval.
	FaultReportStuck
	// FaultReportLate makes load reports late: they show the state at the time of the last change that was at least
	// staleReportAge, 100 ms, ago.
	FaultReportLate
	// FaultAbsent removes the target from the configuration. It joins with cold caches at the end of the interval.
	FaultAbsent
	// FaultPaused pauses an instance, as if its process were stopped. Its subjects are instances, not targets.
	FaultPaused
)

// Fault affects the subjects with indexes from First to Last, inclusive, from the time From until before the time Until.
type Fault struct {
	Kind        FaultKind
	First, Last int
	From, Until time.Duration
}

const (
	// rejectDelay is the time that a target takes to reject a request.
	rejectDelay = 100 * time.Microsecond
	// staleReportAge is the minimum age of load reports under FaultReportLate.
	staleReportAge = 100 * time.Millisecond
	// coldDuration is how long a joining target runs at reduced speed.
	coldDuration = 2 * time.Second
	// coldFactor divides the speed of a cold target.
	coldFactor = 5
)

// activeFault returns the first fault of a kind that affects a subject at a time.
func (s *Settings) activeFault(kind FaultKind, subject int, at time.Duration) (Fault, bool) {
	for _, f := range s.Faults {
		if f.Kind == kind && subject >= f.First && subject <= f.Last && at >= f.From && at < f.Until {
			return f, true
		}
	}
	return Fault{}, false
}
