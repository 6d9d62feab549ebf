package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

func newTestManager(limits Limits) *Manager { return NewManager(Owner{"a", 7}, Key{3}, limits) }

func testLimits(entries, storedBytes int) Limits {
	limits := DefaultLimits()
	limits.Entries, limits.StoredBytes = entries, storedBytes
	return limits
}

func expectReason(t *testing.T, d Decision, want *reason.Reason) {
	t.Helper()
	if d.Action != Refuse || d.Reason != want {
		t.Fatalf("decision %+v, want refusal with reason %s", d, want.Name)
	}
}

func runOperation(t *testing.T, m *Manager, now time.Duration, text string) *Operation {
	t.Helper()
	decision := m.Decide(now, text, Digest{1}, false)
	if decision.Action != Run {
		t.Fatalf("decision %+v, want Run", decision)
	}
	return decision.Operation
}

// Guards against tickets that are accepted although they were signed with another key, were modified, or belong to another
// request.
func TestAuthenticity(t *testing.T) {
	m := newTestManager(DefaultLimits())
	text := m.Issue(0)
	other := NewManager(m.self, Key{4}, DefaultLimits())
	expectReason(t, other.Decide(0, text, Digest{1}, false), reason.TicketInvalid)
	expectReason(t, m.Decide(0, text[:len(text)-4]+"AAAA", Digest{1}, false), reason.TicketInvalid)
	expectReason(t, m.Decide(0, "x", Digest{1}, false), reason.TicketInvalid)
	runOperation(t, m, 0, text)
	expectReason(t, m.Decide(0, text, Digest{2}, false), reason.TicketMismatch)
	if m.Decide(0, text, Digest{1}, false).Action != Wait {
		t.Error("repeated request of a running operation does not wait")
	}
}

// Guards against a second run of an operation after the entry of its expired ticket was removed, also if a request arrives
// with an earlier time than a previous one.
func TestExpiry(t *testing.T) {
	m := newTestManager(DefaultLimits())
	text := m.Issue(time.Second)
	runOperation(t, m, 2*time.Second, text).Done(3*time.Second, AnswerHead{}, &Answer{Status: 200})
	m.Issue(time.Second + DefaultLimits().Lifetime)
	if len(m.table.entries) != 0 {
		t.Fatal("the expired entry was not removed")
	}
	expectReason(t, m.Decide(4*time.Second, text, Digest{1}, false), reason.TicketExpired)
}

// Guards against a full table that forgets started operations, and against a ticket that runs after a request with it was
// answered as not run.
func TestFullTable(t *testing.T) {
	m := newTestManager(testLimits(2, 1<<20))
	older, first, second, third := m.Issue(0), m.Issue(0), m.Issue(0), m.Issue(0)
	runOperation(t, m, 0, first).Done(0, AnswerHead{}, &Answer{Status: 201})
	stillRunning := runOperation(t, m, 0, second)
	expectReason(t, m.Decide(0, third, Digest{1}, false), reason.TicketTableFull)
	if got := m.Decide(0, first, Digest{1}, false); got.Action != Replay || got.Answer.Status != 201 {
		t.Errorf("decision %+v, want the stored answer", got)
	}
	stillRunning.NotRun(0)
	expectReason(t, m.Decide(0, third, Digest{1}, false), reason.TicketClosed)
	expectReason(t, m.Decide(0, older, Digest{1}, false), reason.TicketClosed)
	runOperation(t, m, 0, m.Issue(0))
	expectReason(t, m.Decide(0, second, Digest{1}, false), reason.TicketClosed)
}

// Guards against unbounded memory for stored answers and content types, and against losing the outcome or status of an
// operation together with its answer.
func TestStoredAnswers(t *testing.T) {
	m := newTestManager(testLimits(10, 3000))
	texts := []string{m.Issue(0), m.Issue(0), m.Issue(0)}
	for i, size := range []int{1500, 1500, 4000} {
		head := AnswerHead{Status: 200 + i, Length: size, Type: strings.Repeat("x", maxTypeBytes+1)}
		runOperation(t, m, 0, texts[i]).Done(0, head, &Answer{Body: make([]byte, size)})
	}
	for i, want := range map[int]AnswerHead{0: {Status: 200, Length: 1500}, 2: {Status: 202, Length: 4000}} {
		got := m.Decide(0, texts[i], Digest{1}, false)
		expectReason(t, got, reason.AnswerNotKept)
		if got.AnswerHead != want {
			t.Errorf("head %+v, want %+v", got.AnswerHead, want)
		}
	}
	if m.Decide(0, texts[1], Digest{1}, false).Action != Replay || m.table.storedBytes > 3000 {
		t.Errorf("the latest answer that fits is not stored, or the limit is exceeded: %d bytes", m.table.storedBytes)
	}
}

// Guards against memory use by tickets that are never used.
func TestUnusedTicketsTakeNoMemory(t *testing.T) {
	m := newTestManager(DefaultLimits())
	for range 1000 {
		m.Issue(0)
	}
	if len(m.table.entries) != 0 {
		t.Errorf("table has %d entries, want 0", len(m.table.entries))
	}
}

// Guards against reporting an operation as not run, in a refusal before its ticket was checked, although it ran.
func TestCloseUnused(t *testing.T) {
	m, other := newTestManager(DefaultLimits()), NewManager(Owner{"b", 1}, Key{5}, DefaultLimits())
	used, unused := m.Issue(0), m.Issue(0)
	runOperation(t, m, 0, used)
	if m.CloseUnused(0, used) || other.CloseUnused(0, unused) {
		t.Error("not run is claimed without proof")
	}
	if !m.CloseUnused(0, unused) {
		t.Error("an unused ticket is not accepted as proof by its owner")
	}
	expectReason(t, m.Decide(0, unused, Digest{1}, false), reason.TicketClosed)
}

// Guards against a closing record, in one or several parts, from which a peer derives a wrong outcome.
func TestClosingRecord(t *testing.T) {
	for _, maxBytes := range []int{64 << 10, 44} {
		m, peer := newTestManager(DefaultLimits()), NewManager(Owner{"b", 1}, Key{5}, DefaultLimits())
		expired := m.Issue(0)
		var texts []string
		for range 40 {
			texts = append(texts, m.Issue(DefaultLimits().Lifetime/2))
		}
		now := DefaultLimits().Lifetime
		for i := range 30 {
			if operation := runOperation(t, m, now, texts[i]); i%3 == 0 {
				operation.Done(now, AnswerHead{}, nil)
			}
		}
		m.Stop()
		if m.Issue(now) != "" {
			t.Error("a ticket was issued after Stop")
		}
		expectReason(t, m.Decide(now, texts[35], Digest{1}, false), reason.NotReady)
		parts := m.Close(now, maxBytes)
		if maxBytes < 100 && len(parts) < 2 {
			t.Errorf("got %d parts, want at least 2", len(parts))
		}
		for _, part := range parts {
			if err := peer.ClosingStore().Add(0, part); err != nil || len(part) > maxBytes {
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
	m := newTestManager(DefaultLimits())
	answer := &Answer{Status: 200, Body: make([]byte, 200)}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 20 * time.Millisecond
		m.Decide(now, m.Issue(now), Digest{1}, false).Operation.Done(now, AnswerHead{Status: 200}, answer)
	}
}
