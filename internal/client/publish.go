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
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/operator"
)

const (
	readPageRecords = 1024
	// appendAttempts bounds how often an append whose answer was lost is resolved and sent again.
	appendAttempts = 5
)

// ConflictError reports a change that was refused because the service changed in the meantime.
type ConflictError struct {
	Service string
	Base    platform.Offset
	Current platform.Offset
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q: the change was made on revision %d, but revision %d is in force", e.Service, e.Base, e.Current)
}

// UnresolvedError reports a change of which it is not known whether it took effect.
type UnresolvedError struct {
	Change string
	Err    error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("change %s: it is not known whether the log holds it: %v", e.Change, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// ReadState folds the whole log.
func ReadState(ctx context.Context, log platform.Log) (*intent.State, error) {
	state := intent.NewState()
	err := follow(ctx, log, state, func(intent.Decision) bool { return false })
	return state, err
}

// follow folds records after the state until visit returns true or the log ends.
func follow(ctx context.Context, log platform.Log, state *intent.State, visit func(intent.Decision) bool) error {
	for {
		page, err := log.Read(ctx, state.Through+1, readPageRecords, 0)
		if err != nil {
			return trace.Wrap(err)
		}
		recovered, err := intent.Recover(state, page.Earliest, page.Records)
		if err != nil {
			return trace.Wrap(err)
		}
		*state = *recovered
		for _, record := range page.Records {
			if visit(state.Apply(record)) {
				return nil
			}
		}
		if state.Through+1 >= page.Next {
			return nil
		}
	}
}

// Publish appends a change of one service on top of its revision in state and returns the decision on it.
func Publish(ctx context.Context, log platform.Log, state *intent.State, author string, s operator.Service) (intent.Decision, error) {
	spec, err := intent.EncodeService(s)
	if err != nil {
		return intent.Decision{}, trace.Wrap(err)
	}
	change := &intent.Change{
		ID:      uuid.NewString(),
		Author:  author,
		Service: s.Name,
		Base:    state.Current(s.Name),
		Spec:    spec,
	}
	return appendChange(ctx, log, state, change)
}

// appendChange appends a change and reads the log until it finds the decision on it. When an answer is lost it
// appends again only after the log was read to its end without finding the change.
func appendChange(ctx context.Context, log platform.Log, state *intent.State, change *intent.Change) (intent.Decision, error) {
	payload, err := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
	if err != nil {
		return intent.Decision{}, trace.Wrap(err)
	}
	var appendErr error
	for range appendAttempts {
		_, appendErr = log.Append(ctx, payload)
		decision, found, err := findDecision(ctx, log, state, change.ID)
		if err != nil {
			return intent.Decision{}, &UnresolvedError{Change: change.ID, Err: errors.Join(appendErr, err)}
		}
		if found {
			return decision, conflict(decision)
		}
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			break
		}
	}
	return intent.Decision{}, &UnresolvedError{Change: change.ID, Err: appendErr}
}

func findDecision(ctx context.Context, log platform.Log, state *intent.State, id string) (intent.Decision, bool, error) {
	var decision intent.Decision
	found := false
	err := follow(ctx, log, state, func(d intent.Decision) bool {
		if d.Change != nil && d.Change.ID == id {
			decision, found = d, true
		}
		return found
	})
	return decision, found, err
}

func conflict(d intent.Decision) error {
	switch d.Verdict {
	case intent.Conflict:
		return &ConflictError{Service: d.Change.Service, Base: d.Change.Base, Current: d.Current}
	case intent.Malformed:
		return d.Err
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
