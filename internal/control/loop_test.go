package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/testwait"
)

// Guards against one message of a peer, of the platform or of a target that ends the process, and with it all instances that
// receive the message; against a caller that waits for ever for the result; and against a page of the log that is passed over
// although it was not applied.
func TestPanicDoesNotEndTheLoop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l := New("a", balancer.TwoChoices{}, discardLogger)
	go l.Run(ctx)
	var panicked *panicguard.Error
	if err := l.Do(ctx, func() { panic("fault") }); !errors.As(err, &panicked) {
		t.Fatalf("error %v of a call that panicked", err)
	}
	page := logservice.Page{Earliest: 1, Next: 2, Records: []logservice.Record{{Offset: 1, Payload: []byte("malformed")}}}
	if next, err := l.Deliver(ctx, page); next != 2 || err != nil {
		t.Errorf("next offset %d, error %v after a page that was applied; want 2", next, err)
	}
	var fold *intent.Fold
	var departed *departures
	_ = l.Do(ctx, func() { fold, departed, l.fold, l.departures = l.fold, l.departures, nil, nil })
	if _, err := l.Deliver(ctx, page); !errors.As(err, &panicked) {
		t.Errorf("error %v of a page that could not be applied", err)
	}
	l.events <- TargetEvent{Address: "t", Draining: true}
	testwait.Until(t, "the event", func() bool { return l.Panics() == 3 })
	_ = l.Do(ctx, func() { l.fold, l.departures = fold, departed })
	if next, err := l.Deliver(ctx, page); next != 2 || err != nil || l.Panics() != 3 {
		t.Errorf("next offset %d, error %v afterwards, %d panics were counted; want 2, none and 3", next, err, l.Panics())
	}
}
