package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

const (
	// crashCheckTimeout bounds the check whether a target that lost an answer has terminated. On a busy machine, a
	// terminating process accepted connections for more than 20 ms after it had closed the one with the request.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckBackoff is the initial delay between two connections of a check. It doubles each time, so that a target
	// that accepts and closes connections sees at most 8 of them.
	crashCheckBackoff = time.Millisecond
)

// OnCrashMark sets the function that sends crash marks to peers. The function must not block. OnCrashMark must be called
// before Run.
func (g *Gateway) OnCrashMark(send func(key string, payload []byte)) { g.onCrashMark = send }

func (g *Gateway) spreadCrashMark(f crashguard.Fingerprint, data []byte) {
	if g.onCrashMark != nil {
		g.onCrashMark(f.String(), data)
	}
}

// MergeCrashMark merges a crash mark received from a peer and reports whether it changed anything. It returns false for
// a malformed mark.
func (g *Gateway) MergeCrashMark(key string, payload []byte) bool {
	f, err := crashguard.ParseFingerprint(key)
	if err != nil {
		return false
	}
	changed, err := g.crashGuard.Receive(g.now(), f, payload)
	return changed && err == nil
}

// CrashDigest returns a digest of the known crash marks, or 0 if there are none.
func (g *Gateway) CrashDigest() uint64 { return g.crashGuard.Digest(g.now()) }

// EachCrashMark calls add for each known crash mark.
func (g *Gateway) EachCrashMark(add func(key string, payload []byte)) {
	g.crashGuard.ForEachMark(g.now(), func(f crashguard.Fingerprint, data []byte, _ bool) { add(f.String(), data) })
}

// awaitCrashAdmission returns at once for a request that is not suspect. A suspect (a request to which a crash is
// attributed) waits until the crash guard lets it run. Every successful call must be followed by Release on the returned
// admission.
func (g *Gateway) awaitCrashAdmission(ctx context.Context, call *call) (crashguard.Admission, *reason.Reason) {
	for g.crashGuard.Active() {
		admission, wait, refused := g.crashGuard.Admit(g.now(), call.crashFingerprint())
		if refused {
			return admission, reason.CrashSuspect
		}
		if wait == nil {
			return admission, nil
		}
		if refusal := awaitBriefly(ctx, wait); refusal != nil {
			return admission, refusal
		}
	}
	return crashguard.Admission{}, nil
}

// awaitBriefly waits for an event for at most crashguard.PollInterval. It returns a reason only if ctx ends.
func awaitBriefly(ctx context.Context, event <-chan struct{}) *reason.Reason {
	waitCtx, cancel := context.WithTimeout(ctx, crashguard.PollInterval)
	defer cancel()
	if refusal := await(waitCtx, event); ctx.Err() != nil {
		return refusal
	}
	return nil
}

// await waits for an event and returns nil, or the reason why the request can wait no longer.
func await(ctx context.Context, event <-chan struct{}) *reason.Reason {
	select {
	case <-event:
		return nil
	case <-ctx.Done():
		if ctx.Err() == context.Canceled {
			return reason.CallerLeftEarly
		}
		return reason.DeadlineTooShort
	}
}

// crashFingerprint returns the fingerprint of the request's content and caches it.
func (call *call) crashFingerprint() crashguard.Fingerprint {
	if call.fingerprint == nil {
		f := crashguard.FingerprintOf(call.serviceName, string(call.request.Header.Method()), call.uri, call.request.Body())
		call.fingerprint = &f
	}
	return *call.fingerprint
}

// pick selects a target that has not been attempted yet and returns its index. A suspect request waits for a target that
// no other suspect uses.
func (g *Gateway) pick(ctx context.Context, call *call, admission *crashguard.Admission, attempted []int) (int, *reason.Reason) {
	for {
		targetReleased := g.targetReleased(admission)
		excluded := attempted
		for {
			index, ok := call.service.Policy.Pick(balancer.Request{Now: g.now(), Random: randomNumber(), Excluded: excluded})
			if !ok {
				break
			}
			if !admission.Suspect() || admission.ReserveTarget(call.service.Targets[index].Address) {
				return index, nil
			}
			excluded = append(slices.Clone(excluded), index)
		}
		if len(excluded) == len(attempted) {
			return 0, reason.NoTarget
		}
		if refusal := await(ctx, targetReleased); refusal != nil {
			return 0, refusal
		}
	}
}

// targetReleased returns the channel that signals a target free of suspects, or nil for a request that is not suspect.
func (g *Gateway) targetReleased(admission *crashguard.Admission) <-chan struct{} {
	if !admission.Suspect() {
		return nil
	}
	return g.crashGuard.TargetReleased()
}

// reportAttempt reports the result of an attempt to the crash guard.
func (g *Gateway) reportAttempt(ctx context.Context, call *call, address string, r *result) {
	switch {
	case r.failureReason == nil:
		g.recordIncarnation(address, r.answer)
		g.reportAnswer(ctx, call, address, r)
	case r.failureReason == reason.ConnectionRefused && errors.Is(r.cause, syscall.ECONNREFUSED):
		if g.crashGuard.Active() {
			g.crashGuard.TargetTerminated(g.now(), address, 0)
		}
	case isLostAnswer(r.failureReason):
		g.reportLoss(ctx, call, address)
	}
}

// isLostAnswer reports whether a failure may be caused by a crash of the target.
func isLostAnswer(failure *reason.Reason) bool {
	return failure == reason.AnswerLost || failure == reason.AnswerTruncated
}

// reportAnswer reports a completely buffered answer to the crash guard, which clears the request of suspicion. A 5xx answer
// is not reported, because it does not show that the request is harmless. Of a streamed answer, only a loss is reported.
func (g *Gateway) reportAnswer(ctx context.Context, call *call, address string, r *result) {
	if r.answer.FullyBuffered() {
		if r.answer.Response.StatusCode() >= http.StatusInternalServerError {
			return
		}
		if g.crashGuard.RecordsAnswers(!call.atMostOnce, len(call.request.Body())) {
			g.crashGuard.Answered(g.now(), call.crashFingerprint())
		}
		return
	}
	onFinish := r.onFinish
	r.onFinish = func(err error) {
		onFinish(err)
		var failure *transport.ExchangeError
		if errors.As(err, &failure) && isLostAnswer(failure.Reason) {
			g.reportLoss(context.WithoutCancel(ctx), call, address)
		}
	}
}

// reportLoss reports a lost answer and checks immediately whether the target has terminated, so that a retry already
// runs as a suspect.
func (g *Gateway) reportLoss(ctx context.Context, call *call, address string) {
	incarnation, _ := g.incarnations.Load(address)
	known, _ := incarnation.(string)
	g.crashGuard.ConnectionLost(g.now(), call.crashFingerprint(), crashguard.Attempt{Target: address, Incarnation: known}, 0)
	if refusesConnections(ctx, address) {
		g.crashGuard.TargetTerminated(g.now(), address, 0)
	}
}

// refusesConnections reports whether a target refuses connections. The kernel still accepts connections for a process
// that is terminating, so an open connection proves nothing: the check ends when the target answers "OPTIONS *", when it
// refuses a connection, or after crashCheckTimeout.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	for delay := crashCheckBackoff; ctx.Err() == nil; delay *= 2 {
		answered, err := answersOptions(ctx, address)
		if answered || errors.Is(err, syscall.ECONNREFUSED) {
			return !answered
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	return false
}

// answersOptions opens a connection, sends "OPTIONS *" and reports whether the target sends anything back. The error
// says why the connection could not be opened.
func answersOptions(ctx context.Context, address string) (bool, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	_, _ = conn.Write([]byte("OPTIONS * HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n"))
	n, _ := conn.Read(make([]byte, 1))
	return n > 0, nil
}

// recordIncarnation stores the incarnation that a target reports in an answer.
func (g *Gateway) recordIncarnation(address string, answer *transport.Answer) {
	seen := answer.Response.Header.Peek(header.TargetIncarnation)
	if len(seen) == 0 {
		return
	}
	known, _ := g.incarnations.Load(address)
	if text, ok := known.(string); !ok || text != string(seen) {
		g.incarnations.Store(address, string(seen))
	}
	if g.crashGuard.Active() {
		g.crashGuard.IncarnationSeen(g.now(), address, string(seen))
	}
}
