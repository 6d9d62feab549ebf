package transport

import (
	"testing"
	"time"
)

// Guards against findings about one path that are taken for findings about another one. Times are in milliseconds.
func TestPathState(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	e := pending{opened: at(0), proof: at(1000), began: at(2000)}
	cases := []struct {
		name          string
		note          func(s *pathState)
		alive, broken bool
	}{
		{"nothing known", func(*pathState) {}, false, false},
		{"old connection answered", func(s *pathState) { s.noteAlive(at(500), at(3000)) }, true, false},
		{"younger connection answered", func(s *pathState) { s.noteAlive(at(1500), at(3000)) }, false, false},
		{"old connection answered too long ago", func(s *pathState) { s.noteAlive(at(500), at(2100)) }, false, false},
		{"old connection answered before the request", func(s *pathState) { s.noteAlive(at(500), at(1900)) }, false, false},
		{"as old was silent", func(s *pathState) { s.noteBroken(at(0), at(1500), at(3000)) }, false, true},
		{"older was silent", func(s *pathState) { s.noteBroken(at(-500), at(1500), at(3000)) }, false, true},
		{"silent before the connection was opened", func(s *pathState) { s.noteBroken(at(-500), at(-100), at(3000)) }, false, false},
		{"silent before the request began", func(s *pathState) { s.noteBroken(at(0), at(1500), at(1900)) }, false, false},
		{"silent, then a younger one answered", func(s *pathState) {
			s.noteBroken(at(0), at(1500), at(2900))
			s.noteAlive(at(1200), at(3000))
		}, false, true},
		{"silent, then another answered", func(s *pathState) {
			s.noteBroken(at(500), at(1500), at(2900))
			s.noteAlive(at(400), at(3000))
		}, true, false},
	}
	for _, c := range cases {
		var s pathState
		c.note(&s)
		if got := s.alive(e, at(3200), time.Second); got != c.alive {
			t.Errorf("%s: alive %v", c.name, got)
		}
		if got := s.broken(e); got != c.broken {
			t.Errorf("%s: broken %v", c.name, got)
		}
	}
}
