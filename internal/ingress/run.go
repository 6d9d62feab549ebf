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
	lookTimeout = 100 * time.Millisecond
	// breakTime is how much later than the connection of a run another one of the same process may break.
	breakTime = 5 * time.Millisecond
	// verdictTime is how long a request that lost two answers waits for the outcome of the looks, and endTime how long a look
	// goes on: the connections of a process that ends do not all break at once.
	verdictTime = 300 * time.Millisecond
	endTime     = time.Second
	// maxLooks bounds the looks that go on at the same time.
	maxLooks = 64
)

// run is the sending of a request to one target.
type run struct {
	target *dispatch.Target
	// targets is the pool of which the target was chosen, and pool holds the connections to it.
	targets *dispatch.Pool
	pool    *transport.Pool
	began   time.Time
	// sentAt is when the run began as time since the start.
	sentAt time.Duration
	// witness was opened before a suspect was sent. It is nil for other requests.
	witness *witness
}

// newRun prepares the sending of a request. A suspect gets a witness.
func (g *Gateway) newRun(ctx context.Context, call *call, d dispatch.Decision) *run {
	r := &run{target: d.Target, targets: call.pool, pool: g.origin(call.service, d.Target).pool, began: time.Now(), sentAt: g.Now()}
	if g.crashes.Active() && g.crashes.HasCrashEvidence(call.fingerprint()) {
		r.witness, _ = openWitness(ctx, d.Target.Address, connectTimeout)
		r.began = time.Now()
	}
	return r
}

// guarded describes the run to the crash guard.
func (r *run) guarded() crashguard.Attempt {
	return crashguard.Attempt{Target: r.target.ID, Incarnation: r.target.Incarnation(), SentAt: r.sentAt}
}

// endedTarget reports whether the target's process ended: its connections that are as old as the run are broken.
func (r *run) endedTarget() bool {
	if r.witness != nil {
		return r.witness.breaks(breakTime)
	}
	open, closed := r.pool.Survey(r.began)
	return open == 0 && closed > 0
}

// livesOn reports whether the target's process outlived the run: a connection that is as old is open.
func (r *run) livesOn() bool {
	if r.witness != nil {
		return !r.witness.breaks(breakTime)
	}
	open, _ := r.pool.Survey(r.began)
	return open > 0
}

// lostRun is a run whose answer was lost. It is looked into after its request has ended.
type lostRun struct {
	*run
	why         *reason.Reason
	request     string
	route       string
	fingerprint crashguard.Fingerprint
}

// noteEnd notes that the target of a run ended.
func (g *Gateway) noteEnd(r *run) {
	if g.crashes.Active() {
		g.crashes.TargetTerminated(g.Now(), r.target.ID, r.targets.LastSeen(r.target))
	}
}

// judgeLoss finds out whether a target ended that lost an answer. The first look comes before a further send, so that this
// already runs as one of a suspect.
func (g *Gateway) judgeLoss(ctx context.Context, call *call, r *run, why *reason.Reason) {
	l := &lostRun{r, why, call.id, call.route.Name, call.fingerprint()}
	g.crashes.ConnectionLost(g.Now(), l.fingerprint, r.guarded(), verdictTime)
	late, refused := openWitness(ctx, r.target.Address, lookTimeout)
	ended := refused || r.endedTarget()
	g.noteLoss(l, ended)
	if ended || !g.beginLook() {
		late.close()
		r.witness.close()
		return
	}
	go g.watchLoss(l, late)
}

// beginLook reserves a look that goes on after its request.
func (g *Gateway) beginLook() bool {
	if g.looks.Add(1) <= maxLooks {
		return true
	}
	g.looks.Add(-1)
	return false
}

// watchLoss goes on looking whether a target ends that still accepted a connection after it lost an answer. The late witness
// was opened after the loss: it breaks when a target closes its listener later.
func (g *Gateway) watchLoss(l *lostRun, late *witness) {
	defer g.looks.Add(-1)
	defer late.close()
	defer l.witness.close()
	ended := false
	if l.witness != nil {
		ended = l.witness.breaks(endTime)
	} else {
		ended = late.breaks(endTime) && g.refusesConnections(l.target.Address) || l.endedTarget()
	}
	switch {
	case ended:
		g.noteLoss(l, true)
	case l.livesOn():
		g.crashes.TargetSurvived(l.fingerprint, l.target.ID)
	}
}

// refusesConnections reports whether nothing listens at an address.
func (g *Gateway) refusesConnections(address string) bool {
	w, refused := openWitness(context.Background(), address, lookTimeout)
	w.close()
	return refused
}

// noteLoss logs a lost answer, and counts it as a crash if the target ended.
func (g *Gateway) noteLoss(l *lostRun, ended bool) {
	message := "A target lost the answer to a request."
	if ended {
		g.noteEnd(l.run)
		message = "A target ended while it ran a request."
	}
	g.Log.Warn(message, "request", l.request, "target", l.target.ID, "route", l.route, "reason", l.why.Name,
		"fingerprint", l.fingerprint.String(), "crashes", g.crashes.CrashCount(l.fingerprint))
}
