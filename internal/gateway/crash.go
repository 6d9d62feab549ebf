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
	// crashCheckTimeout bounds the look whether a target that lost an answer is gone. On a busy machine an ending
	// process was seen to accept connections for more than 20 ms after it had closed the one with the request.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckPause is the first pause between two connections of a look. It doubles each time, so that a target
	// that accepts and closes connections sees at most 8 of them.
	crashCheckPause = time.Millisecond
)

// historyBodyBytes bounds the body of the requests that the guard remembers as answered, because hashing a body of
// 1 MiB takes longer than the rest of a call.
const historyBodyBytes = 4 << 10

// OnCrashMark sets the function that passes crash marks on to peers. It must not block and is set before Run.
func (g *Gateway) OnCrashMark(spread func(key string, payload []byte)) { g.spreadMark = spread }

func (g *Gateway) spreadCrash(f crashguard.Fingerprint, data []byte) {
	if g.spreadMark != nil {
		g.spreadMark(f.String(), data)
	}
}

// ReceiveCrashMark merges a mark of a peer and reports whether it is news.
func (g *Gateway) ReceiveCrashMark(key string, payload []byte) bool {
	f, err := crashguard.ParseFingerprint(key)
	if err != nil {
		return false
	}
	news, err := g.guard.Receive(g.now(), f, payload)
	return news && err == nil
}

// CrashDigest identifies the crash marks, 0 for none.
func (g *Gateway) CrashDigest() uint64 { return g.guard.Digest(g.now()) }

// CrashMarks calls add for each crash mark.
func (g *Gateway) CrashMarks(add func(key string, payload []byte)) {
	g.guard.ForEachMark(g.now(), func(f crashguard.Fingerprint, data []byte, _ bool) { add(f.String(), data) })
}

// enterGuard admits a request that is not suspect, or waits for its turn as a suspect.
func (g *Gateway) enterGuard(ctx context.Context, call *call) (crashguard.Admission, *reason.Reason) {
	for g.guard.Active() {
		entry, wait, refused := g.guard.Admit(g.now(), call.identify())
		if refused {
			return entry, reason.CrashSuspect
		}
		if wait == nil {
			return entry, nil
		}
		if refusal := awaitBriefly(ctx, wait); refusal != nil {
			return entry, refusal
		}
	}
	return crashguard.Admission{}, nil
}

func awaitBriefly(ctx context.Context, event <-chan struct{}) *reason.Reason {
	brief, cancel := context.WithTimeout(ctx, crashguard.PollInterval)
	defer cancel()
	if refusal := await(brief, event); ctx.Err() != nil {
		return refusal
	}
	return nil
}

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

// identify returns the fingerprint of the request.
func (call *call) identify() crashguard.Fingerprint {
	if call.fingerprint == nil {
		f := crashguard.FingerprintOf(call.serviceName, string(call.request.Header.Method()), call.uri, call.request.Body())
		call.fingerprint = &f
	}
	return *call.fingerprint
}

// pick chooses a target. A suspect waits for one that no other suspect uses.
func (g *Gateway) pick(ctx context.Context, call *call, entry *crashguard.Admission, tried []int) (int, *reason.Reason) {
	for {
		vacated := g.vacated(entry)
		excluded := tried
		for {
			index, ok := call.service.Policy.Pick(balancer.Request{Now: g.now(), Random: randomNumber(), Excluded: excluded})
			if !ok {
				break
			}
			if !entry.Suspect() || entry.ReserveTarget(call.service.Targets[index].Address) {
				return index, nil
			}
			excluded = append(slices.Clone(excluded), index)
		}
		if len(excluded) == len(tried) {
			return 0, reason.NoTarget
		}
		if refusal := await(ctx, vacated); refusal != nil {
			return 0, refusal
		}
	}
}

func (g *Gateway) vacated(entry *crashguard.Admission) <-chan struct{} {
	if !entry.Suspect() {
		return nil
	}
	return g.guard.TargetReleased()
}

// judge tells the guard how an attempt ended.
func (g *Gateway) judge(ctx context.Context, call *call, address string, r *result) {
	switch {
	case r.why == nil:
		g.noteIncarnation(address, r.answer)
		g.judgeAnswer(ctx, call, address, r)
	case r.why == reason.ConnectionRefused && errors.Is(r.cause, syscall.ECONNREFUSED):
		if g.guard.Active() {
			g.guard.TargetTerminated(g.now(), address, 0)
		}
	case lostAnswer(r.why):
		g.judgeLoss(ctx, call, address)
	}
}

func lostAnswer(why *reason.Reason) bool {
	return why == reason.AnswerLost || why == reason.AnswerTruncated
}

// judgeAnswer clears a request whose answer is complete, for a stream at its end.
func (g *Gateway) judgeAnswer(ctx context.Context, call *call, address string, r *result) {
	if r.answer.Whole() {
		if r.answer.Response.StatusCode() >= http.StatusInternalServerError {
			return
		}
		if g.guard.Active() || !call.once && len(call.request.Body()) <= historyBodyBytes {
			g.guard.Answered(g.now(), call.identify())
		}
		return
	}
	ended := r.ended
	r.ended = func(err error) {
		ended(err)
		var failure *transport.ExchangeError
		if errors.As(err, &failure) && lostAnswer(failure.Reason) {
			g.judgeLoss(context.WithoutCancel(ctx), call, address)
		}
	}
}

// judgeLoss looks at once whether the target is gone, so that a retry already runs as a suspect.
func (g *Gateway) judgeLoss(ctx context.Context, call *call, address string) {
	incarnation, _ := g.incarnations.Load(address)
	known, _ := incarnation.(string)
	g.guard.ConnectionLost(g.now(), call.identify(), crashguard.Attempt{Target: address, Incarnation: known}, 0)
	if refusesConnections(ctx, address) {
		g.guard.TargetTerminated(g.now(), address, 0)
	}
}

// refusesConnections reports whether a target refuses connections. The kernel still accepts them for a process that is
// just ending, so that a connection proves nothing: the look ends when the target answers "OPTIONS *" or refuses.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	for pause := crashCheckPause; ctx.Err() == nil; pause *= 2 {
		answered, err := answersOptions(ctx, address)
		if answered || errors.Is(err, syscall.ECONNREFUSED) {
			return !answered
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return false
}

// answersOptions reports whether a target sends anything back on a new connection, or why no connection was opened.
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

// noteIncarnation remembers which incarnation of a target answered.
func (g *Gateway) noteIncarnation(address string, answer *transport.Answer) {
	seen := answer.Response.Header.Peek(header.TargetIncarnation)
	if len(seen) == 0 {
		return
	}
	known, _ := g.incarnations.Load(address)
	if text, ok := known.(string); !ok || text != string(seen) {
		g.incarnations.Store(address, string(seen))
	}
	if g.guard.Active() {
		g.guard.IncarnationSeen(g.now(), address, string(seen))
	}
}
