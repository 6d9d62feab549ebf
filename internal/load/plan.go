package load

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Maximum values of the fields of a Plan. MaxRate is in requests per second.
const (
	MaxRate        = 100_000
	MaxCount       = 10_000_000
	MaxDuration    = time.Hour
	MaxConnections = 4096
	MaxTimeout     = time.Hour
)

// Arrival selects how the due times of requests are spaced.
type Arrival string

// Accepted values of Arrival.
const (
	// Fixed spaces requests evenly in time.
	Fixed Arrival = "fixed"
	// Poisson draws independent, exponentially distributed gaps, as many independent callers would produce.
	Poisson Arrival = "poisson"
)

// Plan describes a run of the load generator. It must not be modified during the run.
type Plan struct {
	// URL is an absolute http URL with an IP address and port.
	URL    string
	Method string
	Body   string
	// Header holds additional request headers.
	Header map[string]string
	// IDHeader is the name of a header that carries a unique value in each request. If it is empty, none is sent.
	IDHeader string
	// Rate is the number of requests due per second.
	Rate    float64
	Arrival Arrival
	// Count is the number of requests after which the run ends. 0 means no limit.
	Count int
	// Duration is the time after which no more requests are sent.
	Duration time.Duration
	// Connections is the maximum number of requests in flight. A request that is due while all connections are in use
	// waits, and its wait counts towards its latency.
	Connections int
	// Timeout is the time limit for one answer. It is also sent in a header of the request.
	Timeout time.Duration
	// Seed initializes the random numbers, so that runs with the same seed have the same due times.
	Seed uint64
	// AllowRemote permits addresses other than loopback addresses.
	AllowRemote bool
}

// PlanError reports an invalid value of a plan.
type PlanError struct {
	Key      string
	Value    string
	Accepted string
}

func (e *PlanError) Error() string {
	return fmt.Sprintf("%s: value %q is not accepted; accepted: %s", e.Key, e.Value, e.Accepted)
}

// Validate returns a *PlanError for the first invalid value.
func (p *Plan) Validate() error {
	if _, err := p.address(); err != nil {
		return err
	}
	if !(p.Rate > 0 && p.Rate <= MaxRate) {
		return &PlanError{"rate", fmt.Sprint(p.Rate), fmt.Sprintf("above 0, to %d per second", MaxRate)}
	}
	if p.Arrival != Fixed && p.Arrival != Poisson {
		return &PlanError{"arrival", string(p.Arrival), "fixed, poisson"}
	}
	if p.Count < 0 || p.Count > MaxCount {
		return &PlanError{"count", fmt.Sprint(p.Count), fmt.Sprintf("0 to %d", MaxCount)}
	}
	if p.Connections < 1 || p.Connections > MaxConnections {
		return &PlanError{"connections", fmt.Sprint(p.Connections), fmt.Sprintf("1 to %d", MaxConnections)}
	}
	if p.Duration <= 0 || p.Duration > MaxDuration {
		return &PlanError{"duration", p.Duration.String(), "above 0, to " + MaxDuration.String()}
	}
	if p.Timeout < time.Millisecond || p.Timeout > MaxTimeout {
		return &PlanError{"timeout", p.Timeout.String(), "1ms to " + MaxTimeout.String()}
	}
	return nil
}

// address returns the host and port of the URL, or a *PlanError.
func (p *Plan) address() (string, error) {
	parsed, err := url.Parse(p.URL)
	if err != nil || parsed.Scheme != "http" {
		return "", &PlanError{"url", p.URL, "a URL such as http://127.0.0.1:8080/flightdesk/slots"}
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	if err != nil {
		return "", &PlanError{"url", p.URL, "an IP address with a port as host"}
	}
	if !address.Addr().IsLoopback() && !p.AllowRemote {
		return "", &PlanError{"url", p.URL, "a loopback address, unless -allow-remote is given"}
	}
	return parsed.Host, nil
}
