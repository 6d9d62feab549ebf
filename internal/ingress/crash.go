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

// crashHeldRetryAfter is the Retry-After of a request that is refused because it crashed targets. The request is held for
// longer than that; the header only limits the rate of pointless retries.
const crashHeldRetryAfter = 30 * time.Second

// CrashMarkSpreader sends crash marks to the other instances. A crash mark records which targets a request crashed.
type CrashMarkSpreader interface {
	// SpreadCrashMark sends a mark, identified by its key, to the other instances. It must not block.
	SpreadCrashMark(key string, data []byte)
}

// spreadCrashMark sends a mark of this instance to the others.
func (g *Gateway) spreadCrashMark(f crashguard.Fingerprint, data []byte) {
	if g.CrashMarks != nil {
		g.CrashMarks.SpreadCrashMark(f.String(), data)
	}
}

// MergeCrashMark merges a mark received from another instance and reports whether it changed the local marks. A malformed
// mark is logged and ignored.
func (g *Gateway) MergeCrashMark(key string, data []byte) bool {
	f, err := crashguard.ParseFingerprint(key)
	if err != nil {
		g.Log.Warn("Ignored a malformed crash mark.", "error", err)
		return false
	}
	changed, err := g.crashGuard.Receive(g.Now(), f, data)
	if err != nil {
		g.Log.Warn("Ignored a malformed crash mark.", "fingerprint", key, "error", err)
		return false
	}
	if changed {
		g.Log.Info("Received a crash mark from another instance.", "fingerprint", key, "crashes", g.crashGuard.CrashCount(f))
	}
	return changed
}

// CrashDigest returns a digest of the crash marks of this instance. It is 0 if there are none.
func (g *Gateway) CrashDigest() uint64 { return g.crashGuard.Digest(g.Now()) }

// EachCrashMark calls add for each crash mark of this instance. The argument refused is true if the request of the mark is
// no longer sent to targets.
func (g *Gateway) EachCrashMark(add func(key string, data []byte, refused bool)) {
	g.crashGuard.ForEachMark(g.Now(), func(f crashguard.Fingerprint, data []byte, refused bool) { add(f.String(), data, refused) })
}

// CrashStats returns counters of lost answers, crashes and crash marks.
func (g *Gateway) CrashStats() crashguard.Stats { return g.crashGuard.Stats() }

// setCallerIP sets the caller's address.
func (call *call) setCallerIP(c *app.RequestContext) {
	if conn := c.GetConn(); conn != nil && conn.RemoteAddr() != nil {
		call.callerIP, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	}
}

// fingerprint identifies requests with the same content. The host is that of the route, because callers may write it in several
// forms. The service is not part of the fingerprint, because the route may lead to another service when the request is
// repeated. The caller's address is not part of it either: behind a NAT or a balancer one caller has many addresses, and many
// callers have one.
func (call *call) fingerprint() crashguard.Fingerprint {
	if !call.hasFingerprint {
		method := string(call.request.Header.Method())
		call.cachedFingerprint = crashguard.FingerprintOf(strings.ToLower(call.route.Host), method, call.uri, call.request.Body())
		call.hasFingerprint = true
	}
	return call.cachedFingerprint
}

// callerFingerprint identifies requests with the same content that come from one address.
func (call *call) callerFingerprint() crashguard.Fingerprint {
	return call.fingerprint().OfCaller(call.callerIP)
}

// crashFingerprints returns the fingerprints for which the crashes and lost answers of a request are recorded. Those of its caller are
// recorded only if the content is answered for others, because otherwise the content alone tells enough.
func (g *Gateway) crashFingerprints(call *call) []crashguard.Fingerprint {
	f := call.fingerprint()
	if !g.crashGuard.AnsweredLately(f) {
		return []crashguard.Fingerprint{f}
	}
	return []crashguard.Fingerprint{f, call.callerFingerprint()}
}

// awaitCrashAdmission waits until the crash guard admits a request. A suspect (a request to which a crash is attributed) waits
// while another request with the same fingerprint is on probation or its verdict is pending. It returns a refusal if the
// request is held because of its crashes, or if the context ends while it waits. The admission must be released unless the
// request is refused.
func (g *Gateway) awaitCrashAdmission(ctx context.Context, call *call) (crashguard.Admission, *result) {
	for g.crashGuard.Active() {
		if g.crashGuard.RefusesCaller(call.callerFingerprint()) {
			return crashguard.Admission{}, g.refuseHeldRequest(call)
		}
		admission, wait, refused := g.crashGuard.Admit(g.Now(), call.fingerprint())
		if refused {
			return admission, g.refuseHeldRequest(call)
		}
		if wait == nil {
			return admission, nil
		}
		select {
		case <-wait:
		case <-time.After(crashguard.PollInterval):
		case <-ctx.Done():
			return admission, g.refuseHeldRequest(call)
		}
	}
	return crashguard.Admission{}, nil
}

// CrashHeldError reports a request that is not sent because targets crashed while running it.
type CrashHeldError struct {
	Fingerprint crashguard.Fingerprint
	// Crashes is the number of crashes that are attributed to the request.
	Crashes int
}

func (e *CrashHeldError) Error() string {
	return fmt.Sprintf("request %s is held: it crashed %d targets", e.Fingerprint, e.Crashes)
}

func (g *Gateway) newCrashHeldError(call *call) *CrashHeldError {
	return &CrashHeldError{call.fingerprint(), g.crashGuard.CrashCount(call.fingerprint())}
}

// refuseHeldRequest refuses a request because it crashed targets.
func (g *Gateway) refuseHeldRequest(call *call) *result {
	r := newRefusal(reason.CrashHeld)
	r.cause = g.newCrashHeldError(call)
	r.retryAfter = crashHeldRetryAfter
	return r
}

// reportAttempt reports the result of an attempt to the crash guard and closes the sentinel connection. If the answer is
// still being streamed, it does neither and sets r.streaming, and reportStreamEnd does both later.
func (g *Gateway) reportAttempt(ctx context.Context, call *call, attempt *attempt, r *result) {
	switch r.failure {
	case reason.AnswerLost, reason.AnswerTruncated:
		g.investigateLoss(ctx, call, attempt, r.failure)
		return
	case reason.AnswerTimeout, reason.ConnectionSilent, reason.CallerLeftRunning:
		for _, f := range g.crashFingerprints(call) {
			g.crashGuard.Unanswered(g.Now(), f, attempt.crashAttempt())
		}
	case reason.ConnectionRefused:
		// A connect timeout has this reason too, but does not prove that the process terminated.
		if errors.Is(r.cause, syscall.ECONNREFUSED) {
			g.reportTargetTerminated(attempt)
		}
	default:
		if r.answer != nil && !r.answer.FullyBuffered() {
			r.streaming = attempt
			return
		}
		if r.answer != nil {
			g.reportAnswered(call, attempt, r.answer.Response.StatusCode())
		}
	}
	attempt.sentinel.close()
}

// reportAnswered reports a complete answer to the crash guard. A 5xx answer is not reported, because it does not show that
// the request is harmless.
func (g *Gateway) reportAnswered(call *call, attempt *attempt, status int) {
	if status >= http.StatusInternalServerError || !g.crashGuard.RecordsAnswers(call.route.Idempotent, len(call.request.Body())) {
		return
	}
	cleared := g.crashGuard.Answered(g.Now(), call.fingerprint())
	if g.crashGuard.Active() {
		cleared = g.crashGuard.Answered(g.Now(), call.callerFingerprint()) || cleared
	}
	if !cleared {
		return
	}
	g.Log.Info("A request that crashed targets was answered.", "request", call.id, "target", attempt.target.ID, "status", status,
		"fingerprint", call.fingerprint().String())
}

// reportStreamEnd reports the end of a streamed answer to the crash guard. The error is nil if the whole answer was
// forwarded.
func (g *Gateway) reportStreamEnd(ctx context.Context, call *call, attempt *attempt, status int, err error) {
	var exchangeErr *transport.ExchangeError
	switch {
	case err == nil:
		g.reportAnswered(call, attempt, status)
	case errors.As(err, &exchangeErr) && (exchangeErr.Reason == reason.AnswerLost || exchangeErr.Reason == reason.AnswerTruncated):
		g.investigateLoss(ctx, call, attempt, exchangeErr.Reason)
		return
	}
	attempt.sentinel.close()
}

// TargetTerminated reports to the crash guard that, according to the store, an incarnation of a target is gone. The argument
// lastSeen is the time of the target's last load report since the start of the process, 0 if unknown. The argument restarted
// is true if the target is registered again under the same id.
func (g *Gateway) TargetTerminated(target string, lastSeen time.Duration, restarted bool) {
	switch {
	case !g.crashGuard.Active():
	case restarted:
		g.crashGuard.TargetRestarted(g.Now(), target, lastSeen)
	default:
		g.crashGuard.TargetTerminated(g.Now(), target, lastSeen)
	}
}
