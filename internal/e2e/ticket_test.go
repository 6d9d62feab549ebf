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

// Guards against wrong answers in the ticket protocol between callers and instances. Each step sends one booking, either to
// instance 0, which owns the tickets, or to the other instance.
func TestTicketProtocol(t *testing.T) {
	f := startDefaultBookingFleet(t, 2, 2, false)
	owner, other := f.callers[0], f.callers[1]
	tickets := map[string]string{}
	steps := []struct {
		name    string
		address string
		// ticket is the name of a ticket, which is issued when a step first uses the name. The malformed ticket "x" is sent
		// unchanged.
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
		{"ticket closed by that answer", owner, "b", "b", nil, reason.NotRun, reason.TicketClosed, 0, 0},
		{"answer too large to store", other, "c", "c", []string{standin.BytesHeader, "100000"}, reason.Done, nil, 100_000, 1},
		{"its outcome is stored", other, "c", "c", nil, reason.Done, reason.AnswerNotKept, 100_000, 1},
		{"long answer through another instance", other, "d", "d", []string{standin.BytesHeader, "3000000"}, reason.Done, nil, 3_000_000, 1},
		{"its outcome is stored", owner, "d", "d", nil, reason.Done, reason.AnswerNotKept, 3_000_000, 1},
		{"lost answer", other, "e", "e", []string{standin.FaultHeader, string(standin.FaultClose)}, reason.Unknown, reason.AnswerLost, 0, 1},
		{"its repeat does not run", owner, "e", "e", nil, reason.Unknown, reason.AnswerLost, 0, 1},
		{"shed by the target", other, "f", "f", []string{standin.FaultHeader, string(standin.FaultShed)}, reason.NotRun, reason.TargetShed, 0, 0},
		{"its ticket is closed", owner, "f", "f", nil, reason.NotRun, reason.TicketClosed, 0, 0},
		{"forwarded to the wrong instance", other, "g", "g", []string{header.Forwarded, "1"}, reason.Unknown, reason.TicketOwnerGone, 0, 0},
	}
	for _, s := range steps {
		ticket := s.ticket
		if len(ticket) == 1 && ticket != "x" {
			if tickets[ticket] == "" {
				tickets[ticket] = issueTicket(owner)
			}
			ticket = tickets[ticket]
		}
		a := f.book(s.address, s.token, ticket, callTimeout, s.headers...)
		wantReason := ""
		if s.reason != nil {
			wantReason = s.reason.Name
		}
		if a.announcedLength == "" {
			a.announcedLength = strconv.Itoa(len(a.body))
		}
		if a.err != nil || a.outcome != string(s.outcome) || a.reason != wantReason || s.bytes > 0 && a.announcedLength != strconv.Itoa(s.bytes) {
			t.Errorf("%s: outcome %q, reason %q, %d bytes, error %v", s.name, a.outcome, a.reason, len(a.body), a.err)
		}
		if s.bytes == 0 && s.reason == nil && !strings.Contains(a.body, "token="+s.token+" ") {
			t.Errorf("%s: body %q", s.name, a.body)
		}
		if runs := f.executions(t)[s.token]; runs != s.runs {
			t.Errorf("%s: got %d executions, want %d", s.name, runs, s.runs)
		}
	}
}

// Guards against a forwarding instance that ends a truncated answer as if it were complete, against a forward that exceeds its
// deadline when the ticket's owner does not respond, and against a paused owner that starts a forwarded booking after the
// caller has left.
func TestForwardFaults(t *testing.T) {
	f := startDefaultBookingFleet(t, 2, 1, false)
	truncated := f.book(f.callers[1], "cut", issueTicket(f.callers[0]), callTimeout,
		standin.BytesHeader, "5000000", standin.FaultHeader, string(standin.FaultTruncate))
	if truncated.err == nil {
		t.Errorf("a truncated answer of %d bytes arrived without an error", len(truncated.body))
	}
	ticket := issueTicket(f.callers[0])
	pauseProcess(t, f.instances[0].command)
	silent := f.book(f.callers[1], "silent", ticket, 10*time.Second, header.TimeoutMS, "300")
	if silent.outcome != string(reason.Unknown) || silent.reason != reason.AnswerTimeout.Name {
		t.Errorf("forward to a paused owner: got %+v, want outcome unknown and reason answer_timeout", silent)
	}
	sendSignal(t, f.instances[0].command, syscall.SIGCONT)
	if resumed := f.book(f.callers[0], "awake", issueTicket(f.callers[0]), callTimeout); resumed.outcome != string(reason.Done) {
		t.Errorf("booking at the resumed owner: got %+v, want outcome done", resumed)
	}
	time.Sleep(2 * serviceTime)
	if runs := f.executions(t)["silent"]; runs != 0 {
		t.Errorf("%d executions of a booking whose caller left while the owner was paused, want 0", runs)
	}
	again := f.book(f.callers[1], "silent", ticket, callTimeout)
	if runs := f.executions(t)["silent"]; again.outcome != string(reason.Done) || runs != 1 {
		t.Errorf("booking resent to the resumed owner: got %+v with %d executions, want outcome done with 1", again, runs)
	}
}
