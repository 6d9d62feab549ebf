package transport

import "time"

// proofSlack is how much younger a connection may be than another one to count as opened through the same path. The
// spare connection is opened just after the first one.
const proofSlack = 100 * time.Millisecond

// pending describes an exchange that waits for bytes.
type pending struct {
	// number is the exchange of the connection.
	number uint64
	// opened is when its connection was opened, proof when that connection was last known to be alive, and began when
	// the exchange began.
	opened, proof, began time.Time
}

// pathState is what checks found out about the connections to one address. It is not safe for concurrent use.
type pathState struct {
	// aliveAt is when a connection last answered a check, and aliveOpened when that connection was opened.
	aliveAt, aliveOpened time.Time
	// brokenAt is when connections were last found silent, and brokenThrough when the youngest of them was opened.
	brokenAt, brokenThrough time.Time
}

func (s *pathState) noteAlive(opened, now time.Time) { s.aliveAt, s.aliveOpened = now, opened }

func (s *pathState) noteBroken(opened, now time.Time) {
	s.brokenAt = now
	if opened.After(s.brokenThrough) {
		s.brokenThrough = opened
	}
}

// alive reports whether a connection of the path of e answered a check lately. A connection that was opened after the
// last sign of life of e may use a path that was repaired meanwhile, and proves nothing.
func (s *pathState) alive(e pending, now time.Time, valid time.Duration) bool {
	samePath := !s.aliveOpened.After(e.proof.Add(proofSlack))
	return samePath && s.aliveAt.After(e.began) && now.Sub(s.aliveAt) < valid
}

// broken reports whether connections as old as that of e were found silent while e was waiting, and none of their age
// has answered since.
func (s *pathState) broken(e pending) bool {
	asOld := !e.opened.After(s.brokenThrough)
	waiting := e.began.Before(s.brokenAt)
	contradicted := s.aliveAt.After(s.brokenAt) && !s.aliveOpened.After(s.brokenThrough)
	return asOld && waiting && !contradicted
}

// mayWitness reports whether an idle connection can tell whether the path of e works: it is about as old, and has not
// answered since e began.
func mayWitness(opened, lastUsed time.Time, e pending) bool {
	return !opened.After(e.began.Add(proofSlack)) && !lastUsed.After(e.began.Add(proofSlack))
}
