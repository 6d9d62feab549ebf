package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// crashedRetryAfter is when a caller may come back with a request that crashed targets. It is held for longer; the time
// keeps callers from asking all the time.
const crashHeldRetryAfter = 30 * time.Second

// CrashMarkSpreader passes crash marks between instances.
type CrashMarkSpreader interface {
	// SpreadCrashMark tells the other instances of a mark. It must not block.
	SpreadCrashMark(key string, data []byte)
}

// spreadCrash passes a mark on to the other instances.
func (g *Gateway) spreadCrashMark(f crashguard.Fingerprint, data []byte) {
	if g.CrashMarks != nil {
		g.CrashMarks.SpreadCrashMark(f.String(), data)
	}
}

// MergeCrashMark takes over a mark of another instance and reports whether it is news.
func (g *Gateway) MergeCrashMark(key string, data []byte) bool {
	f, err := crashguard.ParseFingerprint(key)
	if err != nil {
		g.Log.Warn("Ignored a crash mark.", "error", err)
		return false
	}
	news, err := g.crashGuard.Receive(g.Now(), f, data)
	if err != nil {
		g.Log.Warn("Ignored a crash mark.", "fingerprint", key, "error", err)
		return false
	}
	if news {
		g.Log.Info("Learnt of a request that crashes targets.", "fingerprint", key, "crashes", g.crashGuard.CrashCount(f))
	}
	return news
}

// CrashDigest identifies the crash marks of this instance, 0 for none.
func (g *Gateway) CrashDigest() uint64 { return g.crashGuard.Digest(g.Now()) }

// EachCrashMark calls add for each crash mark of this instance. Refused is true when its request is not sent any more.
func (g *Gateway) EachCrashMark(add func(key string, data []byte, refused bool)) {
	g.crashGuard.ForEachMark(g.Now(), func(f crashguard.Fingerprint, data []byte, refused bool) { add(f.String(), data, refused) })
}

// CrashStats counts what happened to the marks of requests that crash targets.
func (g *Gateway) CrashStats() crashguard.Stats { return g.crashGuard.Stats() }

// identify notes who sends a request. A request that crashes targets comes again from the same caller.
func (call *call) setCallerIP(c *app.RequestContext) {
	if conn := c.GetConn(); conn != nil && conn.RemoteAddr() != nil {
		call.callerIP, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	}
}

// fingerprint identifies requests of one caller with the same content. The service is not a part of it, because a route may
// lead to another one when the request comes again.
func (call *call) fingerprint() crashguard.Fingerprint {
	if !call.hasFingerprint {
		h := &call.request.Header
		scope := strings.ToLower(string(h.Host())) + " " + call.callerIP
		call.cachedFingerprint = crashguard.FingerprintOf(scope, string(h.Method()), call.uri, call.request.Body())
		call.hasFingerprint = true
	}
	return call.cachedFingerprint
}

// admit lets a request pass that is not suspect of crashing targets, or waits for its turn as a suspect. The entry must be
// left.
func (g *Gateway) awaitCrashAdmission(ctx context.Context, call *call) (crashguard.Admission, *result) {
	for g.crashGuard.Active() {
		entry, wait, refused := g.crashGuard.Admit(g.Now(), call.fingerprint())
		if refused {
			return entry, g.refuseHeldRequest(call)
		}
		if wait == nil {
			return entry, nil
		}
		select {
		case <-wait:
		case <-time.After(crashguard.PollInterval):
		case <-ctx.Done():
			return entry, g.refuseHeldRequest(call)
		}
	}
	return crashguard.Admission{}, nil
}

// CrashHeldError reports a request that is not sent because targets that ran it crashed.
type CrashHeldError struct {
	Fingerprint crashguard.Fingerprint
	Crashes     int
}

func (e *CrashHeldError) Error() string {
	return fmt.Sprintf("request %s crashed %d targets", e.Fingerprint, e.Crashes)
}

func (g *Gateway) newCrashHeldError(call *call) *CrashHeldError {
	return &CrashHeldError{call.fingerprint(), g.crashGuard.CrashCount(call.fingerprint())}
}

// crashed refuses a request that crashed targets.
func (g *Gateway) refuseHeldRequest(call *call) *result {
	r := newRefusal(reason.CrashHeld)
	r.cause = g.newCrashHeldError(call)
	r.retryAfter = crashHeldRetryAfter
	return r
}

// judge tells the crash guard how a run on a target ended.
func (g *Gateway) reportAttempt(ctx context.Context, call *call, run *attempt, r *result) {
	switch r.reason {
	case reason.AnswerLost, reason.AnswerTruncated:
		g.investigateLoss(ctx, call, run, r.reason)
		return
	case reason.AnswerTimeout, reason.ConnectionSilent, reason.CallerLeft:
		g.crashGuard.Unanswered(g.Now(), call.fingerprint(), run.crashAttempt())
	case reason.ConnectionRefused:
		// A connection that is not opened in time has this reason too, and proves nothing.
		if errors.Is(r.cause, syscall.ECONNREFUSED) {
			g.reportTargetTerminated(run)
		}
	default:
		if r.answer != nil && !r.answer.Whole() {
			r.streaming = run
			return
		}
		if r.answer != nil {
			g.reportAnswered(call, run, r.answer.Response.StatusCode())
		}
	}
	run.sentinel.close()
}

// judgeAnswer tells the crash guard of a whole answer. A failure of the target proves nothing.
func (g *Gateway) reportAnswered(call *call, run *attempt, status int) {
	if status >= http.StatusInternalServerError || !g.crashGuard.Active() || !g.crashGuard.Answered(g.Now(), call.fingerprint()) {
		return
	}
	g.Log.Info("A request that crashed targets was answered.", "request", call.id, "target", run.target.ID, "status", status,
		"fingerprint", call.fingerprint().String())
}

// judgeStream tells the crash guard how an answer ended that was passed on while it was read.
func (g *Gateway) reportStreamEnd(ctx context.Context, call *call, run *attempt, status int, err error) {
	var failure *transport.ExchangeError
	switch {
	case err == nil:
		g.reportAnswered(call, run, status)
	case errors.As(err, &failure) && (failure.Reason == reason.AnswerLost || failure.Reason == reason.AnswerTruncated):
		g.investigateLoss(ctx, call, run, failure.Reason)
		return
	}
	run.sentinel.close()
}

// TargetTerminated notes that an incarnation of a target is gone, by the records of the store. AliveAt is when the target last told its
// load, and again is true if it started again under its id.
func (g *Gateway) TargetTerminated(target string, aliveAt time.Duration, again bool) {
	switch {
	case !g.crashGuard.Active():
	case again:
		g.crashGuard.TargetRestarted(g.Now(), target, aliveAt)
	default:
		g.crashGuard.TargetTerminated(g.Now(), target, aliveAt)
	}
}
