package ingress

import (
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// AuthorizationError reports that a request was not sent because its key was taken away or the keys got outdated while it waited.
type AuthorizationError struct{ Refusal *reason.Reason }

func (e *AuthorizationError) Error() string {
	return fmt.Sprintf("the key of the request may no longer be used: %s", e.Refusal.Name)
}

// authorize identifies the workspace of a request. keysCurrent has to be determined before the view of the call was loaded. A
// request is refused while the keys are outdated, whatever its key: an unknown one may be new.
func (g *Gateway) authorize(call *call, keysCurrent bool) *reason.Reason {
	if !call.table.RequiresKeys() || call.route.Public {
		return nil
	}
	if !keysCurrent {
		return reason.KeysOutdated
	}
	caller, ok := g.keyHeaders.Identify(call.table, call.request.Header.RawHeaders())
	if !ok {
		return reason.UnknownKey
	}
	call.caller = caller
	return nil
}

// ServesKeys reports whether requests with keys are served, as far as the age of the keys decides it. It is safe for concurrent
// use.
func (g *Gateway) ServesKeys() bool {
	current := g.Keys.IsCurrent(g.Now())
	view := g.View()
	return view == nil || !view.Table.RequiresKeys() || current
}

// reauthorize checks again whether a request with a key may be sent. Its key may have been taken away while it waited, or the
// process was suspended and the keys got outdated.
func (g *Gateway) reauthorize(call *call, now time.Duration) *reason.Reason {
	if call.caller.Workspace == nil {
		return nil
	}
	if !g.Keys.IsCurrent(now) {
		return reason.KeysOutdated
	}
	table := g.View().Table
	if table == call.table || !table.RequiresKeys() || call.caller.HoldsKeyIn(table) {
		return nil
	}
	return reason.UnknownKey
}

// refuseUnsent returns the result of a request that is not sent to a further target. If an earlier one may have run it, the
// refusal must not promise the opposite.
func (g *Gateway) refuseUnsent(call *call, refusal *reason.Reason) *result {
	if call.mayHaveRun {
		return &result{failure: reason.AnswerLost, cause: refusal}
	}
	r := newRefusal(refusal)
	r.retryAfter = refusalRetryAfter(refusal)
	return r
}

// refusalRetryAfter returns the Retry-After of requests that are refused before a target is chosen. A caller whose key is unknown
// is not to retry.
func refusalRetryAfter(refusal *reason.Reason) time.Duration {
	if refusal == reason.UnknownKey {
		return 0
	}
	return notReadyRetryAfter
}
