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
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/operator"
)

const (
	maxAttempts     = 8
	defaultAttempts = 3
	// maxCallerBytes bounds the memory of one caller's name.
	maxCallerBytes = 64
)

// call is a caller's request after parsing.
type call struct {
	// request is the caller's request. It is valid until the answer was written.
	request *protocol.Request
	// serviceName is empty unless the service is in force.
	serviceName string
	service     *control.Service
	class       *operator.Class
	// caller identifies the caller for fair sharing.
	caller string
	// uri is the path and query that the target sees.
	uri string
	// once means that the request runs at most once.
	once bool
	// forwarded means that another instance passed the request on.
	forwarded bool
	timeout   time.Duration
	attempts  int
	// maybeRan is set when an attempt may have reached a target.
	maybeRan bool
	// fingerprint identifies the content for the crash guard once it was needed.
	fingerprint *crashguard.Fingerprint
	// waited is the time spent in exchanges with targets.
	waited time.Duration
	// end is how the last attempt ended.
	end admission.Result
}

// parse reads the routing headers of a request. The returned call names the service only if it is in force.
func (g *Gateway) parse(c *app.RequestContext) (*call, *reason.Reason) {
	parsed := &call{request: &c.Request, caller: callerOf(c), end: admission.Other}
	var name string
	name, parsed.uri = splitService(string(c.GetHeader(header.Service)), inbound.OriginForm(string(c.Request.RequestURI())))
	snapshot := g.snapshot()
	if snapshot == nil {
		return parsed, reason.NotReady
	}
	parsed.service = snapshot.Services[name]
	if parsed.service == nil {
		return parsed, reason.UnknownService
	}
	parsed.serviceName = name
	if refusal := parsed.readHeaders(c); refusal != nil {
		return parsed, refusal
	}
	if g.inFlight.draining.Load() && (!parsed.once || len(c.GetHeader(header.Ticket)) == 0) {
		return parsed, reason.NotReady
	}
	return parsed, nil
}

func (p *call) readHeaders(c *app.RequestContext) *reason.Reason {
	pathOnly, _, _ := strings.Cut(p.uri, "?")
	p.class = p.service.Class(string(c.GetHeader(header.Class)), string(c.Method()), pathOnly)
	if p.class == nil {
		return reason.UnknownClass
	}
	p.forwarded = string(c.GetHeader(header.Forwarded)) == "1"
	// A forwarded request runs at most once even if the owner's configuration still calls its class repeatable.
	p.once = !p.class.Repeatable || p.forwarded
	timeoutMS, ok := boundedInt(string(c.GetHeader(header.TimeoutMS)), p.class.TimeoutMS, operator.MaxTimeoutMS)
	if !ok {
		return reason.BadTimeout
	}
	p.timeout = time.Duration(min(timeoutMS, p.class.TimeoutMS)) * time.Millisecond
	p.attempts, ok = boundedInt(string(c.GetHeader(header.Attempts)), defaultAttempts, maxAttempts)
	if !ok {
		return reason.BadAttempts
	}
	return nil
}

// splitService returns the service name and the URI for the target. The name comes from the header, or from
// the first path segment, which is then removed.
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

// callerOf returns the name that the caller gives itself, or its IP address.
func callerOf(c *app.RequestContext) string {
	if name := c.GetHeader(header.Caller); len(name) > 0 {
		return string(name[:min(len(name), maxCallerBytes)])
	}
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

func boundedInt(text string, missing, highest int) (int, bool) {
	if text == "" {
		return missing, true
	}
	// A sign is not accepted: ParseUint reads digits only.
	n, err := strconv.ParseUint(text, 10, 31)
	return int(n), err == nil && n >= 1 && int(n) <= highest
}
