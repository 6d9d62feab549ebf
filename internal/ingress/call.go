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
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/routes"
)

// notReadyRetryAfter is when callers should come back whom an instance refuses because it has just started or knows no
// target. Another instance may serve them at once.
const notReadyRetryAfter = 50 * time.Millisecond

// answerMargin is kept from a caller's time for the answer's way back.
const answerMargin = 10 * time.Millisecond

// call is one request of a caller. It is used by one goroutine.
type call struct {
	request       *protocol.Request
	id            string
	uri           string
	route         *routes.Entry
	service       string
	pool          *dispatch.Pool
	configVersion uint64
	arrivedAt     time.Duration
	// deadline is when an answer is worth nothing to the caller or its route.
	deadline        time.Duration
	dispatchRequest dispatch.Request
	attempts        int
	waited          time.Duration
	lastDecision    dispatch.Decision
	// caller is the address of the caller's machine, and print the fingerprint of the request once it is known.
	callerIP          string
	cachedFingerprint crashguard.Fingerprint
	hasFingerprint    bool
}

// parse selects the route of a request. The view stays the same until the request has ended.
func (g *Gateway) parse(c *app.RequestContext, arrived time.Duration) (*call, *reason.Reason) {
	call := &call{request: &c.Request, arrivedAt: arrived, id: string(c.Request.Header.Peek(g.Headers.RequestID))}
	view := g.awaitView()
	if view == nil {
		return call, reason.NotReady
	}
	call.configVersion = view.Table.Version
	call.uri = inbound.OriginForm(string(c.Request.RequestURI()))
	call.route = view.Table.Match(string(c.Request.Header.Host()), pathOf(call.uri))
	if call.route == nil {
		return call, reason.UnknownRoute
	}
	call.service = call.route.Next()
	call.pool = view.Pools[call.service]
	call.deadline = arrived + call.route.Timeout - answerMargin
	if left, ok := g.callerTimeout(c); ok {
		call.deadline = min(call.deadline, arrived+left-answerMargin)
	}
	call.dispatchRequest = dispatch.Request{
		Route: call.route.Name, Priority: call.route.Priority, Objective: call.route.LatencyObjective,
		Arrived: arrived, Deadline: call.deadline, RequestBytes: len(c.Request.Body()),
	}
	if call.pool == nil {
		return call, reason.NoTarget
	}
	return call, nil
}

const (
	// viewWait is how long a request waits for the first configuration after a start, which takes some milliseconds.
	viewTimeout = 250 * time.Millisecond
	// viewPoll is the interval of looking for it.
	viewPollInterval = 5 * time.Millisecond
)

// awaitView returns the current view. Just after the start it waits for the first one.
func (g *Gateway) awaitView() *View {
	view := g.View()
	for end := g.openedAt + viewTimeout; view == nil && g.Now() < end; view = g.View() {
		time.Sleep(viewPollInterval)
	}
	return view
}

func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

func (g *Gateway) callerTimeout(c *app.RequestContext) (time.Duration, bool) {
	value := c.Request.Header.Peek(g.Headers.DeadlineMS)
	ms, err := strconv.ParseFloat(string(value), 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// serve takes one request from parsing to its answer. It returns an error when the answer could not be written
// completely.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext, arrived time.Duration) error {
	call, refusal := g.parse(c, arrived)
	if c.Request.Header.ConnectionClose() {
		c.Response.Header.SetConnectionClose(true)
	}
	if refusal != nil {
		r := newRefusal(refusal)
		r.retryAfter = notReadyRetryAfter
		return g.writeRefusal(c, call, r)
	}
	call.setCallerIP(c)
	call.pool.RecordRequest()
	ctx, cancel := context.WithTimeout(ctx, call.deadline-g.Now())
	defer cancel()
	outcome := g.execute(ctx, call)
	defer outcome.release()
	if outcome.answer == nil {
		return g.writeRefusal(c, call, outcome)
	}
	err := g.writeAnswer(c, call, outcome)
	if outcome.streaming != nil {
		g.reportStreamEnd(ctx, call, outcome.streaming, outcome.answer.Response.StatusCode(), err)
	}
	return err
}
