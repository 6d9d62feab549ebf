package storeread

import (
	"context"
	"errors"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

// FetchConfigs reads the operator's records from a position on, or the newest ones unless continues is set and the store has
// the records from that position on.
func FetchConfigs(ctx context.Context, store discovery.Store, from topic.Position, continues bool) (records discovery.OperatorRecords, next topic.Position, err error) {
	if continues {
		records, next, err = store.ConfigsSince(ctx, from)
		if !isTrimmed(err) {
			return records, next, err
		}
	}
	return store.NewestConfig(ctx)
}

// FetchTargets reads the records of targets from a position on, or the newest record of each target unless
// continues is set and the store has the records from that position on. The result is complete in the latter case.
func FetchTargets(ctx context.Context, store discovery.Store, from topic.Position, continues bool) (changes []registry.Change, next topic.Position, complete bool, err error) {
	if continues {
		changes, next, err = store.TargetsSince(ctx, from)
		if !isTrimmed(err) {
			return changes, next, false, err
		}
	}
	changes, next, err = store.NewestTargets(ctx)
	return changes, next, true, err
}

func isTrimmed(err error) bool {
	var trimmed *discovery.TrimmedError
	return errors.As(err, &trimmed)
}
