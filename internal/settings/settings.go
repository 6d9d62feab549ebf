// Package settings reads the start-up settings of the daemon and of edge
// instances. They are separate from the routing intent, which changes at run
// time.
//
// The unit, the default and the accepted values of each setting are defined only
// by the struct tags of its field. Defaults, validation, error messages and the
// table in docs/operators.md are derived from the tags.
package settings

import "time"

// Settings holds the start-up settings of an instance of the daemon.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peer     Peer     `toml:"peer"`
	Balancer Balancer `toml:"balancer"`
	Limits   Limits   `toml:"limits"`
	Tickets  Tickets  `toml:"tickets"`
	Drain    Drain    `toml:"drain"`
	Memory   Memory   `toml:"memory"`
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
	// Caller is the address for requests from callers.
	Caller string `toml:"caller" accept:"address"`
	// Admin is the address that serves liveness, readiness, metrics, status and explanations.
	Admin string `toml:"admin" accept:"address"`
	// Peer is the address for connections from other instances.
	Peer string `toml:"peer" accept:"address"`
	// MaxConnections is the maximum number of connections of callers. At the limit, connections whose callers made no progress for
	// a second are closed for new ones, then idle ones. 0 means 10 for each MB of memory.limit_mb, and at most 70% of the
	// descriptors that the process may open.
	MaxConnections int `toml:"max_connections" accept:"range:0..1048576" default:"0"`
	// MaxAdminConnections is the maximum number of connections to the admin address. At the limit, those without progress for a second
	// are closed for new ones.
	MaxAdminConnections int `toml:"max_admin_connections" accept:"range:1..1048576" default:"32"`
}

// Platform locates the platform's services.
type Platform struct {
	// Address is the address of the log service and the instance list.
	Address string `toml:"address" accept:"address"`
}

// Peer configures the connections between instances.
type Peer struct {
	// Secret authenticates instances to each other. All instances must have the same secret.
	Secret string `toml:"secret" accept:"length:16..256"`
	// Seeds are peer addresses to contact while the instance list is unavailable.
	Seeds []string `toml:"seeds" accept:"addresses" default:"none"`
}

// Balancer configures target selection.
type Balancer struct {
	// Policy is the name of the selection policy.
	Policy string `toml:"policy" accept:"policy" default:"combined"`
}

// Limits holds the size limits of a request and its answer.
type Limits struct {
	// MaxRequestBodyBytes is the maximum size of a request body.
	MaxRequestBodyBytes int `toml:"max_request_body_bytes" unit:"bytes" accept:"range:1..67108864" default:"1048576"`
	// MaxHeaderBytes is the maximum total size of the request headers.
	MaxHeaderBytes int `toml:"max_header_bytes" unit:"bytes" accept:"range:1024..1048576" default:"16384"`
	// MaxAnswerBytes is the maximum size of an answer from a target.
	MaxAnswerBytes int `toml:"max_answer_bytes" unit:"bytes" accept:"range:1024..1073741824" default:"67108864"`
}

// Tickets limits the memory for requests that must not run twice.
type Tickets struct {
	// MaxOperations is the maximum number of requests whose outcome is stored. An outcome is stored for 10 min and takes
	// about 0.5 KB of memory. Further requests are refused as not run.
	MaxOperations int `toml:"max_operations" accept:"range:1..1048576" default:"65536"`
	// MaxKeptBytes is the maximum memory for stored answers, which are sent again if a caller repeats a request. The oldest
	// answers are evicted. If a caller then repeats the request, it gets the outcome, the status and the length.
	MaxKeptBytes int `toml:"max_kept_bytes" unit:"bytes" accept:"range:0..1073741824" default:"33554432"`
}

// Drain configures how this instance stops.
type Drain struct {
	// LimitMS is the maximum time to wait for requests in flight, except those of long classes, which always finish.
	// 0 means no limit.
	LimitMS int `toml:"limit_ms" unit:"ms" accept:"range:0..86400000" default:"0"`
}

// Memory describes the memory of the process.
type Memory struct {
	// LimitMB is the memory that the process may take. Requests in flight hold at most half of it, less 24 MB for the
	// program itself.
	LimitMB int `toml:"limit_mb" unit:"MB" accept:"range:64..1048576" default:"256"`
}

// Log configures structured logs on standard error.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `toml:"level" accept:"oneof:debug,info,warn,error" default:"info"`
	// Format is the format of log entries.
	Format string `toml:"format" accept:"oneof:text,json" default:"text"`
}

// Limit returns LimitMS as a duration. 0 means no limit.
func (d Drain) Limit() time.Duration { return time.Duration(d.LimitMS) * time.Millisecond }
