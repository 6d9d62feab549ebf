package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

// One instance at a time is the owner of the shared limits. It proves this by a lease in the store. The control loop makes the calls
// that credit.Tenure asks for, and spreads what it knows of the newest record. The leaders repeat it to their zones and to each other.

const (
	// creditCallTimeout ends a call for the lease. A slow store takes some hundred milliseconds for an answer, and an owner that
	// waits for it keeps its lease: RenewInterval and one call fit into credit.TTL.
	creditCallTimeout = 900 * time.Millisecond
	// maxCreditRankWithoutStore is the number of instances that try to become the owner while no instance reads the store.
	maxCreditRankWithoutStore = 3
	// minorityDelay is how long less than half of the instances have to be live until this one counts as cut off. The number is
	// wrong for a moment when the leader of a zone changes.
	minorityDelay = time.Second
)

// creditOwnerRead is the result of a read of the newest owner record.
type creditOwnerRead struct {
	record *credit.OwnerRecord
	end    topic.Position
	err    error
}

// creditOwnerPut is the result of an append of a record of this instance.
type creditOwnerPut struct {
	startedAt time.Duration
	at, end   topic.Position
	err       error
}

// creditOwnership is the state of the ownership in the control loop.
type creditOwnership struct {
	tenure *credit.Tenure
	// needed is true if the configuration in force has a shared limit.
	needed bool
	// owned, takeovers and owner are the state at the last update: whether this instance was the owner, how often it had become the
	// owner, and who the owner was.
	owned     bool
	takeovers int
	owner     credit.Holder
	// peakInstances is the largest number of live instances lately, at peakAt. minoritySince is since when there have been less
	// than half of them, zero if there are not.
	peakInstances         int
	peakAt, minoritySince time.Time
}

func (n *Node) newCreditOwnership() creditOwnership {
	return creditOwnership{tenure: credit.NewTenure(credit.Holder{ID: n.Self.ID, Address: n.Self.Address, Started: n.Self.Started})}
}

// needsCredit reports whether a configuration has a limit that is shared by all instances.
func needsCredit(config *routes.Config) bool {
	for i := range config.Workspaces {
		if config.Workspaces[i].Rate > 0 {
			return true
		}
	}
	for i := range config.Services {
		if config.Services[i].WarmupRate > 0 {
			return true
		}
	}
	return false
}

// applySharedLimits applies the shared limits of a configuration that comes into force. The ledger learns the quotas at once, also while
// other instances still ask under the configuration before.
func (n *Node) applySharedLimits(config *routes.Config) {
	n.creditOwnership.needed = needsCredit(config)
	now := n.suspensionClock.now()
	for i := range config.Workspaces {
		w := &config.Workspaces[i]
		limit := credit.NewLimit(w.Rate, w.Burst, config.Version)
		n.creditServer.ledger.Learn(now, credit.Key{Kind: credit.WorkspaceQuota, Name: w.Name}, limit)
	}
}

// stepCreditOwnership makes the call for the lease that is due.
func (n *Node) stepCreditOwnership(ctx context.Context, now time.Time, rank int) {
	own := &n.creditOwnership
	at := n.suspensionClock.now()
	mayCall := own.needed && (own.owned || !n.storeDown || rank < maxCreditRankWithoutStore)
	step, position := own.tenure.Next(credit.Situation{Now: at, MayCall: mayCall, Rank: rank, Era: n.Store.Era(), Minority: n.updateMinority(now)})
	n.updateCreditOwner(now)
	switch step {
	case credit.ReadStep:
		n.readCreditOwner(ctx)
	case credit.AppendStep:
		n.putCreditOwner(ctx, at, position)
	case credit.NoStep:
	}
}

// followCreditCall makes the call that the result of another one asks for. After a call that timed out, the wait for the next tick can
// take longer than what is left of the lease.
func (n *Node) followCreditCall(ctx context.Context, now time.Time) {
	n.stepCreditOwnership(ctx, now, n.members.readRank(now, n.isLeader))
}

// updateMinority reports whether this instance hears from less than half of the instances that were live lately.
func (n *Node) updateMinority(now time.Time) bool {
	own := &n.creditOwnership
	if !n.instancesConverged {
		return false
	}
	if n.instances >= own.peakInstances || now.Sub(own.peakAt) >= missingPeriod {
		own.peakInstances, own.peakAt = n.instances, now
	}
	if 2*n.instances >= own.peakInstances {
		own.minoritySince = time.Time{}
		return false
	}
	if own.minoritySince.IsZero() {
		own.minoritySince = now
	}
	return now.Sub(own.minoritySince) >= minorityDelay
}

// instanceLeft excludes an instance that stops as planned from those that were live lately.
func (own *creditOwnership) instanceLeft() { own.peakInstances = max(own.peakInstances-1, 0) }

func (n *Node) readCreditOwner(ctx context.Context) {
	n.traffic.storeCalls[CallCreditOwner].Add(1)
	go func() {
		var e creditOwnerRead
		e.err = n.guardCall(storePart, func() (err error) {
			limited, cancel := context.WithTimeout(ctx, creditCallTimeout)
			defer cancel()
			e.record, e.end, err = n.Store.CreditOwner(limited)
			return err
		})
		n.deliver(ctx, e)
	}()
}

func (n *Node) putCreditOwner(ctx context.Context, startedAt time.Duration, at topic.Position) {
	n.traffic.storeCalls[CallPutCreditOwner].Add(1)
	record := n.creditOwnership.tenure.Record(startedAt, at)
	go func() {
		e := creditOwnerPut{startedAt: startedAt, at: at}
		e.err = n.guardCall(storePart, func() (err error) {
			limited, cancel := context.WithTimeout(ctx, creditCallTimeout)
			defer cancel()
			e.end, err = n.Store.PutCreditOwner(limited, record, at)
			return err
		})
		n.deliver(ctx, e)
	}()
}

func (n *Node) handleCreditOwnerRead(e creditOwnerRead, now time.Time) {
	if e.err != nil {
		n.Log.Info("Could not read the owner of the shared limits.", "error", e.err)
	}
	n.creditOwnership.tenure.ReadDone(n.suspensionClock.now(), e.record, e.end, e.err)
	n.updateCreditOwner(now)
	if e.err == nil {
		n.broadcastCreditOwner(now)
	}
}

func (n *Node) handleCreditOwnerPut(e creditOwnerPut, now time.Time) {
	own := &n.creditOwnership
	result := credit.AppendResult{StartedAt: e.startedAt, At: e.at, End: e.end}
	var conflict *discovery.ConflictError
	switch {
	case errors.As(e.err, &conflict):
		result.Conflict, result.End = true, conflict.End
	case e.err != nil:
		result.Failed = true
		n.Log.Info("Could not store the ownership of the shared limits.", "owner", own.owned, "error", e.err)
	}
	own.tenure.AppendDone(n.suspensionClock.now(), result)
	n.updateCreditOwner(now)
	if !result.Failed {
		n.broadcastCreditOwner(now)
	}
}

// hearCreditOwner takes what a peer knows of the owner. The leader tells its zone at once of another owner.
func (n *Node) hearCreditOwner(a *credit.Announcement, now time.Time) {
	if a == nil {
		return
	}
	before := n.creditOwnership.owner
	n.creditOwnership.tenure.Heard(n.suspensionClock.now(), *a)
	n.updateCreditOwner(now)
	if n.isLeader && (n.creditOwnership.owner != before || a.Released && before.ID == a.ID) {
		d := n.newDatagram(now)
		n.addCreditOwner(d)
		n.sendToZone(d, now)
	}
}

// noticeOwnerRestart tells the tenure that a peer runs which it may know as an earlier incarnation.
func (n *Node) noticeOwnerRestart(p *peerState) {
	if n.creditOwnership.needed {
		n.creditOwnership.tenure.HolderRestarted(n.suspensionClock.now(), p.ID, p.Started)
	}
}

// updateCreditOwner applies a change of the ownership to the credit server, which answers asks.
func (n *Node) updateCreditOwner(now time.Time) {
	own := &n.creditOwnership
	at := n.suspensionClock.now()
	until, owns := own.tenure.Owns(at)
	owner, _ := own.tenure.Owner()
	changed := owns != own.owned || owner != own.owner
	if !owns {
		until = 0
	}
	if own.owned && !owns {
		n.Log.Warn("Lost the ownership of the shared limits.", "reason", own.tenure.LastLoss().String(), "owner", owner.ID)
	}
	if takeovers := own.tenure.Takeovers(); takeovers != own.takeovers {
		own.takeovers = takeovers
		n.beginCreditOwnership(at, now)
	}
	own.owned, own.owner = owns, owner
	n.creditServer.setOwner(until, n.creditAddress(owner))
	if changed {
		n.creditPool.OwnerChanged()
	}
}

// beginCreditOwnership prepares the ledger after a takeover.
func (n *Node) beginCreditOwnership(at time.Duration, now time.Time) {
	takeover := n.creditOwnership.tenure.LastTakeover()
	n.creditServer.takeovers.Add(1)
	if !takeover.Continued {
		n.creditServer.begin(at, takeover.SincePrevious)
	}
	n.Log.Info("Became the owner of the shared limits.", "after", takeover.From.ID, "since_previous_ms", takeover.SincePrevious.Milliseconds(),
		"continued", takeover.Continued, "after_start_ms", now.Sub(n.started).Milliseconds())
}

// creditAddress returns where an owner receives datagrams, nil for this instance or if it is unknown.
func (n *Node) creditAddress(owner credit.Holder) *net.UDPAddr {
	if owner.ID == n.Self.ID || owner.Address == "" {
		return nil
	}
	if p := n.members.peers[owner.ID]; p != nil && p.Address == owner.Address {
		return p.udp
	}
	address, err := netip.ParseAddrPort(owner.Address)
	if err != nil {
		return nil
	}
	return net.UDPAddrFromAddrPort(address)
}

// addCreditOwner adds what this instance knows of the owner to a datagram.
func (n *Node) addCreditOwner(d *datagram) { d.CreditOwner = n.creditAnnouncement() }

// creditAnnouncement returns what this instance knows of the owner, nil if it knows none.
func (n *Node) creditAnnouncement() *credit.Announcement {
	a, known := n.creditOwnership.tenure.Announcement(n.suspensionClock.now())
	if !known {
		return nil
	}
	return &a
}

// broadcastCreditOwner tells all zones what this instance has just learned from the store, so that no other instance asks for it. A
// renewal is told at once too: a candidate that has not heard of the last one finds a conflict and waits another lease.
func (n *Node) broadcastCreditOwner(now time.Time) {
	d := n.newDatagram(now)
	n.addCreditOwner(d)
	n.sendToZone(d, now)
	n.sendToOtherZones(d, now)
}

// releaseCreditOwner gives up the ownership and adds that to the datagram that announces the stop of this instance.
func (n *Node) releaseCreditOwner(d *datagram) {
	a, owned := n.creditOwnership.tenure.Release(n.suspensionClock.now())
	n.creditServer.setOwner(0, nil)
	if owned {
		d.CreditOwner = &a
		n.Log.Info("Released the ownership of the shared limits.")
	}
}
