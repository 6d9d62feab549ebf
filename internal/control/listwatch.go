package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/platform"
)

const (
	// listInterval is how often the list is read. It lags anyway, and gossip is authoritative.
	listInterval    = 5 * time.Second
	listBackoffBase = 500 * time.Millisecond
	listBackoffMax  = 15 * time.Second
)

// ListWatcher reads the platform's list and hands on contacts and departures of targets. Its fields are set before
// Run and belong to the goroutine in Run.
type ListWatcher struct {
	List platform.InstanceList
	Loop *Loop
	// Seeds are contacts from the settings, which are used besides those of the list.
	Seeds    []string
	Contacts func(ctx context.Context, addresses []string) error
	Random   *rand.Rand
	Logger   *slog.Logger
}

// Run reads the list until the context ends.
func (w *ListWatcher) Run(ctx context.Context) {
	backoff := platform.Backoff{Base: listBackoffBase, Max: listBackoffMax}
	_ = w.Contacts(ctx, w.Seeds)
	for ctx.Err() == nil {
		list, err := w.List.Instances(ctx)
		if err != nil {
			w.Logger.Warn("Cannot read the list of instances.", "error", err)
			sleep(ctx, backoff.Next(w.Random))
			continue
		}
		backoff.Reset()
		w.take(ctx, list)
		sleep(ctx, listInterval/2+time.Duration(w.Random.Int64N(int64(listInterval))))
	}
}

func (w *ListWatcher) take(ctx context.Context, list []platform.ListedInstance) {
	contacts := slices.Clone(w.Seeds)
	for _, listed := range list {
		switch {
		case listed.TargetAddress != "":
			leaving := listed.State == platform.ListedLeaving
			w.Loop.Observe(TargetEvent{Address: listed.TargetAddress, Incarnation: listed.Incarnation, Draining: leaving})
		case listed.State == platform.ListedLive:
			contacts = append(contacts, listed.PeerAddress)
		}
	}
	_ = w.Contacts(ctx, contacts) // fails only when the instance stops
}
