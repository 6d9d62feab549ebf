package crashguard

import "time"

// PollInterval is the maximum time that a request waits before it calls Guard.Admit again.
const PollInterval = 50 * time.Millisecond

// Admission is the admission of one request. The zero value belongs to a request that is not suspect. An Admission must be
// used by one goroutine only, which calls Release once.
type Admission struct {
	guard  *Guard
	mark   *mark
	target string
	// trial is true for a copy of a refused request. Crashes is then the number of crashes in the mark at that time.
	trial   bool
	crashes int
}

// Admit admits or refuses a request, or makes it wait. Refused is true if the request is refused. Wait is not nil while
// another request with the same fingerprint is on probation, while a target is being checked or while a refusal is
// delayed: the caller then waits until wait is closed, at most PollInterval, and calls Admit again.
func (g *Guard) Admit(now time.Duration, f Fingerprint) (admission Admission, wait <-chan struct{}, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	if m != nil && g.expired(now, m) {
		delete(g.marks, f)
		g.updateActive()
		m = nil
	}
	if g.pendingChecks(now, f) >= unansweredLimit {
		return Admission{}, g.neverClosed, false
	}
	switch {
	case m == nil || !m.suspect() && !m.refusable():
		return Admission{}, nil, false
	case !g.shouldRefuse(now, f, m):
	case now-m.refusableSince < refusalDelay:
		return Admission{}, g.neverClosed, false
	case !g.startTrial(now, f, m):
		g.recordRefusal(now, f, m)
		return Admission{}, nil, true
	default:
		m.probation = make(chan struct{})
		return Admission{guard: g, mark: m, trial: true, crashes: len(m.crashes)}, nil, false
	}
	if m.probation != nil {
		return Admission{}, m.probation, false
	}
	m.probation = make(chan struct{})
	return Admission{guard: g, mark: m}, nil, false
}

// recordRefusal renews the mark of a refused request, so that it lives for as long as the request arrives. If the request is refused
// because it has too few answers, the peers are told of those that only this instance saw.
func (g *Guard) recordRefusal(now time.Duration, f Fingerprint, m *mark) {
	m.updatedAt = now
	if m.crashesOften() && m.answers.here > m.answers.told {
		g.tell(now, f, m)
	}
}

// startTrial reports whether a copy of a refused request is to be sent as a trial, and counts the trial. An innocent request that
// was refused by mistake gets an answer then, which clears it. The other instances are told, so that one of them tries.
func (g *Guard) startTrial(now time.Duration, f Fingerprint, m *mark) bool {
	if m.probation != nil || m.trials >= len(trialDelays) {
		return false
	}
	delay := trialDelays[m.trials]
	if now-max(m.refusableSince, m.trialAt) < delay+time.Duration(g.trialJitter*float64(delay)) {
		return false
	}
	m.trials, m.trialAt, m.updatedAt = m.trials+1, now, now
	g.stats.Trials++
	g.digestValid = false
	g.tell(now, f, m)
	return true
}

// pendingChecks returns the number of lost answers of a request, without an answer since, for which the caller still checks whether
// the target's process terminated.
func (g *Guard) pendingChecks(now time.Duration, f Fingerprint) int {
	if g.pendingByRequest[f].unanswered < unansweredLimit {
		return 0
	}
	count := 0
	for _, list := range g.pendingLosses {
		for _, l := range list {
			if l.fingerprint == f && now < l.checkUntil && !l.answered {
				count++
			}
		}
	}
	return count
}

// HasCrashEvidence reports whether a request recently lost an answer because a connection broke and was not answered since, or
// crashed a target and is not answered most of the time.
func (g *Guard) HasCrashEvidence(f Fingerprint) bool {
	if !g.Active() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	return g.pendingByRequest[f].unanswered > 0 || m != nil && !m.mostlyAnswered()
}

// StillAdmitted reports whether a request that was admitted earlier may still be sent. If crashes that became known
// meanwhile make it suspect or refused, it must call Admit again.
func (g *Guard) StillAdmitted(now time.Duration, f Fingerprint, admission *Admission) bool {
	if !g.Active() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	if m == nil || !m.suspect() && !m.refusable() {
		return true
	}
	if admission.mark != m || !admission.Suspect() {
		return false
	}
	return admission.trial && len(m.crashes) == admission.crashes || !g.shouldRefuse(now, f, m)
}

// AnsweredLately reports whether requests with this content were answered lately. If others crash targets all the same, that may
// depend on their caller.
func (g *Guard) AnsweredLately(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.history.count(f) > 0
}

// RefusesCaller reports whether the requests of one caller, whose fingerprint is from OfCaller, crashed targets too often.
func (g *Guard) RefusesCaller(f Fingerprint) bool {
	if !g.Active() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	return m != nil && m.refusable()
}

// shouldRefuse reports whether the crashes of a request are enough to refuse it and no other request explains them. A
// request gets another probation if another request was in flight at each of its crashes, because instances that do not
// know each other's suspects may run an innocent request together with the cause twice. After a further crash without
// such a request it is refused.
//
// Two requests with the same crashes explain each other. If only one of them was answered recently, it runs immediately
// and the other one waits. If neither or both were, both wait for refusalDelay, in which crashes that other instances
// observed can tell them apart: when both ran immediately, the cause crashed a third target of one instance.
func (g *Guard) shouldRefuse(now time.Duration, f Fingerprint, m *mark) bool {
	if !m.refusable() {
		return false
	}
	if m.unansweredCrashes() >= unansweredHardLimit || m.crashesOften() {
		return true
	}
	for other, o := range g.marks {
		if o == m || o.ofCaller || !o.refusable() || !o.explains(m) {
			continue
		}
		if !m.explains(o) || g.probationAllowed(now, f, other, m) {
			return false
		}
	}
	return true
}

// probationAllowed reports whether a request may run on probation although the other one has the same crashes.
func (g *Guard) probationAllowed(now time.Duration, f, other Fingerprint, m *mark) bool {
	answered, otherAnswered := g.history.count(f) > 0, g.history.count(other) > 0
	if answered != otherAnswered {
		return answered
	}
	return now-m.refusableSince >= refusalDelay
}

// Suspect reports whether the request was admitted on probation as a suspect.
func (a *Admission) Suspect() bool { return a.guard != nil }

// ReserveTarget reserves a target for a suspect. It returns false if another suspect is running there. It must not be
// called unless Suspect returns true.
func (a *Admission) ReserveTarget(target string) bool {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, reserved := g.targetsWithSuspect[target]; reserved {
		return false
	}
	g.targetsWithSuspect[target] = struct{}{}
	a.target = target
	return true
}

// TargetReleased returns a channel that is closed when the next suspect releases its target.
func (g *Guard) TargetReleased() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targetReleased
}

// Release ends the probation of a suspect and releases its target. It does nothing for a request that is not suspect.
func (a *Admission) Release() {
	g := a.guard
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	close(a.mark.probation)
	a.mark.probation = nil
	a.guard = nil
	if a.target == "" {
		return
	}
	delete(g.targetsWithSuspect, a.target)
	close(g.targetReleased)
	g.targetReleased = make(chan struct{})
}
