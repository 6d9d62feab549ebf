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
	// lossProbeDialTimeout bounds the connection attempt that checks whether a target still accepts connections after a lost answer.
	lossProbeDialTimeout = 100 * time.Millisecond
	// closeSkew is how much later than the connection of an attempt the sentinel connection to the same process may be
	// closed when the process terminates.
	closeSkew = 5 * time.Millisecond
	// lossVerdictTimeout is how long a request that lost two answers waits to learn whether the targets crashed.
	lossVerdictTimeout = 300 * time.Millisecond
	// lossProbeDuration is how long a target is watched after a lost answer. It is this long because the connections of a
	// terminating process are not all closed at the same time.
	lossProbeDuration = time.Second
	// maxLossProbes bounds the targets that are watched concurrently after lost answers.
	maxLossProbes = 64
)

// attempt is one transmission of a request to one target.
type attempt struct {
	target *dispatch.Target
	// dispatchPool is the pool that the target was chosen from.
	dispatchPool *dispatch.Pool
	// connPool holds the connections to the target.
	connPool  *transport.Pool
	startedAt time.Time
	// sentAt is the start of the attempt as a duration since the start of the process.
	sentAt time.Duration
	// sentinel is opened before a request is sent that has crash evidence: it lost an answer recently or crashed a target. It
	// is nil for other requests, and if it could not be opened.
	sentinel *sentinelConn
	// watched is true once watchForTermination closes the sentinel.
	watched bool
}

// newAttempt prepares the transmission of a request. For a request with crash evidence it opens a sentinel connection first.
func (g *Gateway) newAttempt(ctx context.Context, call *call, d dispatch.Decision) *attempt {
	a := &attempt{target: d.Target, dispatchPool: call.pool, connPool: g.connectionsTo(call.service, d.Target).pool, startedAt: time.Now(), sentAt: g.Now()}
	if g.crashGuard.Active() && g.crashGuard.HasCrashEvidence(call.fingerprint()) {
		a.sentinel, _ = dialSentinel(ctx, d.Target.Address, connectTimeout)
		a.startedAt = time.Now()
	}
	return a
}

// closeSentinel closes the sentinel connection, if there is one and nobody watches it. A second call has no effect.
func (a *attempt) closeSentinel() {
	if a != nil && !a.watched {
		a.sentinel.close()
	}
}

// crashAttempt describes the attempt to the crash guard.
func (a *attempt) crashAttempt() crashguard.Attempt {
	return crashguard.Attempt{Target: a.target.ID, Incarnation: a.target.Incarnation(), SentAt: a.sentAt}
}

// targetTerminated reports whether the target's process is known to have terminated: of the idle connections that were opened
// before the attempt, at least one is closed and none is open.
func (a *attempt) targetTerminated() bool {
	if a.sentinel != nil {
		return a.sentinel.closesWithin(closeSkew)
	}
	open, closed := a.connPool.CountIdle(a.startedAt)
	return open == 0 && closed > 0
}

// targetSurvived reports whether the target's process is known to have survived the attempt: an idle connection that was
// opened before the attempt is still open. Without such a connection, both targetSurvived and targetTerminated may be false.
func (a *attempt) targetSurvived() bool {
	if a.sentinel != nil {
		return !a.sentinel.closesWithin(closeSkew)
	}
	open, _ := a.connPool.CountIdle(a.startedAt)
	return open > 0
}

// lostAttempt is an attempt whose answer was lost. It holds no reference to its call, because
// it is still used after the request has ended.
type lostAttempt struct {
	*attempt
	failure     *reason.Reason
	requestID   string
	routeName   string
	callerIP    string
	fingerprint crashguard.Fingerprint
	// recorded are the fingerprints for which the loss is recorded.
	recorded []crashguard.Fingerprint
}

// reportTargetTerminated reports to the crash guard that the process of an attempt's target terminated.
func (g *Gateway) reportTargetTerminated(a *attempt) {
	if g.crashGuard.Active() {
		g.crashGuard.TargetTerminated(g.Now(), a.target.ID, a.dispatchPool.LastSeen(a.target))
	}
}

// investigateLoss checks whether the target of a lost answer terminated. The first check is synchronous, so that a retry after
// a crash is already treated as a suspect. If the target still accepts connections, a goroutine continues to watch it. The
// sentinel of the attempt is closed in either case.
func (g *Gateway) investigateLoss(ctx context.Context, call *call, a *attempt, loss *reason.Reason) {
	l := &lostAttempt{a, loss, call.id, call.route.Name, call.callerIP, call.fingerprint(), g.crashFingerprints(call)}
	for _, f := range l.recorded {
		g.crashGuard.ConnectionLost(g.Now(), f, a.crashAttempt(), lossVerdictTimeout)
	}
	postLoss, refused := dialSentinel(ctx, a.target.Address, lossProbeDialTimeout)
	terminated := refused || a.targetTerminated()
	g.recordLoss(l, terminated)
	if terminated || !g.reserveLossProbe() {
		postLoss.close()
		a.sentinel.close()
		return
	}
	a.watched = true
	go g.panicGuard.Run(g.Log, "loss probe", func() { g.watchForTermination(l, postLoss) })
}

// reserveLossProbe reserves one of the maxLossProbes places for watchForTermination. It returns false if none is free.
func (g *Gateway) reserveLossProbe() bool {
	if g.lossProbes.Add(1) <= maxLossProbes {
		return true
	}
	g.lossProbes.Add(-1)
	return false
}

// watchForTermination watches for up to lossProbeDuration whether a target terminates that still accepted a connection after a
// lost answer. The connection postLoss was opened after the loss; it is closed if the process closes its listener late. It may
// be nil.
func (g *Gateway) watchForTermination(l *lostAttempt, postLoss *sentinelConn) {
	defer g.lossProbes.Add(-1)
	defer postLoss.close()
	defer l.sentinel.close()
	terminated := false
	if l.sentinel != nil {
		terminated = l.sentinel.closesWithin(lossProbeDuration)
	} else {
		terminated = postLoss.closesWithin(lossProbeDuration) && g.refusesConnections(l.target.Address) || l.targetTerminated()
	}
	switch {
	case terminated:
		g.recordLoss(l, true)
	case l.targetSurvived():
		for _, f := range l.recorded {
			g.crashGuard.TargetSurvived(f, l.target.ID)
		}
	}
}

// refusesConnections reports whether connections to an address are refused. A connection that times out is not refused.
func (g *Gateway) refusesConnections(address string) bool {
	conn, refused := dialSentinel(context.Background(), address, lossProbeDialTimeout)
	conn.close()
	return refused
}

// recordLoss logs a lost answer. If the target terminated, it reports that to the crash guard first, so that the log entry
// counts the crash.
func (g *Gateway) recordLoss(l *lostAttempt, terminated bool) {
	message := "The answer of a target was lost."
	if terminated {
		g.reportTargetTerminated(l.attempt)
		message = "A target terminated while it ran a request."
	}
	g.Log.Warn(message, "request", l.requestID, "target", l.target.ID, "route", l.routeName, "reason", l.failure.Name,
		"caller", l.callerIP, "fingerprint", l.fingerprint.String(), "crashes", g.crashGuard.CrashCount(l.fingerprint))
}
