package crashguard

import (
	"encoding/binary"
	"time"
)

// Positions in the encoded number whose lower 32 bits are the generation: the bits for answered crashes, the number of answers
// before the first crash, the bits for simultaneous crashes, the number of trials, and the number of crashes. Earlier versions read
// the generation, or it and the answered crashes, only.
const (
	answeredShift     = 32
	priorShift        = answeredShift + maxCrashes
	simultaneousShift = priorShift + 8
	trialsShift       = simultaneousShift + maxCrashes
	crashCountShift   = trialsShift + 4
)

// encode returns the mark for a rumor: the numbers and bits above as one uvarint, the age in milliseconds as a uvarint, the target
// and incarnation of each crash, and the number and answers of each answerSource, as big-endian 32-bit numbers. Self is the number
// of this instance.
func (m *mark) encode(now time.Duration, self uint32) []byte {
	first := uint64(m.generation) | uint64(m.answers.prior)<<priorShift | uint64(m.trials)<<trialsShift | uint64(len(m.crashes))<<crashCountShift
	for i, c := range m.crashes {
		if c.answered {
			first |= 1 << (answeredShift + i)
		}
		if c.simultaneous {
			first |= 1 << (simultaneousShift + i)
		}
	}
	data := binary.AppendUvarint(nil, first)
	data = binary.AppendUvarint(data, uint64(max(now-m.updatedAt, 0).Milliseconds()))
	for _, c := range m.crashes {
		data = binary.BigEndian.AppendUint32(data, c.target)
		data = binary.BigEndian.AppendUint32(data, c.incarnation)
	}
	return m.answers.appendTo(data, self)
}

// decodeMark decodes the result of encode. The error is a *FormatError.
func decodeMark(now time.Duration, data []byte) (*mark, error) {
	malformed := &FormatError{Text: string(data)}
	first, n := binary.Uvarint(data)
	if n <= 0 {
		return nil, malformed
	}
	data = data[n:]
	age, n := binary.Uvarint(data)
	if n <= 0 || age > uint64(markLifetime.Milliseconds()) {
		return nil, malformed
	}
	data = data[n:]
	count := int(first >> crashCountShift)
	if len(data)%8 != 0 || count > maxCrashes || len(data) < 8*count || len(data) > 8*(count+maxAnswerSources) {
		return nil, malformed
	}
	m := &mark{generation: uint32(first), updatedAt: now - time.Duration(age)*time.Millisecond}
	m.trials = min(int(first>>trialsShift&0xf), len(trialDelays))
	m.answers.prior = min(int(first>>priorShift&0xff), maxPriorAnswers)
	for i := range count {
		m.addCrash(now, crash{
			target: binary.BigEndian.Uint32(data[8*i:]), incarnation: binary.BigEndian.Uint32(data[8*i+4:]),
			answered: first>>(answeredShift+i)&1 != 0, simultaneous: first>>(simultaneousShift+i)&1 != 0,
		})
	}
	for data = data[8*count:]; len(data) > 0; data = data[8:] {
		answers := min(binary.BigEndian.Uint32(data[4:]), maxAnswers)
		m.answers.sources = append(m.answers.sources, answerSource{binary.BigEndian.Uint32(data), answers})
	}
	return m, nil
}

// appendTo appends the sources, including this instance, to an encoded mark.
func (a *answerCounts) appendTo(data []byte, self uint32) []byte {
	for _, s := range a.withSelf(self) {
		data = binary.BigEndian.AppendUint32(data, s.instance)
		data = binary.BigEndian.AppendUint32(data, s.answers)
	}
	return data
}
