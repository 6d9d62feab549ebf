package transport

import "time"

// connAgeSlack is how long after the start of an exchange an idle connection may have been opened or last used and still be
// compared with it. It is not 0 because the spare connection is opened just after the first one.
const connAgeSlack = 100 * time.Millisecond

// exchangeInfo describes an exchange or a check on a connection.
type exchangeInfo struct {
	// number counts the exchanges and checks of the connection from 1.
	number uint64
	// connOpenedAt is when the connection was opened, lastAlive is when it was last known to work before the exchange,
	// and startedAt is when the exchange started.
	connOpenedAt, lastAlive, startedAt time.Time
}

// pathHealth records what checks have shown about the network path of the connections to one address. Connections of
// different age may differ: new ones may use a repaired path while older ones stay silent. It is not safe for concurrent
// use.
type pathHealth struct {
	// aliveAt is when a connection last answered a check. aliveOpenedAt is when that connection was opened.
	aliveAt, aliveOpenedAt time.Time
	// silentAt is when a connection was last found silent. silentOpenedAt is when the youngest silent connection was
	// opened. silentSince is the latest time at which a silent connection started to wait: connections that were opened
	// until then existed when the failure became visible.
	silentAt, silentOpenedAt, silentSince time.Time
}

// recordAlive records that a connection answered a check now.
func (h *pathHealth) recordAlive(openedAt, now time.Time) { h.aliveAt, h.aliveOpenedAt = now, openedAt }

// recordSilent records that a connection that started to wait at waitingSince was found silent now.
func (h *pathHealth) recordSilent(openedAt, waitingSince, now time.Time) {
	h.silentAt = now
	h.silentOpenedAt = later(h.silentOpenedAt, openedAt)
	h.silentSince = later(h.silentSince, waitingSince)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// provenAlive reports whether the path of e is known to work: a connection answered a check after e started and less than
// maxAge ago. A connection that was opened after e.lastAlive proves nothing, because it may use a path that was repaired
// in the meantime.
func (h *pathHealth) provenAlive(e exchangeInfo, now time.Time, maxAge time.Duration) bool {
	return !h.aliveOpenedAt.After(e.lastAlive) && h.aliveAt.After(e.startedAt) && now.Sub(h.aliveAt) < maxAge
}

// provenBroken reports whether the path of e is known to be broken: the connection of e existed when others failed, those
// were found silent while e was waiting, and no connection that is at least as old as the youngest of them has answered
// since.
func (h *pathHealth) provenBroken(e exchangeInfo) bool {
	existed := !e.connOpenedAt.After(h.silentSince)
	waiting := e.startedAt.Before(h.silentAt)
	contradicted := h.aliveAt.After(h.silentAt) && !h.aliveOpenedAt.After(h.silentOpenedAt)
	return existed && waiting && !contradicted
}

// isComparable reports whether a check of an idle connection can show whether the path of e works: the idle connection
// must have been opened and last used no later than connAgeSlack after the start of e.
func isComparable(openedAt, lastUsed time.Time, e exchangeInfo) bool {
	return !openedAt.After(e.startedAt.Add(connAgeSlack)) && !lastUsed.After(e.startedAt.Add(connAgeSlack))
}
