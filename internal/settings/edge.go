package settings

import (
	"os"

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
	// Bounds are the bounds that the platform states, as name=value.
	Bounds []string `toml:"bounds" accept:"texts" default:"none"`
}

// EdgePeer configures the connections between edge instances.
type EdgePeer struct {
	// Seeds are addresses of instances to contact while the store is unavailable. The port is not used.
	Seeds []string `toml:"seeds" accept:"addresses" default:"none"`
}

// EdgeDispatch configures the choice of targets.
type EdgeDispatch struct {
	// UsablePercent is the share of a target's slots that is filled before requests wait.
	UsablePercent int `toml:"usable_percent" unit:"%" accept:"range:10..100" default:"80"`
	// WaitPercent is the share of a route's latency objective that a request may wait for a slot.
	WaitPercent int `toml:"wait_percent" unit:"%" accept:"range:0..100" default:"45"`
	// ZoneCrossingUS is the added time, per KB of an exchange, that makes a target of another zone equal to one of this zone.
	ZoneCrossingUS int `toml:"zone_crossing_us" unit:"us" accept:"range:0..1000000" default:"8000"`
}

// EdgeProbe configures the reading of the targets' load.
type EdgeProbe struct {
	// IntervalMS is the time between two readings of one target by the instance that reads for its zone.
	IntervalMS int `toml:"interval_ms" unit:"ms" accept:"range:5..10000" default:"25"`
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
