// Package client implements the operators' commands on top of the platform's log
// and the admin listeners of the instances.
package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

const (
	maxPageRecords = 1024
	// appendAttempts bounds how often an append whose answer was lost is resolved and sent again.
	maxAppendAttempts = 5
	// retryPause is the first pause between attempts; it doubles.
	initialRetryDelay = 200 * time.Millisecond
)

// ConflictError reports a change that was refused because the service changed in the meantime.
type ConflictError struct {
	Service string
	Base    logservice.Offset
	Current logservice.Offset
	// Author is who published the revision in force, empty when the service was removed.
	Author string
	// Diff leads from the service in force to the refused change.
	Diff string
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("service %q: the change was made on revision %d, but revision %d is in force", e.Service, e.Base, e.Current)
	if e.Author != "" {
		text += fmt.Sprintf(", published by %q", e.Author)
	}
	if e.Diff != "" {
		text += "; what the refused change would alter now:\n" + e.Diff
	}
	return text
}

// UnresolvedError reports a change of which it is not known whether it took effect.
type UnresolvedError struct {
	ChangeID string
	Err      error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("change %s: it is not known whether the log holds it: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// ReadState folds the whole log.
func ReadState(ctx context.Context, log logservice.Log) (*intent.State, error) {
	fold := intent.NewFold()
	err := foldLog(ctx, log, fold, func(intent.Decision) bool { return false })
	return fold.State(), err
}

// follow folds records until visit returns true or the log ends.
func foldLog(ctx context.Context, log logservice.Log, fold *intent.Fold, visit func(intent.Decision) bool) error {
	for {
		page, err := log.Read(ctx, fold.Next(), maxPageRecords, 0)
		if err != nil {
			return trace.Wrap(err)
		}
		stop := false
		err = fold.ApplyPage(page, func(d intent.Decision) { stop = stop || visit(d) })
		if err != nil {
			return trace.Wrap(err)
		}
		if stop || fold.CaughtUp(page) {
			return nil
		}
	}
}

// Publish puts a service into force on top of its revision in state and returns the decision on the change.
func Publish(ctx context.Context, log logservice.Log, state *intent.State, author string, s operator.Service) (intent.Decision, error) {
	spec, err := intent.EncodeService(s)
	if err != nil {
		return intent.Decision{}, trace.Wrap(err)
	}
	return appendChange(ctx, log, state, newChange(state, author, s.Name, spec))
}

func newChange(state *intent.State, author, service, spec string) *intent.Change {
	return &intent.Change{
		ID:      uuid.NewString(),
		Author:  author,
		Service: service,
		Base:    state.CurrentRevision(service),
		Spec:    spec,
	}
}

// appendChange appends a change and reads the log until it finds the decision on it. When an answer is lost it
// appends again only after the log was read to its end without finding the change. An append that lands later all
// the same does no harm: its base is no longer current then.
// The state must be older than the change; it is moved on to the last record read.
func appendChange(ctx context.Context, log logservice.Log, state *intent.State, change *intent.Change) (intent.Decision, error) {
	payload, err := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
	if err != nil {
		return intent.Decision{}, trace.Wrap(err)
	}
	if err := state.CheckComplete(); err != nil {
		return intent.Decision{}, trace.Wrap(err)
	}
	fold := intent.NewFoldFrom(state)
	defer func() { *state = *fold.State() }()
	var lastErr error
	absent := true
	for attempt := range maxAppendAttempts {
		if absent {
			_, lastErr = log.Append(ctx, payload)
		}
		decision, found, err := findDecision(ctx, log, fold, change)
		if found {
			if err := fold.State().CheckComplete(); err != nil {
				return decision, &UnresolvedError{ChangeID: change.ID, Err: err}
			}
			return decision, decisionError(decision)
		}
		// Only a log that was read to its end shows that the change is absent.
		absent = err == nil
		lastErr = errors.Join(lastErr, err)
		if err := sleep(ctx, initialRetryDelay<<attempt); err != nil {
			break
		}
	}
	return intent.Decision{}, &UnresolvedError{ChangeID: change.ID, Err: lastErr}
}

// findDecision reads on to the first decision on a change. Later copies of it are refused or ignored by the fold.
// When its record is no longer retained, the state of a checkpoint still names the change in force.
func findDecision(ctx context.Context, log logservice.Log, fold *intent.Fold, change *intent.Change) (intent.Decision, bool, error) {
	var decision intent.Decision
	found := false
	err := foldLog(ctx, log, fold, func(d intent.Decision) bool {
		if !found && d.Change != nil && d.Change.ID == change.ID {
			decision, found = d, true
		}
		return found
	})
	if found {
		return decision, true, nil
	}
	entry := fold.State().Services[change.Service]
	if entry != nil && entry.ChangeID == change.ID {
		return intent.Decision{Offset: entry.Revision, Verdict: intent.Accepted, Change: change}, true, nil
	}
	return intent.Decision{}, false, err
}

// conflict returns the error for a decision that refuses the change.
func decisionError(d intent.Decision) error {
	switch d.Verdict {
	case intent.Conflict:
		err := &ConflictError{Service: d.Change.Service, Base: d.Change.Base, Current: d.CurrentRevision}
		inForce := ""
		if d.Previous != nil {
			err.Author = d.Previous.Author
			inForce, _ = intent.EncodeService(d.Previous.Spec) // a spec in force was decoded from its encoding
		}
		err.Diff = intent.Diff(inForce, d.Change.Spec)
		return err
	case intent.Malformed:
		return d.Err
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
