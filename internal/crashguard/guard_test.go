package crashguard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// session runs the commands of a testdata file on the guards of two instances, a and b. Rumors are queued until they are
// delivered.
type session struct {
	now        time.Duration
	guards     map[string]*Guard
	rumors     []rumor
	admissions map[string]*Admission
}

type rumor struct {
	from string
	f    Fingerprint
	data []byte
}

func newSession() *session {
	s := &session{guards: map[string]*Guard{}, admissions: map[string]*Admission{}}
	for _, name := range []string{"a", "b"} {
		s.guards[name] = New(func(f Fingerprint, data []byte) { s.rumors = append(s.rumors, rumor{name, f, data}) })
		s.guards[name].trialJitter = 0
	}
	return s
}

// run executes one command and returns its output. Commands are "after DURATION", "drop", "deliver" and "pull", or an
// instance, a verb and its arguments.
func (s *session) run(line string) string {
	words := strings.Fields(line)
	if line == "" {
		return ""
	}
	if after, ok := strings.CutPrefix(line, "after "); ok {
		d, _ := time.ParseDuration(after)
		s.now += d
		return ""
	}
	if line == "drop" {
		s.rumors = nil
		return ""
	}
	if line == "deliver" || line == "pull" {
		return s.deliver(line == "pull")
	}
	g, verb, argument := s.guards[words[0]], words[1], append(words[2:], "", "")
	f := FingerprintOf("s", "POST", "/"+argument[0], nil)
	switch verb {
	case "admit":
		admission, wait, refused := g.Admit(s.now, f)
		if admission.Suspect() {
			s.admissions[words[0]+argument[0]] = &admission
		}
		return fmt.Sprintf("suspect=%v waits=%v refused=%v\n", admission.Suspect(), wait != nil, refused)
	case "reserve":
		return fmt.Sprintln(s.admissions[words[0]+argument[0]].ReserveTarget(argument[1]))
	case "release":
		s.admissions[words[0]+argument[0]].Release()
	case "lost":
		target, incarnation, _ := strings.Cut(argument[1], "/")
		g.ConnectionLost(s.now, f, Attempt{Target: target, Incarnation: incarnation}, 0)
	case "terminated":
		g.TargetTerminated(s.now, argument[0], 0)
	case "seen":
		g.IncarnationSeen(s.now, argument[0], argument[1])
	case "answered":
		g.Answered(s.now, f)
	case "active":
		return fmt.Sprintln(g.Active())
	}
	return ""
}

// deliver sends the queued rumors to the other instance, and all marks too if pull is set. It returns how many changed a
// mark, and whether the digests agree afterwards.
func (s *session) deliver(pull bool) string {
	updates := 0
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
		if changed, err := s.guards[to].Receive(s.now, r.f, r.data); err == nil && changed {
			updates++
		}
	}
	s.rumors = nil
	agree := s.guards["a"].Digest(s.now) == s.guards["b"].Digest(s.now)
	return fmt.Sprintf("%d updates, agree=%v\n", updates, agree)
}

// Guards against refusing an innocent request, against a third crash by the cause, and against marks that never expire.
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

// Guards against unbounded memory when many requests crash targets, and against malformed marks of peers.
func TestBounds(t *testing.T) {
	g := New(nil)
	for i := range 2 * maxMarks {
		f := FingerprintOf("s", "GET", fmt.Sprint(i), nil)
		g.ConnectionLost(time.Duration(i), f, Attempt{Target: fmt.Sprint(i), Incarnation: "x"}, 0)
		if i < maxMarks {
			g.TargetTerminated(time.Duration(i), fmt.Sprint(i), 0)
		}
	}
	if len(g.marks) > maxMarks || g.pendingCount > maxMarks {
		t.Errorf("%d marks and %d pending losses, want at most %d of each", len(g.marks), g.pendingCount, maxMarks)
	}
	for _, data := range []string{"", "\x01", "\x01\x01\x01", "\x01\xff\xff\xff\xff\x0f"} {
		if _, err := g.Receive(0, Fingerprint{}, []byte(data)); err == nil {
			t.Errorf("Receive accepted the malformed mark %q", data)
		}
	}
	g.expire(markLifetime + 3*maxMarks)
	if len(g.marks) != 0 || g.pendingCount != 0 {
		t.Errorf("%d marks and %d pending losses after their lifetime, want 0", len(g.marks), g.pendingCount)
	}
}
