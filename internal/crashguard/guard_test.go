package crashguard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// session replays commands on the guards of two instances. Rumors wait until they are delivered.
type session struct {
	now     time.Duration
	guards  map[string]*Guard
	rumors  []rumor
	entries map[string]*Admission
}

type rumor struct {
	from string
	f    Fingerprint
	data []byte
}

func newSession() *session {
	s := &session{guards: map[string]*Guard{}, entries: map[string]*Admission{}}
	for _, name := range []string{"a", "b"} {
		s.guards[name] = New(func(f Fingerprint, data []byte) { s.rumors = append(s.rumors, rumor{name, f, data}) })
	}
	return s
}

// run executes one line: a time, or an instance, a verb and its arguments.
func (s *session) run(line string) string {
	word := strings.Fields(line)
	if line == "" {
		return ""
	}
	if after, ok := strings.CutPrefix(line, "after "); ok {
		d, _ := time.ParseDuration(after)
		s.now += d
		return ""
	}
	if line == "lose" {
		s.rumors = nil
		return ""
	}
	if line == "deliver" || line == "pull" {
		return s.deliver(line == "pull")
	}
	g, verb, argument := s.guards[word[0]], word[1], append(word[2:], "", "")
	f := FingerprintOf("s", "POST", "/"+argument[0], nil)
	switch verb {
	case "enter":
		entry, wait, refused := g.Admit(s.now, f)
		if entry.Suspect() {
			s.entries[word[0]+argument[0]] = &entry
		}
		return fmt.Sprintf("suspect=%v waits=%v refused=%v\n", entry.Suspect(), wait != nil, refused)
	case "place":
		return fmt.Sprintln(s.entries[word[0]+argument[0]].ReserveTarget(argument[1]))
	case "leave":
		s.entries[word[0]+argument[0]].Release()
	case "lost":
		target, incarnation, _ := strings.Cut(argument[1], "/")
		g.ConnectionLost(s.now, f, Attempt{Target: target, Incarnation: incarnation}, 0)
	case "refused":
		g.TargetTerminated(s.now, argument[0], 0)
	case "seen":
		g.IncarnationSeen(s.now, argument[0], argument[1])
	case "answered":
		g.Answered(s.now, f)
	case "watching":
		return fmt.Sprintln(g.Active())
	}
	return ""
}

// deliver passes the waiting rumors on, or all marks in a pull, and reports whether the digests agree afterwards.
func (s *session) deliver(pull bool) string {
	news := 0
	for name, g := range s.guards {
		if pull {
			g.ForEachMark(s.now, func(f Fingerprint, data []byte, _ bool) { s.rumors = append(s.rumors, rumor{name, f, data}) })
		}
	}
	for _, r := range s.rumors {
		to := "a"
		if r.from == "a" {
			to = "b"
		}
		if isNews, err := s.guards[to].Receive(s.now, r.f, r.data); err == nil && isNews {
			news++
		}
	}
	s.rumors = nil
	agree := s.guards["a"].Digest(s.now) == s.guards["b"].Digest(s.now)
	return fmt.Sprintf("%d news, agree=%v\n", news, agree)
}

// Guards against blaming an innocent request, against a third crash, and against marks that never end.
func TestSession(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				line = strings.TrimSpace(line)
				if result := s.run(line); result != "" {
					fmt.Fprintf(&out, "%s: %s", line, result)
				}
			}
			return out.String()
		})
	})
}

// Guards against unbounded memory and against peers whose rumors cannot be decoded.
func TestBounds(t *testing.T) {
	g := New(nil)
	for i := range 2 * maxMarks {
		f := FingerprintOf("s", "GET", fmt.Sprint(i), nil)
		g.ConnectionLost(time.Duration(i), f, Attempt{Target: fmt.Sprint(i), Incarnation: "x"}, 0)
		if i < maxMarks {
			g.TargetTerminated(time.Duration(i), fmt.Sprint(i), 0)
		}
	}
	if len(g.marks) > maxMarks || g.lossCount > maxMarks {
		t.Errorf("%d marks and %d losses", len(g.marks), g.lossCount)
	}
	for _, data := range []string{"", "\x01", "\x01\x01\x01", "\x01\xff\xff\xff\xff\x0f"} {
		if _, err := g.Receive(0, Fingerprint{}, []byte(data)); err == nil {
			t.Errorf("%q is accepted", data)
		}
	}
	g.expire(markLifetime + 3*maxMarks)
	if len(g.marks) != 0 || g.lossCount != 0 {
		t.Errorf("%d marks and %d losses after their lifetime", len(g.marks), g.lossCount)
	}
}
