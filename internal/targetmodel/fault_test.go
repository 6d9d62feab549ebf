package targetmodel

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// settingsWithFaults returns settings without random slow episodes, so that only the given faults have an effect.
func settingsWithFaults(faults ...Fault) Settings {
	s := Flightdesk()
	s.SlowShare, s.Length, s.Seed = 0, 4*time.Second, 11
	s.ProbesPerRequest, s.Faults = 0.25, faults
	return s
}

// midRunFault returns a fault in the middle of a run of 4 s.
func midRunFault(kind FaultKind, first, last int) Fault {
	return Fault{Kind: kind, First: first, Last: last, From: 1500 * time.Millisecond, Until: 3 * time.Second}
}

// runPolicy runs a policy and returns the report, and the fraction of the attempts between two times that went to the
// targets from first to last.
func runPolicy(t *testing.T, s Settings, policy string, first, last int, from, until time.Duration) (Report, float64) {
	t.Helper()
	s.Builder = findBuilder(t, policy)
	inside, all := 0, 0
	s.Observe = func(at time.Duration, _, target int) {
		if at < from || at >= until {
			return
		}
		all++
		if target >= first && target <= last {
			inside++
		}
	}
	report := Run(s)
	return report, share(inside, all)
}

// faultCase is a set of faults and what is required of the default policy during them.
type faultCase struct {
	name   string
	faults []Fault
	// first to last are the faulty targets. maxShare is the maximum fraction of the attempts that they may receive once
	// the fault has lasted for half a second; 1 allows any.
	first, last int
	maxShare    float64
	// maxFailed is the maximum fraction of failed requests.
	maxFailed float64
	// maxP99Ratio is the maximum ratio of p99 to that of round robin. 0 allows any.
	maxP99Ratio float64
}

func faultCases() []faultCase {
	late := midRunFault(FaultReportLate, 0, 19)
	// The fault starts with the run, so the report that is repeated shows an idle target.
	stuckIdle := Fault{Kind: FaultReportStuck, First: 0, Last: 1, Until: 3 * time.Second}
	return []faultCase{
		{"slow", []Fault{midRunFault(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"reject", []Fault{midRunFault(FaultReject, 0, 1)}, 0, 1, 0.02, 0, 0},
		{"reports idle and slow", []Fault{midRunFault(FaultReportIdle, 0, 1), midRunFault(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"report stuck and slow", []Fault{midRunFault(FaultReportStuck, 0, 1), midRunFault(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"report stuck when idle and slow", []Fault{stuckIdle, midRunFault(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"all reports late and one slow", []Fault{late, midRunFault(FaultSlow, 0, 0)}, 0, 0, 0.01, 0, 0.75},
		{"reject and slow", []Fault{midRunFault(FaultReject, 0, 1), midRunFault(FaultSlow, 2, 3)}, 0, 3, 0.04, 0, 0},
		{"reports idle and reject", []Fault{midRunFault(FaultReportIdle, 0, 1), midRunFault(FaultReject, 0, 1)}, 0, 1, 0.02, 0, 0},
	}
}

// Guards against a faulty target that attracts requests because it rejects them fast or reports that it is idle (F1, F3
// and F10 in docs/guarantees.md): it must receive a small part of its even share, no request may fail, and the tail latency
// must stay below that of round robin.
func TestFaultyTargetsReceiveLittle(t *testing.T) {
	for _, c := range faultCases() {
		s := settingsWithFaults(c.faults...)
		report, got := runPolicy(t, s, balancer.NameCombined, c.first, c.last, 2*time.Second, 3*time.Second)
		if got > c.maxShare {
			t.Errorf("%s: faulty targets received %.2f %%, want at most %.2f %%", c.name, 100*got, 100*c.maxShare)
		}
		if failed := share(report.Failed, report.Requests); failed > c.maxFailed {
			t.Errorf("%s: %.3f %% failed", c.name, 100*failed)
		}
		other, _ := runPolicy(t, s, balancer.NameRoundRobin, 0, 0, 0, 0)
		if c.maxP99Ratio > 0 && float64(report.Quantile(0.99)) > c.maxP99Ratio*float64(other.Quantile(0.99)) {
			t.Errorf("%s: p99 %v, round robin %v", c.name, report.Quantile(0.99), other.Quantile(0.99))
		}
	}
}

// Guards against instances that all follow load reports which are 100 ms late, and so send to the same targets (F10 in
// docs/guarantees.md): the tail latency must not exceed that of two choices, which uses no load reports.
func TestLateReportsNoWorseThanTwoChoices(t *testing.T) {
	for _, service := range services() {
		for _, utilization := range []float64{0.75, 0.9} {
			s := service.settings
			s.Length, s.Utilization = 3*time.Second, utilization
			s.Faults = []Fault{{Kind: FaultReportLate, First: 0, Last: 19, Until: time.Hour}}
			combined := p99(t, s, balancer.NameCombined, 0.25, 6)
			twoChoices := p99(t, s, balancer.NameTwoChoices, 0, 6)
			if exceeds(combined, twoChoices) {
				t.Errorf("%s at utilization %v: p99 %v, two choices %v", service.name, utilization, combined, twoChoices)
			}
		}
	}
}

// Guards against outlier ejection that makes a whole service unavailable: when every target rejects requests, all of them
// must still receive some, and the service must recover after the fault.
func TestWholeServiceRejecting(t *testing.T) {
	s := settingsWithFaults(midRunFault(FaultReject, 0, 19))
	for target := range 20 {
		if _, got := runPolicy(t, s, balancer.NameCombined, target, target, 2*time.Second, 3*time.Second); got == 0 {
			t.Errorf("target %d received nothing", target)
		}
	}
	s.Warmup = 3500 * time.Millisecond
	report, _ := runPolicy(t, s, balancer.NameCombined, 0, 0, 0, 0)
	if report.Failed > 0 || report.LateShare() > 0.01 {
		t.Errorf("after the fault %d of %d failed and %.2f %% were late", report.Failed, report.Requests, 100*report.LateShare())
	}
}

// Guards against requests that are still sent to the targets of an availability zone that is unreachable.
func TestUnreachableAvailabilityZone(t *testing.T) {
	s := settingsWithFaults()
	s.Zones, s.ZoneDelay, s.Utilization = 4, 500*time.Microsecond, 0.5
	for target := 0; target < 20; target += 4 {
		s.Faults = append(s.Faults, midRunFault(FaultUnreachable, target, target))
	}
	report, got := runPolicy(t, s, balancer.NameCombined, 0, 0, 2*time.Second, 3*time.Second)
	if report.Failed > 0 || got > 0.01 {
		t.Errorf("%d requests failed, an unreachable target received %.2f %% of the attempts", report.Failed, 100*got)
	}
	if report.LateShare() > 0.01 {
		t.Errorf("%.2f %% of requests were late", 100*report.LateShare())
	}
}

// Guards against targets that receive their full share as soon as they join: while their caches are cold, the half of the
// targets that has just joined must receive less than its even share.
func TestHalfOfTheTargetsCold(t *testing.T) {
	s := settingsWithFaults(Fault{Kind: FaultAbsent, First: 10, Last: 19, Until: 1500 * time.Millisecond})
	s.Utilization = 0.4
	_, early := runPolicy(t, s, balancer.NameCombined, 10, 19, 1500*time.Millisecond, 1700*time.Millisecond)
	report, late := runPolicy(t, s, balancer.NameCombined, 10, 19, 3600*time.Millisecond, 4*time.Second)
	if early > 0.2 || late < 0.4 {
		t.Errorf("cold targets received %.1f %% at first and %.1f %% at the end", 100*early, 100*late)
	}
	if report.Failed > 0 || report.LateShare() > 0.01 {
		t.Errorf("%d failed, %.2f %% late", report.Failed, 100*report.LateShare())
	}
}

// Guards against an instance that, after a pause of 10 s, still acts on the state of the targets before the pause.
func TestPausedInstanceResumes(t *testing.T) {
	s := settingsWithFaults(
		Fault{Kind: FaultPaused, First: 0, Last: 0, From: 1500 * time.Millisecond, Until: 11500 * time.Millisecond},
		Fault{Kind: FaultSlow, First: 3, Last: 3, From: 11 * time.Second, Until: 13 * time.Second},
	)
	s.Length = 13 * time.Second
	s.Builder = findBuilder(t, balancer.NameCombined)
	slow, all := 0, 0
	s.Observe = func(at time.Duration, instance, target int) {
		if instance != 0 || at < 11600*time.Millisecond {
			return
		}
		all++
		if target == 3 {
			slow++
		}
	}
	if Run(s); all == 0 || share(slow, all) > 0.02 {
		t.Errorf("after the pause %d of %d attempts went to the slow target", slow, all)
	}
}
