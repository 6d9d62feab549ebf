package targetmodel

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// faultFree returns a service without random episodes, so that only the faults of a test act.
func faultFree(faults ...Fault) Settings {
	s := Flightdesk()
	s.SlowShare, s.Length, s.Seed = 0, 4*time.Second, 11
	s.ProbesPerRequest, s.Faults = 0.25, faults
	return s
}

// during returns a fault of the middle of a run.
func during(kind FaultKind, first, last int) Fault {
	return Fault{Kind: kind, First: first, Last: last, From: 1500 * time.Millisecond, Until: 3 * time.Second}
}

// run runs the default policy and returns the report and the share of choices that went to the targets first to
// last between two times.
func run(t *testing.T, s Settings, policy string, first, last int, from, until time.Duration) (Report, float64) {
	t.Helper()
	s.Builder = builder(t, policy)
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

// faultCase is a fault and what the default policy owes under it.
type faultCase struct {
	name   string
	faults []Fault
	// first to last are the faulty targets, and share is the most that they may receive of the choices, once the
	// fault has held for half a second. 1 permits any.
	first, last int
	share       float64
	// failed is the largest share of failed requests.
	failed float64
	// better is the largest ratio of p99 to that of round robin. 0 permits any.
	better float64
}

func faultCases() []faultCase {
	late := during(FaultReportLate, 0, 19)
	// The first report of a run shows an idle target.
	idleSince := Fault{Kind: FaultReportStuck, First: 0, Last: 1, Until: 3 * time.Second}
	return []faultCase{
		{"slow", []Fault{during(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"reject", []Fault{during(FaultReject, 0, 1)}, 0, 1, 0.02, 0, 0},
		{"reports idle and slow", []Fault{during(FaultReportIdle, 0, 1), during(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"report stuck and slow", []Fault{during(FaultReportStuck, 0, 1), during(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"report stuck when idle and slow", []Fault{idleSince, during(FaultSlow, 0, 1)}, 0, 1, 0.02, 0, 0.5},
		{"all reports late and one slow", []Fault{late, during(FaultSlow, 0, 0)}, 0, 0, 0.01, 0, 0.75},
		{"reject and slow", []Fault{during(FaultReject, 0, 1), during(FaultSlow, 2, 3)}, 0, 3, 0.04, 0, 0},
		{"reports idle and reject", []Fault{during(FaultReportIdle, 0, 1), during(FaultReject, 0, 1)}, 0, 1, 0.02, 0, 0},
	}
}

// Guards F1, F3 and F10: a faulty target receives a small part of its share although it answers fast or reports an
// idle state, requests do not fail, and the tail is shorter than under round robin.
func TestFaultyTargetsReceiveLittle(t *testing.T) {
	for _, c := range faultCases() {
		s := faultFree(c.faults...)
		report, got := run(t, s, balancer.NameCombined, c.first, c.last, 2*time.Second, 3*time.Second)
		if got > c.share {
			t.Errorf("%s: faulty targets received %.2f %%, want at most %.2f %%", c.name, 100*got, 100*c.share)
		}
		if failed := share(report.Failed, report.Requests); failed > c.failed {
			t.Errorf("%s: %.3f %% failed", c.name, 100*failed)
		}
		other, _ := run(t, s, balancer.NameRoundRobin, 0, 0, 0, 0)
		if c.better > 0 && float64(report.Quantile(0.99)) > c.better*float64(other.Quantile(0.99)) {
			t.Errorf("%s: p99 %v, round robin %v", c.name, report.Quantile(0.99), other.Quantile(0.99))
		}
	}
}

// Guards F10 against instances that all follow load reports which are 100 ms late: the tail stays no worse than that
// of two choices, which reads no reports.
func TestLateReportsNoWorseThanTwoChoices(t *testing.T) {
	for _, service := range services() {
		for _, utilisation := range []float64{0.75, 0.9} {
			s := service.settings
			s.Length, s.Utilization = 3*time.Second, utilisation
			s.Faults = []Fault{{Kind: FaultReportLate, First: 0, Last: 19, Until: time.Hour}}
			combined := p99(t, s, balancer.NameCombined, 0.25, 6)
			twoChoices := p99(t, s, balancer.NameTwoChoices, 0, 6)
			if beyond(combined, twoChoices) {
				t.Errorf("%s at %v: p99 %v, two choices %v", service.name, utilisation, combined, twoChoices)
			}
		}
	}
}

// Guards against ejection that takes a whole service away: when every target rejects, requests still reach all of
// them, and after the fault the service recovers.
func TestWholeServiceRejecting(t *testing.T) {
	s := faultFree(during(FaultReject, 0, 19))
	for target := range 20 {
		if _, got := run(t, s, balancer.NameCombined, target, target, 2*time.Second, 3*time.Second); got == 0 {
			t.Errorf("target %d received nothing", target)
		}
	}
	s.Warmup = 3500 * time.Millisecond
	report, _ := run(t, s, balancer.NameCombined, 0, 0, 0, 0)
	if report.Failed > 0 || report.LateShare() > 0.01 {
		t.Errorf("after the fault %d of %d failed and %.2f %% were late", report.Failed, report.Requests, 100*report.LateShare())
	}
}

// Guards against a lost availability zone that requests keep going to.
func TestAvailabilityZoneGone(t *testing.T) {
	s := faultFree()
	s.Zones, s.ZoneDelay, s.Utilization = 4, 500*time.Microsecond, 0.5
	for target := 0; target < 20; target += 4 {
		s.Faults = append(s.Faults, during(FaultUnreachable, target, target))
	}
	report, got := run(t, s, balancer.NameCombined, 0, 0, 2*time.Second, 3*time.Second)
	if report.Failed > 0 || got > 0.01 {
		t.Errorf("%d requests failed, a lost target received %.2f %%", report.Failed, 100*got)
	}
	if report.LateShare() > 0.01 {
		t.Errorf("%.2f %% of requests were late", 100*report.LateShare())
	}
}

// Guards against cold targets that receive a full share at once: while they are cold, half of the targets that have
// just joined get less than their even share.
func TestHalfOfTheTargetsCold(t *testing.T) {
	s := faultFree(Fault{Kind: FaultAbsent, First: 10, Last: 19, Until: 1500 * time.Millisecond})
	s.Utilization = 0.4
	_, early := run(t, s, balancer.NameCombined, 10, 19, 1500*time.Millisecond, 1700*time.Millisecond)
	report, late := run(t, s, balancer.NameCombined, 10, 19, 3600*time.Millisecond, 4*time.Second)
	if early > 0.2 || late < 0.4 {
		t.Errorf("cold targets received %.1f %% at first and %.1f %% at the end", 100*early, 100*late)
	}
	if report.Failed > 0 || report.LateShare() > 0.01 {
		t.Errorf("%d failed, %.2f %% late", report.Failed, 100*report.LateShare())
	}
}

// Guards against an instance that acts on what it knew before a pause of 10 s.
func TestPausedInstanceResumes(t *testing.T) {
	s := faultFree(
		Fault{Kind: FaultPaused, First: 0, Last: 0, From: 1500 * time.Millisecond, Until: 11500 * time.Millisecond},
		Fault{Kind: FaultSlow, First: 3, Last: 3, From: 11 * time.Second, Until: 13 * time.Second},
	)
	s.Length = 13 * time.Second
	s.Builder = builder(t, balancer.NameCombined)
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
		t.Errorf("after the pause %d of %d choices went to the slow target", slow, all)
	}
}
