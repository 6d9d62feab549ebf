// Package routes defines the routing configuration, which is published as one document: routes that are selected by host
// and path prefix, the services behind them, and the limits for callers. A Config must not be changed once a Table is
// built from it.
package routes

import "time"

// Config is one version of the routing configuration.
type Config struct {
	// Version orders configurations. A process never replaces a configuration by one with a lower version.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces are those whose keys open the routes that are not public. Without any, routes need no key.
	Workspaces []Workspace
}

// Route defines where requests for a host and path prefix are sent, and the service level for their callers.
type Route struct {
	Name string
	Host string
	// PathPrefix must begin and end with a slash.
	PathPrefix string
	// Idempotent allows requests to be sent to a further target after a failure. Other requests run at most once.
	Idempotent bool
	// Timeout is the maximum time until the caller gets an answer.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer has its full value.
	LatencyObjective time.Duration
	// Priority ranks the routes of a service. 0 is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Split distributes the requests over services by weight.
	Split []Share
	// Public routes need no key.
	Public bool
}

// Share is the weight of one service in a split.
type Share struct {
	Service string
	Weight  int
}

// Service configures the targets of one service.
type Service struct {
	Name string
	// HealthPath is the path at which a target immediately reports its load.
	HealthPath string
	// MaxConnections is the maximum number of connections that a target accepts from all clients together.
	MaxConnections int
	// WarmupTime is how long a target is cold after its start.
	WarmupTime time.Duration
	// WarmupRate is the number of requests per second that a cold target tolerates from all instances together. 0 means that
	// cold targets need no limit.
	WarmupRate float64
}

// Limits bounds what a caller may send and how long it may stay idle. The default applies to a value of 0.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
