package gateway

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/inbound"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/operator"
)

const (
	maxAttempts     = 8
	defaultAttempts = 3
	// maxCallerBytes limits the length of a caller's name, and thereby its memory.
	maxCallerBytes = 64
)

// call is a caller's request after parsing. It is used by one goroutine.
type call struct {
	// request is the caller's request. It is valid until the answer has been written.
	request *protocol.Request
	// conn is the connection of the caller, and memory what the request may hold in memory.
	conn   *inbound.Conn
	memory *membudget.Grant
	// serviceName is empty unless the active configuration contains the service.
	serviceName string
	service     *control.Service
	class       *operator.Class
	// caller identifies the caller for fair sharing.
	caller string
	// uri is the path and query that are sent to the target.
	uri string
	// atMostOnce is true for a request that may be executed at most once and therefore needs a ticket.
	atMostOnce bool
	// forwarded is true for a request that another instance forwarded to this one.
	forwarded    bool
	timeout      time.Duration
	attemptsLeft int
	// maybeRan is true once a target may have executed the request.
	maybeRan bool
	// fingerprint identifies the request's content for the crash guard. It is computed on first use.
	fingerprint *crashguard.Fingerprint
	// exchangeTime is the total time spent in exchanges with targets or other instances.
	exchangeTime time.Duration
	// answering is true once the answer to the caller may have begun.
	answering bool
	// lastResult is the result of the last attempt for admission control.
	lastResult admission.Result
}

// parse reads the routing headers of a request. The service name of the call is set only if the active configuration contains
// the service.
func (g *Gateway) parse(c *app.RequestContext, parsed *call) *reason.Reason {
	parsed.caller = callerName(c)
	var name string
	name, parsed.uri = splitService(string(c.GetHeader(header.Service)), inbound.OriginForm(string(c.Request.RequestURI())))
	snapshot := g.snapshot()
	if snapshot == nil {
		return reason.NotReady
	}
	parsed.service = snapshot.Services[name]
	if parsed.service == nil {
		return reason.UnknownService
	}
	parsed.serviceName = name
	if refusal := parsed.readHeaders(c); refusal != nil {
		return refusal
	}
	if g.inFlight.draining.Load() && (!parsed.atMostOnce || len(c.GetHeader(header.Ticket)) == 0) {
		return reason.NotReady
	}
	return nil
}

// readHeaders selects the request class and reads the timeout and the number of attempts.
func (p *call) readHeaders(c *app.RequestContext) *reason.Reason {
	pathOnly, _, _ := strings.Cut(p.uri, "?")
	p.class = p.service.Class(string(c.GetHeader(header.Class)), string(c.Method()), pathOnly)
	if p.class == nil {
		return reason.UnknownClass
	}
	p.forwarded = string(c.GetHeader(header.Forwarded)) == "1"
	// A forwarded request runs at most once even if this instance's configuration still marks its class as repeatable.
	p.atMostOnce = !p.class.Repeatable || p.forwarded
	timeoutMS, ok := parseBoundedInt(string(c.GetHeader(header.TimeoutMS)), p.class.TimeoutMS, operator.MaxTimeoutMS)
	if !ok {
		return reason.BadTimeout
	}
	p.timeout = time.Duration(min(timeoutMS, p.class.TimeoutMS)) * time.Millisecond
	p.attemptsLeft, ok = parseBoundedInt(string(c.GetHeader(header.Attempts)), defaultAttempts, maxAttempts)
	if !ok {
		return reason.BadAttempts
	}
	return nil
}

// splitService returns the service name and the URI for the target. The name is the value of the service header, or, if
// that is empty, the first path segment, which is removed from the URI.
func splitService(fromHeader, uri string) (string, string) {
	if fromHeader != "" {
		return fromHeader, uri
	}
	rest := strings.TrimPrefix(uri, "/")
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return rest, "/"
	}
	if rest[end] == '?' {
		return rest[:end], "/" + rest[end:]
	}
	return rest[:end], rest[end:]
}

// callerName returns the name from the caller header, truncated to maxCallerBytes, or else the caller's IP address.
func callerName(c *app.RequestContext) string {
	if name := c.GetHeader(header.Caller); len(name) > 0 {
		return string(name[:min(len(name), maxCallerBytes)])
	}
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// parseBoundedInt parses an integer from 1 to highest. It returns defaultValue for an empty text.
func parseBoundedInt(text string, defaultValue, highest int) (int, bool) {
	if text == "" {
		return defaultValue, true
	}
	// Unlike ParseInt, ParseUint rejects signs.
	n, err := strconv.ParseUint(text, 10, 31)
	return int(n), err == nil && n >= 1 && int(n) <= highest
}
