package e2e

import (
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin"
)

// Guards against gaps in the protocol of tickets between callers and instances: each step sends one booking through
// the owner of the ticket, instance 0, or another one.
func TestTicketProtocol(t *testing.T) {
	f := startOnceFleet(t, 2, 2, false)
	owner, other := f.callers[0], f.callers[1]
	tickets := map[string]string{}
	steps := []struct {
		name    string
		address string
		// ticket names a ticket that is issued at its first use.
		ticket  string
		token   string
		headers []string
		outcome reason.Outcome
		reason  *reason.Reason
		bytes   int
		runs    int
	}{
		{"no ticket", other, "", "none", nil, reason.NotRun, reason.TicketRequired, 0, 0},
		{"malformed ticket", other, "x", "malformed", nil, reason.NotRun, reason.TicketInvalid, 0, 0},
		{"first use through another instance", other, "a", "a", nil, reason.Done, nil, 0, 1},
		{"repeat at the owner", owner, "a", "a", nil, reason.Done, nil, 0, 1},
		{"repeat refused by parsing elsewhere", other, "a", "a", []string{header.TimeoutMS, "x"}, reason.Unknown, reason.BadTimeout, 0, 1},
		{"repeat refused by parsing at the owner", owner, "a", "a", []string{header.TimeoutMS, "x"}, reason.Unknown, reason.BadTimeout, 0, 1},
		{"unused ticket refused by parsing", owner, "b", "b", []string{header.TimeoutMS, "x"}, reason.NotRun, reason.BadTimeout, 0, 0},
		{"ticket closed by that claim", owner, "b", "b", nil, reason.NotRun, reason.TicketClosed, 0, 0},
		{"answer too large to keep", other, "c", "c", []string{standin.BytesHeader, "100000"}, reason.Done, nil, 100_000, 1},
		{"its outcome is kept", other, "c", "c", nil, reason.Done, reason.AnswerNotKept, 100_000, 1},
		{"long answer through another instance", other, "d", "d", []string{standin.BytesHeader, "3000000"}, reason.Done, nil, 3_000_000, 1},
		{"its outcome is kept", owner, "d", "d", nil, reason.Done, reason.AnswerNotKept, 3_000_000, 1},
		{"lost answer", other, "e", "e", []string{standin.FaultHeader, string(standin.FaultClose)}, reason.Unknown, reason.AnswerLost, 0, 1},
		{"its repeat does not run", owner, "e", "e", nil, reason.Unknown, reason.AnswerLost, 0, 1},
		{"shed by the target", other, "f", "f", []string{standin.FaultHeader, string(standin.FaultShed)}, reason.NotRun, reason.TargetShed, 0, 0},
		{"its ticket is closed", owner, "f", "f", nil, reason.NotRun, reason.TicketClosed, 0, 0},
		{"forwarded to the wrong instance", other, "g", "g", []string{header.Forwarded, "1"}, reason.Unknown, reason.TicketOwnerGone, 0, 0},
	}
	for _, s := range steps {
		text := s.ticket
		if len(text) == 1 && text != "x" {
			if tickets[text] == "" {
				tickets[text] = issue(owner)
			}
			text = tickets[text]
		}
		a := f.book(s.address, s.token, text, patience, s.headers...)
		why := ""
		if s.reason != nil {
			why = s.reason.Name
		}
		if a.length == "" {
			a.length = strconv.Itoa(len(a.body))
		}
		if a.err != nil || a.outcome != string(s.outcome) || a.reason != why || s.bytes > 0 && a.length != strconv.Itoa(s.bytes) {
			t.Errorf("%s: outcome %q, reason %q, %d bytes, error %v", s.name, a.outcome, a.reason, len(a.body), a.err)
		}
		if s.bytes == 0 && s.reason == nil && !strings.Contains(a.body, "token="+s.token+" ") {
			t.Errorf("%s: body %q", s.name, a.body)
		}
		if runs := f.executions(t)[s.token]; runs != s.runs {
			t.Errorf("%s: %d executions", s.name, runs)
		}
	}
}

// Guards against a forward that ends a broken transfer like a whole one, and against a forward that outlives its
// deadline when the owner is silent, or that a paused owner starts after the caller has left.
func TestForwardFaults(t *testing.T) {
	f := startOnceFleet(t, 2, 1, false)
	cut := f.book(f.callers[1], "cut", issue(f.callers[0]), patience,
		standin.BytesHeader, "5000000", standin.FaultHeader, string(standin.FaultTruncate))
	if cut.err == nil {
		t.Errorf("a cut answer of %d bytes arrived as whole", len(cut.body))
	}
	ticket := issue(f.callers[0])
	pause(t, f.instances[0].command)
	silent := f.book(f.callers[1], "silent", ticket, 10*time.Second, header.TimeoutMS, "300")
	if silent.outcome != string(reason.Unknown) || silent.reason != reason.AnswerTimeout.Name {
		t.Errorf("the owner is silent: %+v", silent)
	}
	sendSignal(t, f.instances[0].command, syscall.SIGCONT)
	if awake := f.book(f.callers[0], "awake", issue(f.callers[0]), patience); awake.outcome != string(reason.Done) {
		t.Errorf("the owner resumed: %+v", awake)
	}
	time.Sleep(2 * serviceTime)
	if runs := f.executions(t)["silent"]; runs != 0 {
		t.Errorf("%d executions for a caller that left while the owner was paused", runs)
	}
	again := f.book(f.callers[1], "silent", ticket, patience)
	if runs := f.executions(t)["silent"]; again.outcome != string(reason.Done) || runs != 1 {
		t.Errorf("sent again: %+v, %d executions", again, runs)
	}
}
