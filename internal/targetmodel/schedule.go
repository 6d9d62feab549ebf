package targetmodel

import "time"

// eventKind says what happens at an event.
type eventKind uint8

const (
	requestArrives eventKind = iota
	copyReachesTarget
	copyEnds
	resultReachesInstance
	probeReachesInstance
	hedgeIsDue
	speedChanges
	copyIsCancelled
	configurationChanges
)

// event is one entry of the schedule. The meaning of subject and version depends on the kind.
type event struct {
	at      time.Duration
	order   uint64
	kind    eventKind
	subject int
	version int
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// schedule is a binary heap of events. Events of the same instant run in the order in which they were added,
// so that a seed replays exactly.
type schedule struct {
	events []event
	added  uint64
}

func (s *schedule) add(e event) {
	s.added++
	e.order = s.added
	s.events = append(s.events, e)
	i := len(s.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !s.events[i].before(s.events[parent]) {
			break
		}
		s.events[i], s.events[parent] = s.events[parent], s.events[i]
		i = parent
	}
}

func (s *schedule) next() (event, bool) {
	if len(s.events) == 0 {
		return event{}, false
	}
	first := s.events[0]
	last := len(s.events) - 1
	s.events[0] = s.events[last]
	s.events = s.events[:last]
	s.sink()
	return first, true
}

func (s *schedule) sink() {
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.events); child++ {
			if s.events[child].before(s.events[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		s.events[i], s.events[least] = s.events[least], s.events[i]
		i = least
	}
}
