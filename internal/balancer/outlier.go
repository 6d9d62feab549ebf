package balancer

import (
	"time"

	"github.com/basillink/basillink/internal/chart"
)

const (
	// ejectionThreshold is the number of consecutive shed or failed requests after which a target is ejected.
	ejectionThreshold = 5
	// baseEjectionTime is the duration of the first ejection. Each further ejection lasts twice as long.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionDoublings limits ejections to 8 s.
	maxEjectionDoublings = 4
	// rampDuration is the time in which a cold or readmitted target reaches its full share of requests.
	rampDuration = 2 * time.Second
	// minRampShare is the share of requests at the start of a ramp.
	minRampShare = 0.05
)

// ejectionChart is the chart charts/ejection.toml of package chart. It is compiled, because Pick reads the phase of each
// target that it draws.
var ejectionChart = chart.MustTable("ejection")

var (
	phaseServing     = ejectionChart.MustState("serving")
	phaseCold        = ejectionChart.MustState("cold")
	phaseWarming     = ejectionChart.MustState("warming")
	phaseEjected     = ejectionChart.MustState("ejected")
	phaseReadmitting = ejectionChart.MustState("readmitting")

	eventJoin    = ejectionChart.MustEvent("join")
	eventDraw    = ejectionChart.MustEvent("draw")
	eventEject   = ejectionChart.MustEvent("eject")
	eventReadmit = ejectionChart.MustEvent("readmit")
	eventRamped  = ejectionChart.MustEvent("ramped")
)

// fire performs the transition of an event. Pick reads the phase without the lock, so callers store the times of the next
// phase before they call fire. The caller holds s.mu.
func (s *targetState) fire(event chart.EventID) error { return s.phase.Fire(ejectionChart, event) }

// startCold marks a target that joined a running service as cold.
func (s *targetState) startCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.fire(eventJoin)
}

// recordSuccess records an answer of the target.
func (p *samplingPolicy) recordSuccess(s *targetState, now time.Duration) {
	if s.failureRateBits.Load() != 0 {
		s.updateFailureRate(false, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures = 0
	if s.ejections == 0 {
		return
	}
	s.endRampIfComplete(now)
	if s.phase.State() == phaseServing {
		s.ejections = 0
	}
}

// recordFailure records a shed or failed request, and ejects the target after too many consecutive ones. A target that
// fails while it is being readmitted is ejected again immediately.
func (p *samplingPolicy) recordFailure(s *targetState, now time.Duration) {
	s.updateFailureRate(true, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures++
	s.endRampIfComplete(now)
	phase := s.phase.State()
	if s.consecutiveFailures < ejectionThreshold && phase != phaseReadmitting {
		return
	}
	if phase != phaseEjected {
		p.eject(s, now)
	}
}

// eject ejects a target unless half of the targets are already ejected. Ejected targets are counted anew each time: a
// counter drifted when a target left the service while it was ejected. The caller holds s.mu.
func (p *samplingPolicy) eject(s *targetState, now time.Duration) {
	p.service.ejectMu.Lock()
	defer p.service.ejectMu.Unlock()
	if p.ejectedCount() >= len(p.targets)/2 {
		return
	}
	duration := baseEjectionTime << min(s.ejections, maxEjectionDoublings)
	s.ejections++
	s.consecutiveFailures = 0
	s.ejectedUntil.Store(int64(now + duration))
	_ = s.fire(eventEject)
}

// ejectedCount returns the number of ejected targets.
func (p *samplingPolicy) ejectedCount() int {
	count := 0
	for _, s := range p.targets {
		if s.phase.State() == phaseEjected {
			count++
		}
	}
	return count
}

// notEjected reports whether a target is not ejected. It readmits a target whose ejection has expired.
func (p *samplingPolicy) notEjected(s *targetState, now time.Duration) bool {
	return s.phase.State() != phaseEjected || p.tryReadmit(s, now)
}

// tryReadmit ends an ejection that has expired. It reports whether the target is no longer ejected.
func (p *samplingPolicy) tryReadmit(s *targetState, now time.Duration) bool {
	if int64(now) < s.ejectedUntil.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.State() != phaseEjected {
		return true
	}
	// Another goroutine may have readmitted the target meanwhile, after which it may have been ejected again.
	if int64(now) < s.ejectedUntil.Load() {
		return false
	}
	s.rampStart.Store(int64(now))
	_ = s.fire(eventReadmit)
	return true
}

// rampShare returns the probability with which a target that was drawn is eligible, relative to its full share. It is
// small enough to be inlined.
func rampShare(s *targetState, now time.Duration) float64 {
	if s.phase.State() == phaseServing {
		return 1
	}
	return s.updateRampShare(now)
}

// updateRampShare returns the share of a target that is not serving normally. It starts the ramp of a cold target and ends
// a ramp that is complete.
func (s *targetState) updateRampShare(now time.Duration) float64 {
	if s.phase.State() == phaseCold {
		s.startRamp(now)
		return minRampShare
	}
	age := now - time.Duration(s.rampStart.Load())
	if age < rampDuration {
		return max(minRampShare, float64(age)/float64(rampDuration))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRampIfComplete(now)
	return 1
}

// startRamp starts the ramp of a cold target that was drawn for the first time.
func (s *targetState) startRamp(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.State() == phaseCold {
		s.rampStart.Store(int64(now))
		_ = s.fire(eventDraw)
	}
}

// endRampIfComplete returns a target to its full share if its ramp is complete. The caller holds s.mu.
func (s *targetState) endRampIfComplete(now time.Duration) {
	phase := s.phase.State()
	ramping := phase == phaseWarming || phase == phaseReadmitting
	if ramping && now-time.Duration(s.rampStart.Load()) >= rampDuration {
		_ = s.fire(eventRamped)
	}
}
