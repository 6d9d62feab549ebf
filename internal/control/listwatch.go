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
	// listInterval is the mean time between reads of a list with up to listIntervalEntries entries. The list lags behind
	// gossip, which is authoritative. Longer lists are read less often, because 200 entries every 5 s took 5 KB/s of
	// the 6 KB/s allowed for control traffic.
	listInterval        = 5 * time.Second
	maxListInterval     = 5 * time.Minute
	listIntervalEntries = 20
	listBackoffBase     = 500 * time.Millisecond
	listBackoffMax      = 15 * time.Second
)

// ListWatcher polls the platform's instance list for the peer addresses of instances and for departing targets. Its
// fields must be set before Run and are owned by the goroutine in Run.
type ListWatcher struct {
	List logservice.InstanceList
	Loop *Loop
	// Seeds are peer addresses from the settings, which are used in addition to those of the list.
	Seeds []string
	// SetContacts receives the peer addresses after each read.
	SetContacts func(ctx context.Context, addresses []string) error
	Random      *rand.Rand
	Logger      *slog.Logger
}

// Run polls the list until ctx is done.
func (w *ListWatcher) Run(ctx context.Context) {
	backoff := logservice.Backoff{Base: listBackoffBase, Max: listBackoffMax}
	_ = w.SetContacts(ctx, w.Seeds)
	for ctx.Err() == nil {
		list, err := w.List.Instances(ctx)
		if err != nil {
			w.Logger.Warn("Could not read the list of instances.", "error", err)
			sleep(ctx, backoff.Next(w.Random))
			continue
		}
		backoff.Reset()
		w.applyList(ctx, list)
		interval := meanListInterval(len(list))
		sleep(ctx, interval/2+time.Duration(w.Random.Int64N(int64(interval))))
	}
}

// meanListInterval returns the mean time until the next read. It grows with the list, so that the bytes read per second
// stay constant up to maxListInterval.
func meanListInterval(entries int) time.Duration {
	interval := listInterval * time.Duration(max(listIntervalEntries, entries)) / listIntervalEntries
	return min(interval, maxListInterval)
}

// applyList reports the listed targets to the loop and sets the peer addresses.
func (w *ListWatcher) applyList(ctx context.Context, list []logservice.ListedInstance) {
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
	_ = w.SetContacts(ctx, contacts) // fails only if ctx is done
}
