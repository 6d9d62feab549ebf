package crashguard

import "time"

// PollInterval is how long a waiting request waits at most before it enters again.
const PollInterval = 50 * time.Millisecond

// Entry is the admission of one request. The zero value belongs to a request that is not suspect. It is used by one
// goroutine, which calls Leave once.
type Admission struct {
	guard  *Guard
	mark   *mark
	target string
}

// Enter admits a request. When it is refused, refused is true. When wait is not nil, another request with the same
// fingerprint is being tried or the verdict is held; the caller waits for it, at most PollInterval, and enters again.
func (g *Guard) Admit(now time.Duration, f Fingerprint) (entry Admission, wait <-chan struct{}, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	if m != nil && now-m.last >= markLifetime && m.trial == nil {
		delete(g.marks, f)
		g.watch()
		m = nil
	}
	if g.underLook(now, f) >= refuseAfter {
		return Admission{}, g.never, false
	}
	switch {
	case m == nil || !m.suspect() && !m.enough():
		return Admission{}, nil, false
	case !g.unexplained(now, f, m):
	case now-m.enoughSince < holdTime:
		return Admission{}, g.never, false
	default:
		return Admission{}, nil, true
	}
	if m.trial != nil {
		return Admission{}, m.trial, false
	}
	m.trial = make(chan struct{})
	return Admission{guard: g, mark: m}, nil, false
}

// underLook counts the lost runs of a request for which it is being found out whether they ended their target.
func (g *Guard) underLook(now time.Duration, f Fingerprint) int {
	if g.lossesOf[f].looked < refuseAfter {
		return 0
	}
	count := 0
	for _, list := range g.losses {
		for _, l := range list {
			if l.fingerprint == f && now < l.verdictBy {
				count++
			}
		}
	}
	return count
}

// Suspects reports whether a request lost an answer by a broken connection or crashed a target lately, also if it was answered
// since.
func (g *Guard) HasCrashEvidence(f Fingerprint) bool {
	if !g.Active() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	return g.lossesOf[f].looked > 0 || m != nil && len(m.crashes) > 0
}

// Admits reports whether a request that was admitted earlier may still be sent. Crashes that became known meanwhile make it
// a suspect, which has to enter again, or refuse it.
func (g *Guard) StillAdmitted(now time.Duration, f Fingerprint, entry *Admission) bool {
	if !g.Active() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.marks[f]
	if m == nil || !m.suspect() && !m.enough() {
		return true
	}
	return entry.mark == m && entry.Suspect() && !g.unexplained(now, f, m)
}

// unexplained reports whether a request has enough crashes to be refused. A request is tried once more if another one
// was in flight at each of its crashes: instances that do not know of each other's suspects may run an innocent request
// beside the cause twice. A further crash beside no such request refuses it.
//
// Two requests with the same crashes explain each other. One that was answered before is tried at once, and the other
// one waits. If neither or both were, they wait for the hold, in which the crashes that other instances saw tell them
// apart: trying both at once ran the cause on a third target of one instance.
func (g *Guard) unexplained(now time.Duration, f Fingerprint, m *mark) bool {
	if !m.enough() {
		return false
	}
	if m.unanswered() >= refuseAlways || m.often() {
		return true
	}
	for other, o := range g.marks {
		if o == m || !o.enough() || !o.explains(m) {
			continue
		}
		if !m.explains(o) || g.triedFirst(now, f, other, m) {
			return false
		}
	}
	return true
}

// triedFirst reports whether a request is tried although another one has the same crashes.
func (g *Guard) triedFirst(now time.Duration, f, other Fingerprint, m *mark) bool {
	answered, otherAnswered := g.answered.has(f), g.answered.has(other)
	if answered != otherAnswered {
		return answered
	}
	return now-m.enoughSince >= holdTime
}

// Suspect reports whether the request is tried as a suspect.
func (e *Admission) Suspect() bool { return e.guard != nil }

// Place reserves a target for a suspect. It reports false when another suspect runs there.
func (e *Admission) ReserveTarget(target string) bool {
	g := e.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, taken := g.suspectsOn[target]; taken {
		return false
	}
	g.suspectsOn[target] = struct{}{}
	e.target = target
	return true
}

// Vacated returns a channel that is closed when a suspect next leaves a target.
func (g *Guard) TargetReleased() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.vacated
}

// Leave ends the trial and frees its target.
func (e *Admission) Release() {
	g := e.guard
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	close(e.mark.trial)
	e.mark.trial = nil
	e.guard = nil
	if e.target == "" {
		return
	}
	delete(g.suspectsOn, e.target)
	close(g.vacated)
	g.vacated = make(chan struct{})
}
