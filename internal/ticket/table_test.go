package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

func smallDesk(limits Limits) *Manager { return NewManager(Owner{"a", 7}, Key{3}, limits) }

func limitsOf(entries, keptBytes int) Limits {
	limits := DefaultLimits()
	limits.Entries, limits.StoredBytes = entries, keptBytes
	return limits
}

func expectReason(t *testing.T, d Decision, want *reason.Reason) {
	t.Helper()
	if d.Action != Refuse || d.Reason != want {
		t.Fatalf("decision %+v, want a refusal %s", d, want.Name)
	}
}

func run(t *testing.T, d *Manager, now time.Duration, text string) *Operation {
	t.Helper()
	decision := d.Decide(now, text, Digest{1}, false)
	if decision.Action != Run {
		t.Fatalf("decision %+v, want to run", decision)
	}
	return decision.Operation
}

// Guards against tickets that another key, a changed field or another request can use.
func TestAuthenticity(t *testing.T) {
	d := smallDesk(DefaultLimits())
	text := d.Issue(0)
	other := NewManager(d.self, Key{4}, DefaultLimits())
	expectReason(t, other.Decide(0, text, Digest{1}, false), reason.TicketInvalid)
	expectReason(t, d.Decide(0, text[:len(text)-4]+"AAAA", Digest{1}, false), reason.TicketInvalid)
	expectReason(t, d.Decide(0, "x", Digest{1}, false), reason.TicketInvalid)
	run(t, d, 0, text)
	expectReason(t, d.Decide(0, text, Digest{2}, false), reason.TicketMismatch)
	if d.Decide(0, text, Digest{1}, false).Action != Wait {
		t.Error("a repeat of a running operation does not wait")
	}
}

// Guards against a second run after the entry of an expired ticket was removed, also when a request arrives with
// an older time than one before.
func TestExpiry(t *testing.T) {
	d := smallDesk(DefaultLimits())
	text := d.Issue(time.Second)
	run(t, d, 2*time.Second, text).Done(3*time.Second, AnswerHead{}, &Answer{Status: 200})
	d.Issue(time.Second + DefaultLimits().Lifetime)
	if len(d.table.entries) != 0 {
		t.Fatal("the expired entry is still there")
	}
	expectReason(t, d.Decide(4*time.Second, text, Digest{1}, false), reason.TicketExpired)
}

// Guards against a full table that forgets started operations, and against claims of not run that a later run
// of the same ticket contradicts.
func TestFullTable(t *testing.T) {
	d := smallDesk(limitsOf(2, 1<<20))
	older, first, second, third := d.Issue(0), d.Issue(0), d.Issue(0), d.Issue(0)
	run(t, d, 0, first).Done(0, AnswerHead{}, &Answer{Status: 201})
	stillRunning := run(t, d, 0, second)
	expectReason(t, d.Decide(0, third, Digest{1}, false), reason.TicketTableFull)
	if got := d.Decide(0, first, Digest{1}, false); got.Action != Replay || got.Answer.Status != 201 {
		t.Errorf("decision %+v, want the kept answer", got)
	}
	stillRunning.NotRun(0)
	expectReason(t, d.Decide(0, third, Digest{1}, false), reason.TicketClosed)
	expectReason(t, d.Decide(0, older, Digest{1}, false), reason.TicketClosed)
	run(t, d, 0, d.Issue(0))
	expectReason(t, d.Decide(0, second, Digest{1}, false), reason.TicketClosed)
}

// Guards against unbounded kept answers and content types, and against an outcome or status that is lost with its answer.
func TestKeptAnswers(t *testing.T) {
	d := smallDesk(limitsOf(10, 3000))
	texts := []string{d.Issue(0), d.Issue(0), d.Issue(0)}
	for i, size := range []int{1500, 1500, 4000} {
		head := AnswerHead{Status: 200 + i, Length: size, Type: strings.Repeat("x", maxTypeBytes+1)}
		run(t, d, 0, texts[i]).Done(0, head, &Answer{Body: make([]byte, size)})
	}
	for i, want := range map[int]AnswerHead{0: {Status: 200, Length: 1500}, 2: {Status: 202, Length: 4000}} {
		got := d.Decide(0, texts[i], Digest{1}, false)
		expectReason(t, got, reason.AnswerNotKept)
		if got.Head != want {
			t.Errorf("head %+v, want %+v", got.Head, want)
		}
	}
	if d.Decide(0, texts[1], Digest{1}, false).Action != Replay || d.table.keptBytes > 3000 {
		t.Errorf("the latest answer that fits is not kept within the limit: %d bytes", d.table.keptBytes)
	}
}

// Guards against memory for tickets that nobody uses.
func TestUnusedTicketsTakeNoMemory(t *testing.T) {
	d := smallDesk(DefaultLimits())
	for range 1000 {
		d.Issue(0)
	}
	if len(d.table.entries) != 0 {
		t.Errorf("%d entries", len(d.table.entries))
	}
}

// Guards against a refusal before the ticket was looked at that claims not run about an operation that ran.
func TestRefuseUnused(t *testing.T) {
	d, other := smallDesk(DefaultLimits()), NewManager(Owner{"b", 1}, Key{5}, DefaultLimits())
	used, unused := d.Issue(0), d.Issue(0)
	run(t, d, 0, used)
	if d.CloseUnused(0, used) || other.CloseUnused(0, unused) {
		t.Error("claims without proof")
	}
	if !d.CloseUnused(0, unused) {
		t.Error("an unused ticket at its owner is proof")
	}
	expectReason(t, d.Decide(0, unused, Digest{1}, false), reason.TicketClosed)
}

// Guards against a closing record, whole or in small parts, that claims what it does not prove.
func TestClosingRecord(t *testing.T) {
	for _, maxBytes := range []int{64 << 10, 44} {
		d, peer := smallDesk(DefaultLimits()), NewManager(Owner{"b", 1}, Key{5}, DefaultLimits())
		expired := d.Issue(0)
		var texts []string
		for range 40 {
			texts = append(texts, d.Issue(DefaultLimits().Lifetime/2))
		}
		now := DefaultLimits().Lifetime
		for i := range 30 {
			if operation := run(t, d, now, texts[i]); i%3 == 0 {
				operation.Done(now, AnswerHead{}, nil)
			}
		}
		d.Stop()
		if d.Issue(now) != "" {
			t.Error("issues after Stop")
		}
		expectReason(t, d.Decide(now, texts[35], Digest{1}, false), reason.NotReady)
		parts := d.Close(now, maxBytes)
		if maxBytes < 100 && len(parts) < 2 {
			t.Errorf("%d parts", len(parts))
		}
		for _, part := range parts {
			if err := peer.ClosingRecords().Add(0, part); err != nil || len(part) > maxBytes {
				t.Fatalf("part of %d bytes: %v", len(part), err)
			}
		}
		for i, text := range texts {
			want := reason.TicketOwnerClosed
			if i < 30 {
				want = reason.TicketOwnerGone
			}
			if i < 30 && i%3 == 0 {
				want = reason.AnswerNotKept
			}
			expectReason(t, peer.Decide(0, text, Digest{1}, false), want)
		}
		expectReason(t, peer.Decide(0, expired, Digest{1}, false), reason.TicketExpired)
	}
}

func BenchmarkTicket(b *testing.B) {
	d := smallDesk(DefaultLimits())
	answer := &Answer{Status: 200, Body: make([]byte, 200)}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 20 * time.Millisecond
		d.Decide(now, d.Issue(now), Digest{1}, false).Operation.Done(now, AnswerHead{Status: 200}, answer)
	}
}
