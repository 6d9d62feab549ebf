package storeread

import "time"

// Era is what an instance knows of the era of the store.
type Era struct {
	// noticed is the newest era that an answer of the store told this instance, at noticedAt.
	noticed   int64
	noticedAt time.Time
	// told is the newest era that a peer told this instance, first at toldAt.
	told   int64
	toldAt time.Time
}

// Notice records the era that any answer of the store told, also one to a write or a refusal.
func (e *Era) Notice(era int64, now time.Time) {
	if era > e.noticed {
		e.noticed, e.noticedAt = era, now
	}
}

// Tell records the era that a peer told.
func (e *Era) Tell(era int64, now time.Time) {
	if era > e.told {
		e.told, e.toldAt = era, now
	}
}

// AwaitsPeer reports whether this instance fetches a topic of a newer era from the peer that told of it, before it reads the store
// itself. limit is how long a fetch takes at most.
func (e *Era) AwaitsPeer(t *Topic, now time.Time, limit time.Duration) bool {
	return t.Known && !t.PeersFailed && e.told > t.Next.Era && now.Sub(e.toldAt) < limit
}

// ListingRequiredAt returns when an era was noticed that is newer than that of a topic, or zero if none was. A read of any
// instance since then is of that era.
func (e *Era) ListingRequiredAt(t *Topic) time.Time {
	if t.Next.Era >= e.noticed {
		return time.Time{}
	}
	return e.noticedAt
}

// Continues reports whether a topic is read on from its position, rather than listed. The store does not have positions of an
// earlier era.
func (e *Era) Continues(t *Topic) bool {
	return t.Known && !t.Relist && t.Next.Era >= e.noticed
}
