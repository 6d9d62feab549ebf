package credit

import "time"

// HolderRestarted takes that a later incarnation of an instance was heard from, which started at a time. If the earlier one holds
// the newest record, that is invalid from now on: its process has ended. After a restart of all instances nobody therefore waits
// for the end of the lease. A record without a lease, such as a challenge, says nothing about the lease of the holder before it.
func (t *Tenure) HolderRestarted(now time.Duration, id string, started int64) {
	if t.owns || !t.known || t.holder.ID != id || started <= t.holder.Started {
		return
	}
	if t.isNewestWritten() && !t.withoutLease {
		t.freeAt = min(t.freeAt, now)
	}
}

// isNewestWritten reports whether no record was written after the newest known one up to the time at which it was learned. After a
// restore of the store, a record of an earlier era may have been followed by others that are lost.
func (t *Tenure) isNewestWritten() bool { return t.readInItsEra || t.next.Era <= firstEra }
