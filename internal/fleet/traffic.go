package fleet

import "sync/atomic"

// DatagramKind names what a datagram between instances is mostly for.
type DatagramKind int

// Kinds of datagrams, in the order of their names.
const (
	KindHeartbeat DatagramKind = iota
	KindGreeting
	KindLoadReports
	KindUpdate
	KindClaim
	KindDenial
	KindCrashMark
	KindLeave
	kinds
)

var kindNames = [kinds]string{"heartbeat", "greeting", "readings", "news", "claim", "denial", "mark", "leave"}

func (k DatagramKind) String() string { return kindNames[k] }

// kindOf tells what a datagram is for.
func kindOf(d *datagram) DatagramKind {
	switch {
	case d.Claim != nil:
		return KindClaim
	case d.Denial != nil:
		return KindDenial
	case d.Leaving:
		return KindLeave
	case d.Greeting || d.ZoneSize > 0:
		return KindGreeting
	case len(d.Loads) > 0:
		return KindLoadReports
	case len(d.Marks) > 0:
		return KindCrashMark
	case d.Self != nil:
		return KindHeartbeat
	}
	return KindUpdate
}

// Flow counts datagrams of one kind in one direction.
type Flow struct{ Datagrams, Bytes int64 }

type flow struct{ datagrams, bytes atomic.Int64 }

func (f *flow) count(datagrams, bytes int) {
	f.datagrams.Add(int64(datagrams))
	f.bytes.Add(int64(datagrams) * int64(bytes))
}

func (f *flow) load() Flow { return Flow{f.datagrams.Load(), f.bytes.Load()} }

// Traffic counts what an instance exchanges with others for the control of the fleet. It is safe for concurrent use.
type Traffic struct {
	sent, received [kinds]flow
	readings       atomic.Int64
	calls          [storeCalls]atomic.Int64
}

// StoreCall names a call to the store.
type StoreCall int

// Calls to the store. The first read of a topic lists its newest records.
const (
	CallConfigs StoreCall = iota
	CallTargets
	CallMembers
	CallAnnounce
	CallCrashMarks
	CallPutCrashMark
	storeCalls
)

var storeCallNames = [storeCalls]string{"configs", "targets", "members", "announce", "crash_marks", "keep_crash_mark"}

func (c StoreCall) String() string { return storeCallNames[c] }

// EachDatagramKind calls f for each kind with what was sent and received.
func (t *Traffic) EachDatagramKind(f func(kind DatagramKind, sent, received Flow)) {
	for k := range kinds {
		f(k, t.sent[k].load(), t.received[k].load())
	}
}

// EachCall calls f for each kind of call to the store with its number.
func (t *Traffic) EachCall(f func(call StoreCall, count int64)) {
	for c := range storeCalls {
		f(c, t.calls[c].Load())
	}
}

// LoadProbes returns the number of readings of targets.
func (t *Traffic) LoadProbes() int64 { return t.readings.Load() }
