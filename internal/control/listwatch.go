package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

const (
	// listInterval is how often a list of at most listEntries is read. It lags anyway, and gossip is authoritative.
	// A longer list is read less often, because 200 entries every 5 s alone took 5 of the stated 6 KB/s.
	listInterval    = 5 * time.Second
	maxListInterval = 5 * time.Minute
	listEntries     = 20
	listBackoffBase = 500 * time.Millisecond
	listBackoffMax  = 15 * time.Second
)

// ListWatcher reads the platform's list and hands on contacts and departures of targets. Its fields are set before
// Run and belong to the goroutine in Run.
type ListWatcher struct {
	List logservice.InstanceList
	Loop *Loop
	// Seeds are contacts from the settings, which are used besides those of the list.
	Seeds       []string
	SetContacts func(ctx context.Context, addresses []string) error
	Random      *rand.Rand
	Logger      *slog.Logger
}

// Run reads the list until the context ends.
func (w *ListWatcher) Run(ctx context.Context) {
	backoff := logservice.Backoff{Base: listBackoffBase, Max: listBackoffMax}
	_ = w.SetContacts(ctx, w.Seeds)
	for ctx.Err() == nil {
		list, err := w.List.Instances(ctx)
		if err != nil {
			w.Logger.Warn("Cannot read the list of instances.", "error", err)
			sleep(ctx, backoff.Next(w.Random))
			continue
		}
		backoff.Reset()
		w.take(ctx, list)
		interval := pauseAfter(len(list))
		sleep(ctx, interval/2+time.Duration(w.Random.Int64N(int64(interval))))
	}
}

// pauseAfter returns the mean time until the next read, so that the bytes read per second do not grow with the list.
func pauseAfter(entries int) time.Duration {
	interval := listInterval * time.Duration(max(listEntries, entries)) / listEntries
	return min(interval, maxListInterval)
}

func (w *ListWatcher) take(ctx context.Context, list []logservice.ListedInstance) {
	contacts := slices.Clone(w.Seeds)
	for _, listed := range list {
		switch {
		case listed.TargetAddress != "":
			leaving := listed.State == logservice.ListedLeaving
			w.Loop.Observe(TargetEvent{Address: listed.TargetAddress, Incarnation: listed.Incarnation, Draining: leaving})
		case listed.State == logservice.ListedLive:
			contacts = append(contacts, listed.PeerAddress)
		}
	}
	_ = w.SetContacts(ctx, contacts) // fails only when the instance stops
}
