// Package settings reads the daemon's start-up settings. They are separate from
// the routing intent, which changes while the daemon runs.
//
// The tags of each field are the one place that states its unit, default and
// accepted values: defaults, validation, error messages and the table in
// docs/operators.md derive from them.
package settings

import "time"

// Settings are the start-up settings of an instance.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peer     Peer     `toml:"peer"`
	Balancer Balancer `toml:"balancer"`
	Limits   Limits   `toml:"limits"`
	Tickets  Tickets  `toml:"tickets"`
	Drain    Drain    `toml:"drain"`
	Log      Log      `toml:"log"`
}

// Instance identifies this instance.
type Instance struct {
	// ID is unique in the fleet.
	ID string `toml:"id" accept:"name"`
	// Zone is the availability zone of this instance.
	Zone string `toml:"zone" accept:"name"`
}

// Listen holds the addresses that this instance listens on.
type Listen struct {
	// Caller accepts requests of callers.
	Caller string `toml:"caller" accept:"address"`
	// Admin serves liveness, readiness, metrics, status and explanations.
	Admin string `toml:"admin" accept:"address"`
	// Peer accepts connections of other instances.
	Peer string `toml:"peer" accept:"address"`
}

// Platform locates the platform's services.
type Platform struct {
	// Address is the address of the log service and the instance list.
	Address string `toml:"address" accept:"address"`
}

// Peer configures the connections between instances.
type Peer struct {
	// Secret authenticates instances to each other. It is the same on all of them.
	Secret string `toml:"secret" accept:"length:16..256"`
	// Seeds are peer addresses to contact while the instance list is unavailable.
	Seeds []string `toml:"seeds" accept:"addresses" default:"none"`
}

// Balancer configures target selection.
type Balancer struct {
	// Policy names the selection policy.
	Policy string `toml:"policy" accept:"policy" default:"combined"`
}

// Limits bounds what one request may cost.
type Limits struct {
	// MaxRequestBodyBytes is the largest accepted request body.
	MaxRequestBodyBytes int `toml:"max_request_body_bytes" unit:"bytes" accept:"range:1..67108864" default:"1048576"`
	// MaxHeaderBytes is the largest accepted total of request headers.
	MaxHeaderBytes int `toml:"max_header_bytes" unit:"bytes" accept:"range:1024..1048576" default:"16384"`
	// MaxAnswerBytes is the largest answer of a target.
	MaxAnswerBytes int `toml:"max_answer_bytes" unit:"bytes" accept:"range:1024..1073741824" default:"67108864"`
}

// Tickets bounds what is remembered of requests that may not be repeated.
type Tickets struct {
	// MaxOperations bounds the requests whose outcome is remembered, each for 10 min. Further ones are refused as not run.
	// Each takes about 0.5 KB of memory.
	MaxOperations int `toml:"max_operations" accept:"range:1..1048576" default:"65536"`
	// MaxKeptBytes bounds the memory of answers that are kept for callers that ask again. The oldest give way; a caller
	// then learns the outcome, the status and the length.
	MaxKeptBytes int `toml:"max_kept_bytes" unit:"bytes" accept:"range:0..1073741824" default:"33554432"`
}

// Drain configures the stop of this instance.
type Drain struct {
	// LimitMS is the longest time to wait for requests in flight, except for long classes, which always finish.
	// 0 waits without limit.
	LimitMS int `toml:"limit_ms" unit:"ms" accept:"range:0..86400000" default:"0"`
}

// Log configures structured logs on standard error.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `toml:"level" accept:"oneof:debug,info,warn,error" default:"info"`
	// Format is the form of each log entry.
	Format string `toml:"format" accept:"oneof:text,json" default:"text"`
}

// Limit returns the drain limit, 0 for none.
func (d Drain) Limit() time.Duration { return time.Duration(d.LimitMS) * time.Millisecond }
