package crashguard

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxMarks limits the number of marks, including cleared ones, and the number of pending losses.
	maxMarks = 4096
	// markLifetime is how long a mark is kept after its last crash, the last complete answer that cleared it, or the last time
	// that it refused its request.
	markLifetime = 10 * time.Minute
	// lossLifetime is how long a loss stays pending. It takes several missed heartbeats until a target counts as
	// terminated, and the store may be unavailable meanwhile.
	lossLifetime = 30 * time.Second
	// unansweredLimit is the number of crashes without a complete answer in between after which a request is refused,
	// unless another request explains them. One crash may be a coincidence; two are not.
	unansweredLimit = 2
	// unansweredHardLimit is the number of crashes without a complete answer in between after which a request is refused
	// in any case. Suspects never share a target, so an innocent request is unlikely to be in flight together with the
	// cause at a third crash.
	unansweredHardLimit = 3
	// totalLimit is the number of crashes, including those followed by a complete answer, from which on a request is
	// refused unless it is answered most of the time. It stops a request that crashes every second target that runs it.
	totalLimit = 3
	// answersPerCrash is the number of complete answers per crash from which on a request counts as answered most of the
	// time.
	answersPerCrash = 3
	// maxPriorAnswers limits the answers before the first crash that count. They outweigh totalLimit crashes, so that a
	// request that begins to crash targets now and then is refused after a few more.
	maxPriorAnswers = answersPerCrash * totalLimit
	// maxAnswers limits the counted answers to what a mark can need.
	maxAnswers = answersPerCrash * maxCrashes
	// refusalDelay is how long requests wait before a new mark with enough crashes refuses them, because the mark of the
	// cause, which explains the crashes of an innocent request, may still be on its way from another instance. The delay
	// exceeds the 1.4 s that a rumor takes to reach 20 instances.
	refusalDelay = 2 * time.Second
	// trialJitter is the largest part of a trial's delay by which an instance tries later, so that the first one has told the
	// others before their delays end.
	trialJitter = 0.5
	// simultaneousWithin is the longest time between two crashes that count as simultaneous. Few requests run for less, so
	// that the second one is not the effect of a retry.
	simultaneousWithin = 100 * time.Millisecond
	// maxCrashes limits the number of crashes in one mark. There can be more crashes than the limits above, because
	// instances that have not received the mark yet add their own.
	maxCrashes = 8
)

// trialDelays are the times after which a copy of a refused request is sent to see whether it still crashes targets: the first
// since the refusal began, the others since the trial before. A request that crashed targets in all of them is refused for as long
// as it arrives. The users allow three sends after the third crash, so there are two trials, and room for one more that another
// instance begins before it learns of them.
var trialDelays = [...]time.Duration{time.Minute, 10 * time.Minute}

// crash identifies the termination of one incarnation of a target. Several instances may observe the same crash; it counts
// once, even if some of them do not know the incarnation.
type crash struct {
	// target and incarnation are hashes of their names. Incarnation is 0 if unknown.
	target, incarnation uint32
	// answered is true if the request received a complete answer after the crash.
	answered bool
	// simultaneous is true if other targets that ran the request crashed just before, without an answer in between. Targets that
	// terminate together for another reason count once in the total number of crashes.
	simultaneous bool
	// learnedAt is when this instance learned of the crash. Generation and answersHere are those of the mark at that time.
	learnedAt   time.Duration
	generation  uint32
	answersHere uint32
	// sentAt and lostAt are the start and end of the attempt that crashed the target. They are 0 if another instance sent
	// it.
	sentAt, lostAt time.Duration
}

// crashFor returns the crash that corresponds to a loss. If a crash of the same incarnation was already known when the
// request was sent, the target has been restarted under the same name, and the crash gets a distinct incarnation.
func (m *mark) crashFor(l loss) crash {
	attempt := l.Attempt
	c := crash{target: hash32(attempt.Target), answered: l.answered, sentAt: attempt.SentAt, lostAt: l.lostAt}
	if attempt.Incarnation == "" {
		return c
	}
	c.incarnation = hash32(attempt.Incarnation)
	for restart := 1; m.knownBefore(c, attempt.SentAt); restart++ {
		c.incarnation = hash32(fmt.Sprintf("%s again %d", attempt.Incarnation, restart))
	}
	return c
}

// knownBefore reports whether this instance knew a crash of the same incarnation before the given time.
func (m *mark) knownBefore(c crash, at time.Duration) bool {
	return slices.ContainsFunc(m.crashes, func(known crash) bool {
		return known.target == c.target && known.incarnation == c.incarnation && known.learnedAt < at
	})
}

func hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// matches reports whether two crashes are the same one. An unknown incarnation matches any incarnation of the target.
func (c crash) matches(other crash) bool {
	return c.target == other.target && (c.incarnation == other.incarnation || c.incarnation == 0 || other.incarnation == 0)
}

// overlaps reports whether this instance had both attempts in flight at the same time. Copies of a request that are lost
// together count as one, because targets may terminate together for another reason.
func (c crash) overlaps(other crash) bool {
	return c.sentAt > 0 && other.sentAt > 0 && c.sentAt < other.lostAt && other.sentAt < c.lostAt
}

// mark holds the crashes of one fingerprint. It is guarded by Guard.mu.
type mark struct {
	// ofCaller is true for the requests of one caller. They are refused after unansweredHardLimit crashes, and copies of them do
	// not run one at a time.
	ofCaller bool
	// generation counts the complete answers that cleared the mark. A higher generation overrides a lower one.
	generation uint32
	// crashes holds the distinct crashes, at most maxCrashes.
	crashes []crash
	// answers counts the complete answers since the first crash, and some before it.
	answers answerCounts
	// updatedAt is when an instance first learned of the last crash or of the last complete answer that cleared the mark, or when
	// this instance refused the request for the last time.
	updatedAt time.Duration
	// refusableSince is when the mark first had enough crashes to refuse the request.
	refusableSince time.Duration
	// trials is the number of trials since the last complete answer that cleared the mark, on any instance, and trialAt is when
	// this instance learned of the last one.
	trials  int
	trialAt time.Duration
	// probation is closed when the suspect request that is running ends. It is nil while none is running.
	probation chan struct{}
}

// unansweredCrashes returns the number of crashes since the last complete answer.
func (m *mark) unansweredCrashes() int {
	count := 0
	for _, c := range m.crashes {
		if !c.answered {
			count++
		}
	}
	return count
}

// suspect reports whether there was a crash since the last complete answer. Copies of a suspect run one at a time.
func (m *mark) suspect() bool { return m.unansweredCrashes() > 0 }

// toleratedCrashes returns the number of crashes since the last complete answer that do not count towards a refusal. A request
// that was answered lately is probably innocent, and one that many callers send is in flight whenever a target crashes.
func (m *mark) toleratedCrashes() int { return min(m.answers.total(), 1) }

// refusable reports whether there are enough crashes to refuse the request, unless other requests explain them.
func (m *mark) refusable() bool {
	if m.ofCaller {
		return m.unansweredCrashes() >= unansweredHardLimit
	}
	return m.unansweredCrashes() >= unansweredLimit+m.toleratedCrashes() || m.crashesOften()
}

// crashesOften reports whether the request crashed targets at least totalLimit times and is not answered most of the time.
func (m *mark) crashesOften() bool {
	count := 0
	for _, c := range m.crashes {
		if !c.simultaneous {
			count++
		}
	}
	return count >= totalLimit && m.answers.total() < answersPerCrash*count
}

// lessImportantThan reports whether a mark is to be removed rather than the other one.
func (m *mark) lessImportantThan(other *mark) bool {
	if m.refusable() != other.refusable() {
		return other.refusable()
	}
	return m.updatedAt < other.updatedAt
}

// mostlyAnswered reports whether the request has enough answers for all its crashes, and was answered last.
func (m *mark) mostlyAnswered() bool {
	return !m.suspect() && m.answers.total() >= answersPerCrash*len(m.crashes)
}

// explains reports whether the request of m was in flight at every crash of other since the last complete answer to other.
func (m *mark) explains(other *mark) bool {
	return !slices.ContainsFunc(other.crashes, func(c crash) bool { return !c.answered && !slices.ContainsFunc(m.crashes, c.matches) })
}

// addCrash adds a crash and reports whether it was added. Known crashes, those that overlap a known one and those beyond
// maxCrashes are not, unless there is an answered crash that an unanswered one can replace.
func (m *mark) addCrash(now time.Duration, c crash) bool {
	if slices.ContainsFunc(m.crashes, c.matches) || slices.ContainsFunc(m.crashes, c.overlaps) || !m.makeRoom(c) {
		return false
	}
	wasRefusable := m.refusable()
	c.learnedAt, c.generation, c.answersHere = now, m.generation, m.answers.here
	m.crashes = append(m.crashes, c)
	if !wasRefusable && m.refusable() {
		m.refusableSince = now
	}
	return true
}

// makeRoom reports whether a crash can be added. If there are maxCrashes crashes, it removes the first answered one for a crash that
// is not answered.
func (m *mark) makeRoom(c crash) bool {
	if len(m.crashes) < maxCrashes {
		return true
	}
	i := slices.IndexFunc(m.crashes, func(known crash) bool { return known.answered })
	if c.answered || i < 0 {
		return false
	}
	m.crashes = slices.Delete(m.crashes, i, i+1)
	return true
}

// joinsEarlier reports whether a crash that becomes known now belongs to one that became known just before, without an answer in
// between.
func (m *mark) joinsEarlier(now time.Duration) bool {
	return slices.ContainsFunc(m.crashes, func(c crash) bool {
		return !c.simultaneous && now-c.learnedAt < simultaneousWithin && c.generation == m.generation && c.answersHere == m.answers.here
	})
}

// clear records a complete answer. If explained is true, another request was in flight at each of the unanswered crashes,
// so they are dropped.
func (m *mark) clear(explained bool) {
	m.generation++
	m.trials = 0
	if explained {
		m.dropUnanswered()
		return
	}
	for i := range m.crashes {
		m.crashes[i].answered = true
	}
}

// dropUnanswered removes the crashes since the last complete answer.
func (m *mark) dropUnanswered() {
	m.crashes = slices.DeleteFunc(m.crashes, func(c crash) bool { return !c.answered })
}

// merge merges the mark of a peer into m and reports whether that changed m. The order of merges does not matter, except
// for which crashes are kept when there are more than maxCrashes. Self is the number of this instance.
func (m *mark) merge(now time.Duration, self uint32, remote *mark) bool {
	wasRefusable := m.refusable()
	// More answers are only news while there are too few.
	moreAnswers := m.answers.merge(self, &remote.answers) && wasRefusable
	joins := m.joinsEarlier(now)
	changed := remote.generation > m.generation
	if changed {
		// The answered crashes came before the answer that began the new generation.
		m.mergeCrashes(now, remote, joins, func(c crash) bool { return c.answered })
		m.generation = remote.generation
		m.trials = 0
		m.dropUnanswered()
	}
	if remote.generation == m.generation && remote.trials > m.trials {
		m.trials, m.trialAt, changed = remote.trials, now, true
	}
	added := m.mergeCrashes(now, remote, joins, func(c crash) bool { return c.answered || remote.generation == m.generation })
	changed = changed || added || moreAnswers
	if changed {
		m.updatedAt = max(m.updatedAt, remote.updatedAt)
	}
	return changed
}

// mergeCrashes merges the crashes of a peer's mark for which include returns true, and reports whether m changed. Joins is true
// if they belong to one that became known just before.
func (m *mark) mergeCrashes(now time.Duration, remote *mark, joins bool, include func(crash) bool) (changed bool) {
	for _, c := range remote.crashes {
		if !include(c) {
			continue
		}
		c.simultaneous = c.simultaneous || joins
		changed = m.mergeCrash(now, c) || changed
	}
	return changed
}

// mergeCrash adds a crash that a peer reported, or records that a known crash was answered. It reports whether the mark
// changed.
func (m *mark) mergeCrash(now time.Duration, c crash) bool {
	if m.addCrash(now, c) {
		return true
	}
	i := slices.IndexFunc(m.crashes, c.matches)
	if i < 0 || !c.answered || m.crashes[i].answered {
		return false
	}
	m.crashes[i].answered = true
	return true
}
