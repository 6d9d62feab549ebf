package crashguard

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxMarks bounds the marks, cleared ones included.
	maxMarks = 4096
	// markLifetime is how long a mark is kept after its last crash.
	markLifetime = 10 * time.Minute
	// lossLifetime is how long it may take until it is known that a target ended: several heartbeats of a silent target have
	// to be missing, and the store may be away meanwhile.
	lossLifetime = 30 * time.Second
	// refuseAfter is the number of crashes after which a request is refused. One crash may be a coincidence; two
	// without a complete answer in between are not.
	refuseAfter = 2
	// refuseAlways is the number of crashes that no other request explains. Suspects never share a target, so that an innocent
	// request is hardly beside the cause at a third crash.
	refuseAlways = 3
	// refuseInAll is the number of crashes, answered ones included, from which on a request is refused that is not answered
	// most of the time: one that ends every second target that runs it.
	refuseInAll = 3
	// mostly is how many complete answers to each crash show that a request is answered most of the time.
	mostly = 3
	// holdTime is how long requests wait before a new mark with enough crashes refuses them: the mark of the
	// cause, which explains the crashes of an innocent request, may still be on its way from another instance. It
	// exceeds the spread of a rumor over 20 instances of 1.4 s.
	holdTime = 2 * time.Second
	// maxCrashes bounds the crashes that are remembered for one mark. Instances that a mark has not reached yet add
	// their own.
	maxCrashes = 8
)

// crash identifies one crash: the end of one incarnation of a target. Several instances see the same crash, and
// it counts once, also when one of them has not seen the target's incarnation, which is 0 then.
type crash struct {
	target, incarnation uint32
	// answered is true when the request had a complete answer later.
	answered bool
	// at is when this instance learnt of the crash.
	at time.Duration
	// began and lost bound the run that this instance lost, and are 0 for a crash that another instance saw.
	began, lost time.Duration
}

// crashOf returns the crash that a run caused. A run that began after a crash of the same incarnation was known ran on one that
// started again under the same name.
func (m *mark) crashOf(l loss) crash {
	run := l.Attempt
	c := crash{target: hash(run.Target), answered: l.answered, began: run.SentAt, lost: l.at}
	if run.Incarnation == "" {
		return c
	}
	c.incarnation = hash(run.Incarnation)
	for again := 1; m.knewBefore(c, run.SentAt); again++ {
		c.incarnation = hash(fmt.Sprintf("%s again %d", run.Incarnation, again))
	}
	return c
}

// knewBefore reports whether a crash was known before a time.
func (m *mark) knewBefore(c crash, at time.Duration) bool {
	return slices.ContainsFunc(m.crashes, func(known crash) bool {
		return known.target == c.target && known.incarnation == c.incarnation && known.at < at
	})
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

func (c crash) same(other crash) bool {
	return c.target == other.target && (c.incarnation == other.incarnation || c.incarnation == 0 || other.incarnation == 0)
}

// overlaps reports whether two runs of this instance were under way at the same time. Copies of a request that are lost together
// say no more than one of them: targets may end together by another cause.
func (c crash) overlaps(other crash) bool {
	return c.began > 0 && other.began > 0 && c.began < other.lost && other.began < c.lost
}

// mark is what is known about one fingerprint.
type mark struct {
	// generation counts the complete answers that cleared the mark. A higher generation overrides a lower one.
	generation uint32
	// crashes holds the distinct crashes, at most maxCrashes.
	crashes []crash
	// answers is the number of complete answers since the first crash that this instance saw.
	answers int
	// last is when the last crash or complete answer was known first.
	last time.Duration
	// enoughSince is when the mark had enough crashes first.
	enoughSince time.Duration
	// trial is open while a suspect request of this fingerprint runs.
	trial chan struct{}
}

// unanswered is the number of crashes since the last complete answer.
func (m *mark) unanswered() int {
	count := 0
	for _, c := range m.crashes {
		if !c.answered {
			count++
		}
	}
	return count
}

func (m *mark) suspect() bool { return m.unanswered() > 0 }

// often reports whether the request crashed many targets and is not answered most of the time.
func (m *mark) often() bool {
	return len(m.crashes) >= refuseInAll && m.answers < mostly*len(m.crashes)
}

// enough reports whether the crashes are enough to refuse the request.
func (m *mark) enough() bool { return m.unanswered() >= refuseAfter || m.often() }

// explains reports whether the request of m was in flight at every crash of other since its last complete answer.
func (m *mark) explains(other *mark) bool {
	return !slices.ContainsFunc(other.crashes, func(c crash) bool { return !c.answered && !slices.ContainsFunc(m.crashes, c.same) })
}

// add adds a crash and reports whether it is news.
func (m *mark) add(now time.Duration, c crash) bool {
	if len(m.crashes) >= maxCrashes || slices.ContainsFunc(m.crashes, c.same) || slices.ContainsFunc(m.crashes, c.overlaps) {
		return false
	}
	before := m.enough()
	c.at = now
	m.crashes = append(m.crashes, c)
	if !before && m.enough() {
		m.enoughSince = now
	}
	return true
}

// clear notes a complete answer. Explained is true when another request was in flight at each of the crashes, so that they need
// not be remembered.
func (m *mark) clear(explained bool) {
	m.generation++
	if explained {
		m.dropUnanswered()
		return
	}
	for i := range m.crashes {
		m.crashes[i].answered = true
	}
}

func (m *mark) dropUnanswered() {
	m.crashes = slices.DeleteFunc(m.crashes, func(c crash) bool { return !c.answered })
}

// merge takes over what a peer knows and reports whether it is news. The order of merges does not matter, except
// for which crashes beyond maxCrashes are named.
func (m *mark) merge(now time.Duration, remote *mark) bool {
	news := remote.generation > m.generation
	if news {
		m.generation = remote.generation
		m.dropUnanswered()
	}
	for _, c := range remote.crashes {
		if c.answered || remote.generation == m.generation {
			news = m.take(now, c) || news
		}
	}
	if news {
		m.last = max(m.last, remote.last)
	}
	return news
}

// take adds a crash that a peer told, or notes that one was answered. It reports whether that is news.
func (m *mark) take(now time.Duration, c crash) bool {
	if m.add(now, c) {
		return true
	}
	i := slices.IndexFunc(m.crashes, c.same)
	if i < 0 || !c.answered || m.crashes[i].answered {
		return false
	}
	m.crashes[i].answered = true
	return true
}

// answeredShift is where the bits of the answered crashes begin in the number that holds the generation. Earlier versions read
// its lower 32 bits only.
const answeredShift = 32

// encode returns the mark for a rumor: generation and answered crashes, age in milliseconds and crashes.
func (m *mark) encode(now time.Duration) []byte {
	first := uint64(m.generation)
	for i, c := range m.crashes {
		if c.answered {
			first |= 1 << (answeredShift + i)
		}
	}
	data := binary.AppendUvarint(nil, first)
	data = binary.AppendUvarint(data, uint64((now - m.last).Milliseconds()))
	for _, c := range m.crashes {
		data = binary.BigEndian.AppendUint32(data, c.target)
		data = binary.BigEndian.AppendUint32(data, c.incarnation)
	}
	return data
}

func decodeMark(now time.Duration, data []byte) (*mark, error) {
	first, n := binary.Uvarint(data)
	if n <= 0 {
		return nil, &FormatError{Text: string(data)}
	}
	data = data[n:]
	age, n := binary.Uvarint(data)
	if n <= 0 || len(data[n:])%8 != 0 || len(data[n:]) > 8*maxCrashes || age > uint64(markLifetime.Milliseconds()) {
		return nil, &FormatError{Text: string(data)}
	}
	m := &mark{generation: uint32(first), last: now - time.Duration(age)*time.Millisecond}
	answered := first >> answeredShift
	for data = data[n:]; len(data) > 0; data = data[8:] {
		c := crash{target: binary.BigEndian.Uint32(data), incarnation: binary.BigEndian.Uint32(data[4:]), answered: answered&1 != 0}
		answered >>= 1
		m.add(now, c)
	}
	return m, nil
}
