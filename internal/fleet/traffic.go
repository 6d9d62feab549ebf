package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
)

// DatagramKind is the main purpose of a datagram between instances.
type DatagramKind int

// Kinds of datagrams, in the order of datagramKindNames.
const (
	KindHeartbeat DatagramKind = iota
	KindGreeting
	KindLoadReports
	KindUpdate
	KindClaim
	KindDenial
	KindCrashMark
	KindLeave
	// KindCredit is an ask for credits of the shared limits, an answer or a refund.
	KindCredit
	numDatagramKinds
)

// datagramKindNames are values of a metric label.
var datagramKindNames = [numDatagramKinds]string{"heartbeat", "greeting", "readings", "news", "claim", "denial", "mark", "leave", "credit"}

func (k DatagramKind) String() string { return datagramKindNames[k] }

// kindOf classifies a datagram by its most specific content.
func kindOf(d *datagram) DatagramKind {
	switch {
	case d.Claim != nil:
		return KindClaim
	case d.Denial != nil:
		return KindDenial
	case d.CreditAsk != nil || d.CreditAnswer != nil || d.CreditRefund != nil:
		return KindCredit
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

// Flow counts the datagrams of one kind in one direction, and their bytes.
type Flow struct{ Datagrams, Bytes int64 }

type flow struct{ datagrams, bytes atomic.Int64 }

func (f *flow) add(datagrams, bytes int) {
	f.datagrams.Add(int64(datagrams))
	f.bytes.Add(int64(datagrams) * int64(bytes))
}

func (f *flow) load() Flow { return Flow{f.datagrams.Load(), f.bytes.Load()} }

// Traffic counts the datagrams between instances, the load probes and the calls to the store. It is safe for concurrent
// use.
type Traffic struct {
	sent, received [numDatagramKinds]flow
	loadProbes     atomic.Int64
	storeCalls     [numStoreCalls]atomic.Int64
	// staleDatagrams counts the datagrams that were dropped because they had waited during a pause of the process.
	staleDatagrams atomic.Int64
	// storeRestores counts the eras of the store that this instance entered after the first one.
	storeRestores atomic.Int64

	mu sync.Mutex
	// evacuations counts the evacuations that began, by zone, and evacuated holds the zones that are evacuated now.
	evacuations map[string]int64
	evacuated   []string
}

// StoreCall is a kind of call to the store.
type StoreCall int

// Kinds of calls to the store, in the order of storeCallNames. The first read of a topic lists its newest records.
const (
	CallConfigs StoreCall = iota
	CallTargets
	CallMembers
	CallAnnounce
	CallCrashMarks
	CallPutCrashMark
	CallCreditOwner
	CallPutCreditOwner
	numStoreCalls
)

// storeCallNames are values of a metric label.
var storeCallNames = [numStoreCalls]string{"configs", "targets", "members", "announce", "crash_marks", "keep_crash_mark", "credit_owner", "keep_credit_owner"}

func (c StoreCall) String() string { return storeCallNames[c] }

// EachDatagramKind calls f for each kind of datagram with what was sent and received.
func (t *Traffic) EachDatagramKind(f func(kind DatagramKind, sent, received Flow)) {
	for k := range numDatagramKinds {
		f(k, t.sent[k].load(), t.received[k].load())
	}
}

// EachCall calls f for each kind of call to the store with the number of calls.
func (t *Traffic) EachCall(f func(call StoreCall, count int64)) {
	for c := range numStoreCalls {
		f(c, t.storeCalls[c].Load())
	}
}

// StaleDatagrams returns the number of datagrams that were dropped because they had waited during a pause of the process.
func (t *Traffic) StaleDatagrams() int64 { return t.staleDatagrams.Load() }

// StoreRestores returns the number of restores of the store from an older copy that this instance noticed.
func (t *Traffic) StoreRestores() int64 { return t.storeRestores.Load() }

// LoadProbes returns the number of load probes that got a result.
func (t *Traffic) LoadProbes() int64 { return t.loadProbes.Load() }

// maxCountedZones bounds the number of label values of the evacuations. The operator may name zones that do not exist.
const maxCountedZones = 32

func (t *Traffic) addEvacuation(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuations == nil {
		t.evacuations = map[string]int64{}
	}
	if _, counted := t.evacuations[zone]; counted || len(t.evacuations) < maxCountedZones {
		t.evacuations[zone]++
	}
}

func (t *Traffic) setEvacuated(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = zones
}

// Evacuations returns how many evacuations began since the start, by zone.
func (t *Traffic) Evacuations() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.evacuations)
}

// EvacuatedZones returns the number of zones that are evacuated now.
func (t *Traffic) EvacuatedZones() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.evacuated))
}
