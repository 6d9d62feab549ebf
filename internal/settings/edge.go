package settings

import (
	"os"
	"time"

	"github.com/basillink/basillink/internal/strictoml"
)

// Edge are the settings of an instance that serves routes from the platform's store.
type Edge struct {
	Instance Instance     `toml:"instance"`
	Listen   EdgeListen   `toml:"listen"`
	Store    EdgeStore    `toml:"store"`
	Peer     EdgePeer     `toml:"peer"`
	Dispatch EdgeDispatch `toml:"dispatch"`
	Probe    EdgeProbe    `toml:"probe"`
	Bounds   EdgeBounds   `toml:"bounds"`
	Log      EdgeLog      `toml:"log"`
}

// EdgeListen holds the addresses that an edge instance listens on.
type EdgeListen struct {
	// Caller accepts requests of callers.
	Caller string `toml:"caller" accept:"address"`
	// Readiness says whether the instance accepts callers, and serves metrics.
	Readiness string `toml:"readiness" accept:"address"`
	// Peer receives the datagrams of other instances.
	Peer string `toml:"peer" accept:"address"`
}

// EdgeStore locates the platform's store.
type EdgeStore struct {
	// Address is the address of the store.
	Address string `toml:"address" accept:"address"`
}

// EdgePeer configures the connections between edge instances.
type EdgePeer struct {
	// Capacity is what this instance can do for the others of its zone. Those with more of it read the targets' load.
	Capacity float64 `toml:"capacity" accept:"number:0..1000000" default:"1"`
	// Seeds are addresses of instances to contact while the store is unavailable. The port is not used.
	Seeds []string `toml:"seeds" accept:"addresses" default:"none"`
	// Bootstrap is true when the whole system starts for the first time, so that no instance is announced in the store yet.
	Bootstrap bool `toml:"bootstrap" accept:"boolean" default:"false"`
}

// EdgeDispatch configures the choice of targets.
type EdgeDispatch struct {
	// UsablePercent is the share of a target's slots that is filled before requests wait.
	UsablePercent int `toml:"usable_percent" unit:"%" accept:"range:10..100" default:"100"`
	// WaitPercent is the share of a route's latency objective that a request may wait for a slot.
	WaitPercent int `toml:"wait_percent" unit:"%" accept:"range:0..100" default:"45"`
	// ZoneCrossingPercent is the share of a route's latency objective, per KB of an exchange, that makes a target of another
	// zone equal to one of this zone.
	ZoneCrossingPercent float64 `toml:"zone_crossing_percent" unit:"%" accept:"number:0..100" default:"10"`
}

// EdgeProbe configures the reading of the targets' load.
type EdgeProbe struct {
	// IntervalMS is the time between two readings of one target by the instance that reads for its zone.
	IntervalMS int `toml:"interval_ms" unit:"ms" accept:"range:5..10000" default:"25"`
}

// EdgeBounds are the bounds that the platform states.
type EdgeBounds struct {
	// GraceS is the time that is granted for a planned stop.
	GraceS float64 `toml:"grace_s" unit:"s" accept:"number:1..3600" default:"6"`
	// RetryRatio is the most requests that all instances together send to a further target, per request for the service.
	RetryRatio float64 `toml:"retry_ratio" accept:"number:0..10" default:"0.2"`
	// RetryExtra is the number of such requests beyond the ratio that is allowed in each retry window.
	RetryExtra float64 `toml:"retry_extra" accept:"number:0..1000000" default:"64"`
	// RetryWindowS is the time over which the bounds on further sends hold.
	RetryWindowS float64 `toml:"retry_window_s" unit:"s" accept:"number:0.1..3600" default:"10"`
	// ProbesPerS is the most health checks of one target by all instances together.
	ProbesPerS float64 `toml:"probes_per_s" unit:"1/s" accept:"number:0..100000" default:"40"`
	// HeartbeatS is the time between two heartbeats of a target in the store, which removes its entry after three without one.
	HeartbeatS float64 `toml:"heartbeat_s" unit:"s" accept:"number:0.01..3600" default:"1.5"`
}

// HeartbeatInterval returns the time between two heartbeats of a target in the store.
func (b EdgeBounds) HeartbeatInterval() time.Duration {
	return time.Duration(b.HeartbeatS * float64(time.Second))
}

// GracePeriod returns the time that is granted for a planned stop.
func (b EdgeBounds) GracePeriod() time.Duration {
	return time.Duration(b.GraceS * float64(time.Second))
}

// RetryWindow returns the time over which the bounds on further sends hold.
func (b EdgeBounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowS * float64(time.Second))
}

// EdgeLog configures structured logs on standard output.
type EdgeLog struct {
	// Level is the lowest level that is logged.
	Level string `toml:"level" accept:"oneof:debug,info,warn,error" default:"info"`
	// Format is the form of each log entry.
	Format string `toml:"format" accept:"oneof:text,json" default:"json"`
	// SampleOneIn is how many requests that went well share one log line. 0 logs none of them.
	SampleOneIn int `toml:"sample_one_in" accept:"range:0..1000000" default:"64"`
}

// LoadEdge reads the settings file of an edge instance, fills in defaults and validates.
func LoadEdge(file string) (*Edge, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeEdge(file, data)
}

// DecodeEdge decodes settings of an edge instance strictly, fills in defaults and validates.
func DecodeEdge(file string, data []byte) (*Edge, error) {
	var s Edge
	provision(&s)
	if err := strictoml.Decode(file, data, &s); err != nil {
		return nil, describe(file, err, EdgeFields())
	}
	if err := checkFields(file, &s); err != nil {
		return nil, err
	}
	return &s, separate(file, []listener{
		{"listen.caller", s.Listen.Caller},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peer", s.Listen.Peer},
	})
}
