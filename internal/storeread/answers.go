package storeread

import (
	"time"

	"github.com/basillink/basillink/internal/clock"
)

// AnswerID identifies an answer of the store to a read of a topic. Reader is the hash of the incarnation of the instance
// that read, and Number counts its answers. Reader is 0 if the sender of the id is of an earlier version.
type AnswerID struct {
	_              struct{} `cbor:",toarray"`
	Reader, Number uint32
}

// answerTimes holds when this instance first heard of the latest answer to each reader. Instances tell each other the ages
// of answers, and each message adds the time that it took. An answer that is heard of again therefore keeps its first time:
// it would otherwise seem newer with each repetition.
type answerTimes map[uint32]answerTime

type answerTime struct {
	number uint32
	at     time.Time
}

const (
	// maxAnswerTimes is the number of readers from which on those are forgotten that did not read for answerTimeTTL. Few
	// instances read.
	maxAnswerTimes = 64
	answerTimeTTL  = time.Minute
)

// date returns the time of an answer, which is at, or earlier if this instance heard of it earlier.
func (t answerTimes) date(id AnswerID, at time.Time) time.Time {
	if id.Reader == 0 {
		return at
	}
	known, heard := t[id.Reader]
	if heard && id.Number <= known.number {
		return clock.Earlier(at, known.at)
	}
	if len(t) >= maxAnswerTimes {
		t.forget(at.Add(-answerTimeTTL))
	}
	t[id.Reader] = answerTime{id.Number, at}
	return at
}

// forget removes the readers whose latest answer is from before a time.
func (t answerTimes) forget(before time.Time) {
	for reader, latest := range t {
		if latest.at.Before(before) {
			delete(t, reader)
		}
	}
}

// backdate moves the times back by the length of a suspension.
func (t answerTimes) backdate(by time.Duration) {
	for reader, latest := range t {
		t[reader] = answerTime{latest.number, latest.at.Add(-by)}
	}
}
