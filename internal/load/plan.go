package load

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Bounds of a run.
const (
	MaxRate        = 100_000
	MaxCount       = 10_000_000
	MaxDuration    = time.Hour
	MaxConnections = 4096
	MaxTimeout     = time.Hour
)

// Arrival names how the due times of requests are spaced.
type Arrival string

// Arrivals.
const (
	// Fixed spaces requests evenly.
	Fixed Arrival = "fixed"
	// Poisson draws independent exponential gaps, as from many independent callers.
	Poisson Arrival = "poisson"
)

// Plan describes a run.
type Plan struct {
	// URL is an absolute http URL with an IP address and port.
	URL    string
	Method string
	Body   string
	// Header holds further request headers.
	Header map[string]string
	// IDHeader names a header that carries a unique value in each request. Empty for none.
	IDHeader string
	// Rate is the number of requests due per second.
	Rate    float64
	Arrival Arrival
	// Count ends the run after this many requests. 0 for no limit.
	Count int
	// Duration ends the run after this time.
	Duration time.Duration
	// Connections bounds the requests in flight. A request that is due while all are in use waits, and the wait
	// counts as latency.
	Connections int
	// Timeout bounds the wait for one answer, and travels with the request.
	Timeout time.Duration
	// Seed makes the due times repeatable.
	Seed uint64
	// AllowRemote permits addresses other than loopback ones.
	AllowRemote bool
}

// PlanError reports a value of a plan that is not accepted.
type PlanError struct {
	Key      string
	Value    string
	Accepted string
}

func (e *PlanError) Error() string {
	return fmt.Sprintf("%s: value %q is not accepted; accepted: %s", e.Key, e.Value, e.Accepted)
}

// Check returns the first value that is not accepted as *PlanError.
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

// address returns the address to connect to.
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
