package transport

import "time"

// proofSlack is how much younger than an exchange a connection may be to be compared with it. The spare connection is
// opened just after the first one.
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
	// brokenAt is when connections were last found silent, and brokenOpened when the youngest of them was opened.
	// Connections opened through brokenThrough existed when the silence began to show.
	brokenAt, brokenOpened, brokenThrough time.Time
}

func (s *pathState) noteAlive(opened, now time.Time) { s.aliveAt, s.aliveOpened = now, opened }

// noteBroken records that a connection was found silent which began to wait at since.
func (s *pathState) noteBroken(opened, since, now time.Time) {
	s.brokenAt = now
	s.brokenOpened = later(s.brokenOpened, opened)
	s.brokenThrough = later(s.brokenThrough, since)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// alive reports whether a connection of the path of e answered a check lately. A connection that was opened after the
// last sign of life of e may use a path that was repaired meanwhile, and proves nothing.
func (s *pathState) alive(e pending, now time.Time, valid time.Duration) bool {
	return !s.aliveOpened.After(e.proof) && s.aliveAt.After(e.began) && now.Sub(s.aliveAt) < valid
}

// broken reports whether connections of the time of that of e were found silent while e was waiting, and none that is
// as old as they are has answered since.
func (s *pathState) broken(e pending) bool {
	existed := !e.opened.After(s.brokenThrough)
	waiting := e.began.Before(s.brokenAt)
	contradicted := s.aliveAt.After(s.brokenAt) && !s.aliveOpened.After(s.brokenOpened)
	return existed && waiting && !contradicted
}

// mayWitness reports whether an idle connection can tell whether the path of e works: it is about as old, and has not
// answered since e began.
func mayWitness(opened, lastUsed time.Time, e pending) bool {
	return !opened.After(e.began.Add(proofSlack)) && !lastUsed.After(e.began.Add(proofSlack))
}
