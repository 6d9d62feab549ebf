package client

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/operator"
)

// faultyLog is a log that drops or delays appends and fails reads. It does not support concurrent use.
type faultyLog struct {
	logservice.Log
	// If delayUntilRead is not 0, the answer to the first append is lost, and its record reaches the log only after
	// that many successful reads. Until then delayed holds the record.
	delayUntilRead int
	delayed        [][]byte
	// loseAppends is the number of appends still to drop, failReads the number of reads still to fail.
	loseAppends int
	failReads   int
	appends     int
	reads       int
}

func (l *faultyLog) Append(ctx context.Context, payload []byte) (logservice.Offset, error) {
	l.appends++
	switch {
	case l.loseAppends > 0:
		l.loseAppends--
		return 0, &standin.LostAnswerError{}
	case l.delayUntilRead > 0 && l.delayed == nil:
		l.delayed = append(l.delayed, payload)
		return 0, &standin.LostAnswerError{}
	}
	return l.Log.Append(ctx, payload)
}

func (l *faultyLog) Read(ctx context.Context, from logservice.Offset, max int, wait time.Duration) (logservice.Page, error) {
	if l.failReads > 0 {
		l.failReads--
		return logservice.Page{}, &standin.UnavailableError{}
	}
	page, err := l.Log.Read(ctx, from, max, wait)
	if l.reads++; l.reads == l.delayUntilRead {
		for _, payload := range l.delayed {
			_, _ = l.Log.Append(ctx, payload)
		}
	}
	return page, err
}

func testService(slots int) operator.Service {
	s := operator.Service{
		Name: "flightdesk", Region: "tz-north", Zones: []string{"tz-north-a"}, SlotsPerTarget: slots,
		Classes: []operator.Class{{Name: "lookup"}},
		Targets: []operator.Target{{Address: "127.0.0.1:8080", Zone: "tz-north-a"}},
	}
	s.Provision()
	return s
}

// Guards against a change that is accepted twice, or reported with the wrong decision, after an answer of the log was
// lost or a read failed.
func TestPublishResolvesLostAnswers(t *testing.T) {
	cases := []struct {
		name           string
		log            faultyLog
		faults         standin.LogFaults
		wantAppends    int
		wantUnresolved bool
	}{
		{"answer arrives", faultyLog{}, standin.LogFaults{}, 1, false},
		{"answer is lost after the append", faultyLog{}, standin.LogFaults{LoseAnswers: 1}, 1, false},
		{"append is lost", faultyLog{loseAppends: 1}, standin.LogFaults{}, 2, false},
		{"append arrives after the read", faultyLog{delayUntilRead: 1}, standin.LogFaults{}, 2, false},
		{"append arrives after the second append", faultyLog{delayUntilRead: 2}, standin.LogFaults{}, 2, false},
		{"reads fail after a lost answer", faultyLog{failReads: 3}, standin.LogFaults{LoseAnswers: 1}, 1, false},
		{"every append is lost", faultyLog{loseAppends: 100}, standin.LogFaults{}, maxAppendAttempts, true},
		{"every read fails", faultyLog{failReads: 100}, standin.LogFaults{LoseAnswers: 1}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := standin.NewLog()
				log.SetFaults(c.faults)
				c.log.Log = log
				decision, err := Publish(t.Context(), &c.log, intent.NewState(), "test", testService(4))
				var unresolved *UnresolvedError
				if c.wantUnresolved != errors.As(err, &unresolved) || !c.wantUnresolved && (err != nil || decision.Verdict != intent.Accepted) {
					t.Errorf("got decision %v and error %v, want unresolved=%t", decision.Verdict, err, c.wantUnresolved)
				}
				if c.log.appends != c.wantAppends {
					t.Errorf("%d appends, want %d", c.log.appends, c.wantAppends)
				}
				checkAcceptedOnce(t, log, c.wantUnresolved)
			})
		})
	}
}

func checkAcceptedOnce(t *testing.T, log *standin.Log, allowNone bool) {
	t.Helper()
	entries, err := History(t.Context(), log, "flightdesk")
	if err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for _, e := range entries {
		if e.Verdict == intent.Accepted {
			accepted++
		}
	}
	if accepted > 1 || accepted == 0 && !allowNone {
		t.Errorf("the change was accepted %d times: %v", accepted, entries)
	}
}

// Guards against a publish that overwrites a change that another operator made after the state was read.
func TestConflictShowsDiff(t *testing.T) {
	log := standin.NewLog()
	stale, err := ReadState(t.Context(), log)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Publish(t.Context(), log, stale.Clone(), "anna", testService(4)); err != nil {
		t.Fatal(err)
	}
	_, err = Publish(t.Context(), log, stale, "bruno", testService(5))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want a ConflictError", err)
	}
	text := fmt.Sprint(err)
	for _, part := range []string{`"anna"`, "-   slots_per_target = 4\n", "+   slots_per_target = 5\n"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in %q", part, text)
		}
	}
	// A record of a newer format may be in force. It is therefore unknown whether the change took effect, and no further
	// change may be appended.
	_, _ = log.Append(t.Context(), []byte(`{"kind":"change","format":2}`))
	_, err = Publish(t.Context(), log, stale, "bruno", testService(5))
	_, againErr := Publish(t.Context(), log, stale, "bruno", testService(5))
	var unresolved *UnresolvedError
	var newer *intent.FormatError
	if !errors.As(err, &unresolved) || !errors.As(againErr, &newer) || errors.As(againErr, &unresolved) {
		t.Errorf("after a record of a newer format: got %v, then %v, want an UnresolvedError, then a FormatError", err, againErr)
	}
}
