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
	// refuseInAll is the number of crashes, answered ones included, from which on a single further crash refuses a request
	// that is not answered most of the time: one that ends every second target that runs it.
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
	// at is when this instance learnt of the crash.
	at time.Duration
}

// crashOf returns the crash that a run caused. A run that began after a crash of the same incarnation was known ran on one that
// started again under the same name.
func (m *mark) crashOf(run Run) crash {
	c := crash{target: hash(run.Target)}
	if run.Incarnation == "" {
		return c
	}
	c.incarnation = hash(run.Incarnation)
	for again := 1; m.knewBefore(c, run.Began); again++ {
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

// mark is what is known about one fingerprint.
type mark struct {
	// generation counts the complete answers that cleared the mark. A higher generation overrides a lower one.
	generation uint32
	// crashes holds the distinct crashes since the last complete answer, at most maxCrashes.
	crashes []crash
	// past is the number of crashes before the last complete answer that no other request explains, and answers the
	// number of complete answers since the first crash that this instance saw.
	past, answers int
	// last is when the last crash or complete answer was known first.
	last time.Duration
	// enoughSince is when the mark had enough crashes first.
	enoughSince time.Duration
	// trial is open while a suspect request of this fingerprint runs.
	trial chan struct{}
}

func (m *mark) suspect() bool { return len(m.crashes) > 0 }

// enough reports whether the crashes are enough to refuse the request.
func (m *mark) enough() bool {
	inAll := m.past + len(m.crashes)
	return len(m.crashes) >= refuseAfter || m.suspect() && inAll >= refuseInAll && m.answers < mostly*inAll
}

// explains reports whether the request of m was in flight at every crash of other.
func (m *mark) explains(other *mark) bool {
	return !slices.ContainsFunc(other.crashes, func(c crash) bool { return !slices.ContainsFunc(m.crashes, c.same) })
}

// add adds a crash and reports whether it is news.
func (m *mark) add(now time.Duration, c crash) bool {
	if len(m.crashes) >= maxCrashes || slices.ContainsFunc(m.crashes, c.same) {
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

// clear notes a complete answer. Explained is true when another request was in flight at each of the crashes.
func (m *mark) clear(explained bool) {
	m.generation++
	if !explained {
		m.past += len(m.crashes)
	}
	m.crashes = nil
}

// merge takes over what a peer knows and reports whether it is news. The order of merges does not matter, except
// for which crashes beyond maxCrashes are named.
func (m *mark) merge(now time.Duration, remote *mark) bool {
	if remote.generation < m.generation {
		return false
	}
	m.past = max(m.past, remote.past)
	news := remote.generation > m.generation
	if news {
		m.generation = remote.generation
		m.crashes = nil
	}
	for _, c := range remote.crashes {
		news = m.add(now, c) || news
	}
	if news {
		m.last = max(m.last, remote.last)
	}
	return news
}

// pastShift is where the past crashes begin in the number that holds the generation. Earlier versions read the lower 32 bits.
const pastShift = 32

// encode returns the mark for a rumor: generation and past crashes, age in milliseconds and crashes.
func (m *mark) encode(now time.Duration) []byte {
	data := binary.AppendUvarint(nil, uint64(m.generation)|uint64(m.past)<<pastShift)
	data = binary.AppendUvarint(data, uint64((now - m.last).Milliseconds()))
	for _, c := range m.crashes {
		data = binary.BigEndian.AppendUint32(data, c.target)
		data = binary.BigEndian.AppendUint32(data, c.incarnation)
	}
	return data
}

func decodeMark(now time.Duration, data []byte) (*mark, error) {
	generation, n := binary.Uvarint(data)
	if n <= 0 {
		return nil, &FormatError{Text: string(data)}
	}
	data = data[n:]
	age, n := binary.Uvarint(data)
	if n <= 0 || len(data[n:])%8 != 0 || len(data[n:]) > 8*maxCrashes || age > uint64(markLifetime.Milliseconds()) {
		return nil, &FormatError{Text: string(data)}
	}
	m := &mark{generation: uint32(generation), past: int(generation >> pastShift), last: now - time.Duration(age)*time.Millisecond}
	for data = data[n:]; len(data) > 0; data = data[8:] {
		m.add(now, crash{target: binary.BigEndian.Uint32(data), incarnation: binary.BigEndian.Uint32(data[4:])})
	}
	return m, nil
}
