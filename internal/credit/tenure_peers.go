package credit

import "time"

// Heard takes an announcement of a peer.
func (t *Tenure) Heard(now time.Duration, a Announcement) {
	t.expire(now)
	next := a.next()
	t.learnEra(now, next.Era)
	isOwn := a.holder() == t.self
	switch {
	case next.Era < t.era || next.Offset <= 0 || next.Before(t.next) || next == t.next && t.owns:
		return
	case t.owns && a.ID == "":
		// It may be an own record whose answer has not arrived yet.
		return
	case next == t.next && t.known:
		t.refine(now, a)
		return
	case t.owns && !isOwn && next.Era == t.ownNext.Era:
		t.lose(LossSuperseded)
	}
	t.setNewest(a.holder(), next, now+a.valid(), a.beganAt(now))
	t.withoutLease = a.WithoutLease
	t.setLeft(a)
	if isOwn {
		t.extendOwn(next)
	}
}

// refine takes what a peer knows of the newest known record. Each announced end is late by the time that it was on the way, so the
// earliest one holds.
func (t *Tenure) refine(now time.Duration, a Announcement) {
	t.freeAt, t.beganAt = min(t.freeAt, now+a.valid()), min(t.beganAt, a.beganAt(now))
	if t.holder.ID == "" && a.ID != "" {
		t.holder, t.challenge = a.holder(), false
	}
	t.withoutLease = t.withoutLease || a.WithoutLease
	t.setLeft(a)
}

// setLeft takes from an announcement that the holder has left.
func (t *Tenure) setLeft(a Announcement) {
	if a.Released {
		t.left, t.lastLeft = true, a.holder()
	}
}

// Release gives up the ownership and ends the tenure. It returns the announcement for the others, and false if this instance was
// not the owner.
func (t *Tenure) Release(now time.Duration) (Announcement, bool) {
	t.expire(now)
	t.released = true
	if !t.owns {
		return Announcement{}, false
	}
	t.lose(LossReleased)
	t.setNewest(t.self, t.ownNext, now, t.ownBeganAt)
	a, known := t.Announcement(now)
	t.left, a.Released = true, true
	return a, known
}

// Announcement returns what this instance knows of the newest record, and false if it knows none.
func (t *Tenure) Announcement(now time.Duration) (Announcement, bool) {
	if !t.known || t.next.Offset == 0 {
		return Announcement{}, false
	}
	a := Announcement{ID: t.holder.ID, Address: t.holder.Address, Started: t.holder.Started, Era: t.next.Era, Next: t.next.Offset}
	a.ValidMS = wholeMilliseconds(t.freeAt - now + time.Millisecond - 1)
	a.OwnedMS, a.WithoutLease = wholeMilliseconds(now-t.beganAt), t.withoutLease
	return a, true
}
