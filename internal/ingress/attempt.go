package ingress

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

const (
	// lookTimeout bounds the look whether a target that lost an answer still accepts connections.
	probeTimeout = 100 * time.Millisecond
	// breakTime is how much later than the connection of a run another one of the same process may break.
	closeSkew = 5 * time.Millisecond
	// verdictTime is how long a request that lost two answers waits for the outcome of the looks, and endTime how long a look
	// goes on: the connections of a process that ends do not all break at once.
	lossVerdictTimeout = 300 * time.Millisecond
	lossProbeDuration  = time.Second
	// maxLooks bounds the looks that go on at the same time.
	maxLossProbes = 64
)

// run is the sending of a request to one target.
type attempt struct {
	target *dispatch.Target
	// targets is the pool of which the target was chosen, and pool holds the connections to it.
	dispatchPool *dispatch.Pool
	connPool     *transport.Pool
	startedAt    time.Time
	// sentAt is when the run began as time since the start.
	sentAt time.Duration
	// witness was opened before a suspect was sent. It is nil for other requests.
	sentinel *sentinelConn
}

// newRun prepares the sending of a request. A suspect gets a witness.
func (g *Gateway) newAttempt(ctx context.Context, call *call, d dispatch.Decision) *attempt {
	r := &attempt{target: d.Target, dispatchPool: call.pool, connPool: g.connectionsTo(call.service, d.Target).pool, startedAt: time.Now(), sentAt: g.Now()}
	if g.crashGuard.Active() && g.crashGuard.HasCrashEvidence(call.fingerprint()) {
		r.sentinel, _ = dialSentinel(ctx, d.Target.Address, connectTimeout)
		r.startedAt = time.Now()
	}
	return r
}

// guarded describes the run to the crash guard.
func (r *attempt) crashAttempt() crashguard.Attempt {
	return crashguard.Attempt{Target: r.target.ID, Incarnation: r.target.Incarnation(), SentAt: r.sentAt}
}

// endedTarget reports whether the target's process ended: its connections that are as old as the run are broken.
func (r *attempt) targetTerminated() bool {
	if r.sentinel != nil {
		return r.sentinel.closesWithin(closeSkew)
	}
	open, closed := r.connPool.Survey(r.startedAt)
	return open == 0 && closed > 0
}

// livesOn reports whether the target's process outlived the run: a connection that is as old is open.
func (r *attempt) targetSurvived() bool {
	if r.sentinel != nil {
		return !r.sentinel.closesWithin(closeSkew)
	}
	open, _ := r.connPool.Survey(r.startedAt)
	return open > 0
}

// lostRun is a run whose answer was lost. It is looked into after its request has ended.
type lostAttempt struct {
	*attempt
	reason      *reason.Reason
	requestID   string
	routeName   string
	fingerprint crashguard.Fingerprint
}

// noteEnd notes that the target of a run ended.
func (g *Gateway) reportTargetTerminated(r *attempt) {
	if g.crashGuard.Active() {
		g.crashGuard.TargetTerminated(g.Now(), r.target.ID, r.dispatchPool.LastSeen(r.target))
	}
}

// judgeLoss finds out whether a target ended that lost an answer. The first look comes before a further send, so that this
// already runs as one of a suspect.
func (g *Gateway) investigateLoss(ctx context.Context, call *call, r *attempt, why *reason.Reason) {
	l := &lostAttempt{r, why, call.id, call.route.Name, call.fingerprint()}
	g.crashGuard.ConnectionLost(g.Now(), l.fingerprint, r.crashAttempt(), lossVerdictTimeout)
	late, refused := dialSentinel(ctx, r.target.Address, probeTimeout)
	ended := refused || r.targetTerminated()
	g.recordLoss(l, ended)
	if ended || !g.reserveLossProbe() {
		late.close()
		r.sentinel.close()
		return
	}
	go g.watchForTermination(l, late)
}

// beginLook reserves a look that goes on after its request.
func (g *Gateway) reserveLossProbe() bool {
	if g.lossProbes.Add(1) <= maxLossProbes {
		return true
	}
	g.lossProbes.Add(-1)
	return false
}

// watchLoss goes on looking whether a target ends that still accepted a connection after it lost an answer. The late witness
// was opened after the loss: it breaks when a target closes its listener later.
func (g *Gateway) watchForTermination(l *lostAttempt, late *sentinelConn) {
	defer g.lossProbes.Add(-1)
	defer late.close()
	defer l.sentinel.close()
	ended := false
	if l.sentinel != nil {
		ended = l.sentinel.closesWithin(lossProbeDuration)
	} else {
		ended = late.closesWithin(lossProbeDuration) && g.refusesConnections(l.target.Address) || l.targetTerminated()
	}
	switch {
	case ended:
		g.recordLoss(l, true)
	case l.targetSurvived():
		g.crashGuard.TargetSurvived(l.fingerprint, l.target.ID)
	}
}

// refusesConnections reports whether nothing listens at an address.
func (g *Gateway) refusesConnections(address string) bool {
	w, refused := dialSentinel(context.Background(), address, probeTimeout)
	w.close()
	return refused
}

// noteLoss logs a lost answer, and counts it as a crash if the target ended.
func (g *Gateway) recordLoss(l *lostAttempt, ended bool) {
	message := "A target lost the answer to a request."
	if ended {
		g.reportTargetTerminated(l.attempt)
		message = "A target ended while it ran a request."
	}
	g.Log.Warn(message, "request", l.requestID, "target", l.target.ID, "route", l.routeName, "reason", l.reason.Name,
		"fingerprint", l.fingerprint.String(), "crashes", g.crashGuard.CrashCount(l.fingerprint))
}
