package targetmodel

import "time"

// eventKind is the kind of an event.
type eventKind uint8

const (
	// eventRequestArrival is the arrival of a new request. It has no subject.
	eventRequestArrival eventKind = iota
	// eventTargetArrival is the arrival of an attempt at its target. The subject is the attempt.
	eventTargetArrival
	// eventCompletion is the completion of an attempt by its target. The subject is the attempt, the argument its
	// completionVersion.
	eventCompletion
	// eventResult is the arrival of the result of an attempt at the instance. The subject is the attempt.
	eventResult
	// eventProbeReport is the arrival of the answer to a load probe at the instance. The subject is the index of the
	// instance times the number of targets, plus the index of the target. The argument is an index into
	// Model.probeReports.
	eventProbeReport
	// eventHedge is the time at which a request is hedged unless it has been answered. The subject is the request.
	eventHedge
	// eventSpeedChange is a possible change of the speed of a target. The subject is the target, the argument the cause.
	eventSpeedChange
	// eventCancel is the arrival of the cancellation of an attempt at its target. The subject is the attempt.
	eventCancel
	// eventConfigChange is a change of the targets in the configuration. It has no subject.
	eventConfigChange
)

// event is one entry of the schedule. The meaning of subject and argument depends on the kind.
type event struct {
	at       time.Duration
	sequence uint64
	kind     eventKind
	subject  int
	argument int
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// schedule is a priority queue of events, a binary heap. Events at the same time run in the order in which they were
// added, so that a run is deterministic.
type schedule struct {
	events   []event
	sequence uint64
}

func (s *schedule) add(e event) {
	s.sequence++
	e.sequence = s.sequence
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

func (s *schedule) pop() (event, bool) {
	if len(s.events) == 0 {
		return event{}, false
	}
	first := s.events[0]
	last := len(s.events) - 1
	s.events[0] = s.events[last]
	s.events = s.events[:last]
	s.siftDown()
	return first, true
}

// siftDown moves the first event down to restore the heap.
func (s *schedule) siftDown() {
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
