package registry

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

const (
	// departureMemory is how long a departed target is remembered. No late write, repeated change or state of a peer is so old.
	departureMemory = 10 * time.Minute
	// pruneInterval is the time between two searches for departed targets to forget.
	pruneInterval = time.Minute
)

// ForgetDeparted forgets the targets that departed long ago, so that their number does not grow with each replaced target.
func (r *Registry) ForgetDeparted(now time.Time) {
	if now.Before(r.nextPrune) {
		return
	}
	r.nextPrune = now.Add(pruneInterval)
	for id, rec := range r.records {
		switch {
		case rec.presence != gone || rec.held != nil:
			rec.unusedSince = time.Time{}
		case rec.unusedSince.IsZero():
			rec.unusedSince = now
		case now.Sub(rec.unusedSince) >= departureMemory:
			delete(r.records, id)
			// A peer that asks for the changes since an earlier offset gets a listing, which tells it of the departure.
			r.completeFrom = topic.Later(r.completeFrom, rec.position.Next())
		}
	}
}
