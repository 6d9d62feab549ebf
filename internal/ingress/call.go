package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/workspace"
)

// notReadyRetryAfter is the Retry-After of requests that are refused before a target is chosen, for example because the
// instance has just started. It is short because another instance may serve the request at once.
const notReadyRetryAfter = 50 * time.Millisecond

// answerMargin is subtracted from each deadline to leave time for sending the answer back to the caller.
const answerMargin = 10 * time.Millisecond

// call is the state of one caller's request. It is not safe for concurrent use. Its times are durations since the start
// of the process, as returned by Config.Now.
type call struct {
	request *protocol.Request
	// conn is the connection of the caller.
	conn *inbound.Conn
	// id is the caller's request id, empty if the request has none.
	id string
	// uri is the path and query.
	uri   string
	table *routes.Table
	route *routes.Entry
	// caller is the workspace of the request and its key.
	caller workspace.Caller
	quota  quotaCredit
	// mayHaveRun is true once a target may have run the request, so that no later answer may promise that none did.
	mayHaveRun    bool
	service       string
	pool          *dispatch.Pool
	configVersion uint64
	arrivedAt     time.Duration
	// deadline is the earlier one of the caller's deadline and the route's timeout, less answerMargin.
	deadline        time.Duration
	dispatchRequest dispatch.Request
	// attempts counts the targets that the request was sent to.
	attempts int
	// waited is the time from the arrival to the last decision.
	waited       time.Duration
	lastDecision dispatch.Decision
	callerIP     string
	// memory is what the request may hold in memory.
	memory *membudget.Grant
	// answering is true once the answer to the caller may have begun.
	answering bool
	// cachedFingerprint is valid if hasFingerprint is set.
	cachedFingerprint crashguard.Fingerprint
	hasFingerprint    bool
}

// parse selects the route, workspace, service and target pool of a request. All of them come from one view, so that a
// configuration change does not affect a request that is already being served, unless it takes the key of the request away.
func (g *Gateway) parse(c *app.RequestContext, call *call) *reason.Reason {
	if g.awaitView() == nil {
		return reason.NotReady
	}
	keysCurrent := g.Keys.IsCurrent(g.Now())
	view := g.View()
	call.table, call.configVersion = view.Table, view.Table.Version
	call.uri = inbound.OriginForm(string(c.Request.RequestURI()))
	call.route = view.Table.Match(string(c.Request.Header.Host()), pathOf(call.uri))
	if call.route == nil {
		return reason.UnknownRoute
	}
	if refusal := g.authorize(call, keysCurrent); refusal != nil {
		return refusal
	}
	call.service = call.route.NextService()
	if call.route.IsSplit() {
		g.Counter.SplitChosen(call.route.Name, call.service)
	}
	call.pool = view.Pools[call.service]
	call.deadline = call.arrivedAt + call.route.Timeout - answerMargin
	if timeout, ok := g.callerTimeout(c); ok {
		call.deadline = min(call.deadline, call.arrivedAt+timeout-answerMargin)
	}
	call.dispatchRequest = dispatch.Request{
		Route: call.route.Name, Workspace: call.caller.Name(), Priority: workspace.Priority(call.caller, &call.route.Route),
		Objective: call.route.LatencyObjective, Arrived: call.arrivedAt, Deadline: call.deadline, RequestBytes: len(c.Request.Body()),
	}
	if call.pool == nil {
		return reason.NoTarget
	}
	return nil
}

const (
	// viewTimeout bounds, from the start on, how long requests wait for the first configuration. It usually arrives within
	// a few milliseconds.
	viewTimeout = 250 * time.Millisecond
	// viewPollInterval is the interval between checks for the first configuration.
	viewPollInterval = 5 * time.Millisecond
)

// awaitView returns the current view. During the first viewTimeout after Open it waits for the first one. It returns nil
// if there is none.
func (g *Gateway) awaitView() *View {
	view := g.View()
	for deadline := g.openedAt + viewTimeout; view == nil && g.Now() < deadline; view = g.View() {
		time.Sleep(viewPollInterval)
	}
	return view
}

// pathOf returns a URI without its query.
func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

// callerTimeout returns the time that the caller grants for its request. It returns false if the deadline header is missing
// or is not a positive number of milliseconds.
func (g *Gateway) callerTimeout(c *app.RequestContext) (time.Duration, bool) {
	value := c.Request.Header.Peek(g.Headers.DeadlineMS)
	ms, err := strconv.ParseFloat(string(value), 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// serve routes one request, forwards it and writes the answer or refusal. It returns an error if the answer was not written
// completely.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext, call *call) error {
	refusal := g.parse(c, call)
	if c.Request.Header.ConnectionClose() {
		c.Response.Header.SetConnectionClose(true)
	}
	if refusal != nil {
		r := newRefusal(refusal)
		r.retryAfter = refusalRetryAfter(refusal)
		return g.writeRefusal(c, call, r)
	}
	call.setCallerIP(c)
	ctx, cancel := context.WithTimeout(ctx, call.deadline-g.Now())
	defer cancel()
	defer call.quota.giveBack()
	res := g.acquireCredit(ctx, call)
	if res == nil {
		call.pool.RecordRequest()
		res = g.execute(ctx, call)
	}
	call.quota.giveBack()
	defer res.release()
	defer res.streaming.closeSentinel()
	if res.answer == nil {
		return g.writeRefusal(c, call, res)
	}
	err := g.writeAnswer(c, call, res)
	if now := g.Now(); err == nil {
		g.durations.observe(call.route.Name, now-call.lastDecision.SentAt(), now)
	}
	if res.streaming != nil {
		g.reportStreamEnd(ctx, call, res.streaming, res.answer.Response.StatusCode(), err)
	}
	return err
}
