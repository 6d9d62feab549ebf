// Package settings reads the daemon's start-up settings. They are separate from
// the routing intent, which changes while the daemon runs.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/basillink/basillink/internal/strictoml"
)

// Settings are the start-up settings of an instance.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peer     Peer     `toml:"peer"`
	Balancer Balancer `toml:"balancer"`
	Limits   Limits   `toml:"limits"`
	Drain    Drain    `toml:"drain"`
	Log      Log      `toml:"log"`
}

// Instance identifies this instance.
type Instance struct {
	// ID is unique in the fleet. Lower-case letters, digits and hyphens, 1 to 63 characters. Required.
	ID string `toml:"id"`
	// Zone is the availability zone of this instance. Required.
	Zone string `toml:"zone"`
}

// Listen holds the addresses that this instance listens on. All are IP addresses with a port. Required.
type Listen struct {
	// Caller accepts requests of callers.
	Caller string `toml:"caller"`
	// Admin serves liveness, readiness, metrics and status.
	Admin string `toml:"admin"`
	// Peer accepts connections of other instances.
	Peer string `toml:"peer"`
}

// Platform locates the platform's services.
type Platform struct {
	// Address is the IP address and port of the log service and the instance list. Required.
	Address string `toml:"address"`
}

// Peer configures the connections between instances.
type Peer struct {
	// Secret authenticates instances to each other. 16 to 256 characters. Required.
	Secret string `toml:"secret"`
	// Seeds are peer addresses to contact while the instance list is unavailable. Default none.
	Seeds []string `toml:"seeds"`
}

// Balancer configures target selection.
type Balancer struct {
	// Policy names the selection policy: "random", "round_robin", "two_choices", "probing",
	// "latency_weighted", "reported" or "combined". Default "combined".
	Policy string `toml:"policy"`
}

// Limits bounds what one request may cost.
type Limits struct {
	// MaxRequestBodyBytes is the largest accepted request body. 1 to 67,108,864 bytes. Default 1,048,576.
	MaxRequestBodyBytes int `toml:"max_request_body_bytes"`
	// MaxHeaderBytes is the largest accepted total of request headers. 1,024 to 1,048,576 bytes. Default 16,384.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxAnswerBytes is the largest answer of a target. 1,024 to 1,073,741,824 bytes. Default 67,108,864.
	MaxAnswerBytes int `toml:"max_answer_bytes"`
}

// Drain configures the stop of this instance.
type Drain struct {
	// LimitMS is the longest time to wait for requests in flight, in milliseconds, except for long classes.
	// 0 waits without limit. 0 to 86,400,000. Default 0.
	LimitMS int `toml:"limit_ms"`
}

// Log configures structured logs on standard error.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `toml:"level"`
	// Format is "text" or "json". Default "text".
	Format string `toml:"format"`
}

// DrainLimit returns the drain limit, 0 for none.
func (d Drain) DrainLimit() time.Duration { return time.Duration(d.LimitMS) * time.Millisecond }

// Error reports settings that are not accepted.
type Error struct {
	File     string
	Key      string
	Value    string
	Accepted string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: value %q is not accepted; accepted: %s", e.File, e.Key, e.Value, e.Accepted)
}

// Load reads a settings file, fills in defaults and validates.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}

// Decode decodes settings strictly, fills in defaults and validates. File names the source in errors.
func Decode(file string, data []byte) (*Settings, error) {
	var s Settings
	if err := strictoml.Decode(file, data, &s); err != nil {
		return nil, err
	}
	s.Provision()
	if err := s.Validate(file); err != nil {
		return nil, err
	}
	return &s, nil
}
