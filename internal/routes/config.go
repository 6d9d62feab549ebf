// Package routes holds the routing intent that is published as one document: routes that are selected by host and path
// prefix, the services behind them, and the limits for callers. All types are immutable once a Table is built.
package routes

import "time"

// Config is one version of the routing intent.
type Config struct {
	// Version orders configurations. A process never applies a lower version after a higher one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where requests for a host and path prefix go and what is promised to their callers.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may be sent to a further target after a failure. Others run at most once.
	Idempotent bool
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth its full value.
	LatencyObjective time.Duration
	// Priority ranks routes of one service. 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Split divides the requests over services by weight.
	Split []Share
}

// Share is one part of a weighted split.
type Share struct {
	Service string
	Weight  int
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// HealthPath answers at once with the load of the target.
	HealthPath string
	// MaxConnections bounds the connections that a target accepts from all callers.
	MaxConnections int
}

// Limits bounds what a caller may send and how long it may stay idle. A zero means that the default applies.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
