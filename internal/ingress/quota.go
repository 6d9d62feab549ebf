package ingress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/reason"
)

// creditState is what has become of the latest credit of a request.
type creditState uint8

const (
	// noCredit means that none was acquired or is needed, or that it was given back.
	noCredit creditState = iota
	// creditHeld means that the credit was not spent. It is given back if the request ends.
	creditHeld
	// creditSpent means that a target may have run the request with it.
	creditSpent
)

// quotaCredit is the credit of one request for the quota of its workspace. It is not safe for concurrent use. The zero value
// belongs to a request without a quota.
type quotaCredit struct {
	source credit.Source
	state  creditState
	grant  credit.Grant
}

// ownerTimeout bounds, from the start on, how long requests wait until an owner of the shared limits is known. After a restart of
// all instances the first one becomes the owner within some hundred milliseconds, and callers that are refused then have often
// used up their retries.
const ownerTimeout = 700 * time.Millisecond

// CreditExpiredError reports that the credit of a request expired before the request was sent.
type CreditExpiredError struct{ Since time.Duration }

func (e *CreditExpiredError) Error() string {
	return fmt.Sprintf("the credit for the quota expired %s ago", e.Since.Round(time.Millisecond))
}

// acquireCredit acquires a credit for the next transmission of a request, unless it holds one that is valid. It returns a refusal
// if there is none. Requests without a quota need none.
func (g *Gateway) acquireCredit(ctx context.Context, call *call) *result {
	w := call.caller.Workspace
	if w == nil || w.Rate <= 0 || g.Credit == nil {
		return nil
	}
	q := &call.quota
	q.source = g.Credit
	if q.state == creditHeld && g.Now() < q.grant.ExpiresAt {
		return nil
	}
	q.giveBack()
	key := credit.Key{Kind: credit.WorkspaceQuota, Name: w.Name}
	limit := credit.NewLimit(w.Rate, w.Burst, call.table.Version)
	grant, denial := g.acquireFromOwner(ctx, key, limit)
	if denial != nil {
		return g.refuseWithoutCredit(ctx, call, denial)
	}
	if grant != (credit.Grant{}) {
		q.grant, q.state = grant, creditHeld
	}
	return nil
}

// acquireFromOwner acquires a credit. During the first ownerTimeout after Open it waits until an owner is known.
func (g *Gateway) acquireFromOwner(ctx context.Context, key credit.Key, limit credit.Limit) (credit.Grant, *credit.Denial) {
	for {
		grant, denial := g.Credit.Acquire(ctx, key, limit)
		if denial == nil || !denial.Unavailable || ctx.Err() != nil || g.Now() >= g.openedAt+ownerTimeout {
			return grant, denial
		}
		time.Sleep(viewPollInterval)
	}
}

// refuseWithoutCredit returns the refusal of a request that got no credit.
func (g *Gateway) refuseWithoutCredit(ctx context.Context, call *call, denial *credit.Denial) *result {
	refusal := reason.QuotaExceeded
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		refusal = reason.CallerLeftEarly
	case denial.Unavailable || ctx.Err() != nil:
		refusal = reason.QuotaUnavailable
	}
	r := g.refuseUnsent(call, refusal)
	if denial.RetryAfter > 0 {
		r.retryAfter = denial.RetryAfter
	}
	return r
}

// spend spends the credit of a request that is sent now. It returns a *CreditExpiredError if another one is needed first.
func (q *quotaCredit) spend(now time.Duration) error {
	if q.state != creditHeld {
		return nil
	}
	if now >= q.grant.ExpiresAt {
		return &CreditExpiredError{now - q.grant.ExpiresAt}
	}
	q.state = creditSpent
	return nil
}

// regain makes a spent credit usable again after no target ran the request.
func (q *quotaCredit) regain() {
	if q.state == creditSpent {
		q.state = creditHeld
	}
}

// lend gives the credit back when it would otherwise be lost, while the request waits. The returned function ends that. The request
// then needs another credit if this one went back.
func (q *quotaCredit) lend(now time.Duration) (end func()) {
	left := q.grant.ReturnBy - now
	if q.state != creditHeld || left <= 0 {
		return func() {}
	}
	returned := make(chan struct{})
	timer := time.AfterFunc(left, func() {
		defer close(returned)
		q.source.Return(q.grant)
	})
	return func() {
		if !timer.Stop() {
			<-returned
			q.state = noCredit
		}
	}
}

// giveBack returns the credit to its source unless it is spent. Further calls have no effect.
func (q *quotaCredit) giveBack() {
	if q.state == creditHeld {
		q.state = noCredit
		q.source.Return(q.grant)
	}
}
