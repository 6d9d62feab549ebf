package settings

import (
	"os"
	"time"

	"github.com/basillink/basillink/internal/strictoml"
)

// Edge holds the settings of an edge instance, which serves the routes in the platform's store.
type Edge struct {
	Instance Instance     `toml:"instance"`
	Listen   EdgeListen   `toml:"listen"`
	Store    EdgeStore    `toml:"store"`
	Peer     EdgePeer     `toml:"peer"`
	Dispatch EdgeDispatch `toml:"dispatch"`
	Probe    EdgeProbe    `toml:"probe"`
	Bounds   EdgeBounds   `toml:"bounds"`
	Memory   EdgeMemory   `toml:"memory"`
	Log      EdgeLog      `toml:"log"`
}

// EdgeListen holds the addresses that an edge instance listens on.
type EdgeListen struct {
	// Caller is the address for requests from callers.
	Caller string `toml:"caller" accept:"address"`
	// Readiness is the address that serves readiness and metrics. An instance is ready while it accepts requests from callers.
	Readiness string `toml:"readiness" accept:"address"`
	// Peer is the address for datagrams from other instances.
	Peer string `toml:"peer" accept:"address"`
	// MaxConnections is the maximum number of connections of callers. At the limit, connections whose callers made no progress for
	// a second are closed for new ones, then idle ones. 0 means 10 for each MB of memory.limit_mb, and at most 70% of the
	// descriptors that the process may open.
	MaxConnections int `toml:"max_connections" accept:"range:0..1048576" default:"0"`
	// MaxReadinessConnections is the maximum number of connections to the readiness address. At the limit, those without progress for
	// a second are closed for new ones. The platform's balancer and the collection of metrics need one each.
	MaxReadinessConnections int `toml:"max_readiness_connections" accept:"range:1..1048576" default:"32"`
}

// EdgeStore locates the platform's store.
type EdgeStore struct {
	// Address is the address of the store.
	Address string `toml:"address" accept:"address"`
}

// EdgePeer configures the connections between edge instances.
type EdgePeer struct {
	// Capacity is the processor capacity of this instance in cores. The instances of a zone with the highest capacity probe
	// the load of the targets for the whole zone.
	Capacity float64 `toml:"capacity" accept:"number:0..1000000" default:"1"`
	// Seeds are addresses of instances to contact while the store is unavailable. The port is not used.
	Seeds []string `toml:"seeds" accept:"addresses" default:"none"`
	// Bootstrap is true if the whole system starts for the first time, so that no instance is announced in the store yet.
	Bootstrap bool `toml:"bootstrap" accept:"boolean" default:"false"`
}

// EdgeDispatch configures the selection of targets.
type EdgeDispatch struct {
	// UsablePercent is the share of a target's slots that is used before requests wait.
	UsablePercent int `toml:"usable_percent" unit:"%" accept:"range:10..100" default:"100"`
	// WaitPercent is the share of a route's latency objective that a request may wait for a slot.
	WaitPercent int `toml:"wait_percent" unit:"%" accept:"range:0..100" default:"45"`
	// ZoneCrossingPercent is the cost of sending a request to another zone, as a share of the route's latency objective per
	// KB of request and answer. It is added to the expected latency when targets are compared.
	ZoneCrossingPercent float64 `toml:"zone_crossing_percent" unit:"%" accept:"number:0..100" default:"10"`
}

// EdgeProbe configures the load probes of targets. A load probe is sent as a health check of the platform.
type EdgeProbe struct {
	// IntervalMS is the time between two load probes of one target by the instance that probes it for its zone.
	IntervalMS int `toml:"interval_ms" unit:"ms" accept:"range:5..10000" default:"25"`
}

// EdgeBounds holds the limits and intervals that the platform specifies.
type EdgeBounds struct {
	// GraceS is the time that the platform grants for a planned stop.
	GraceS float64 `toml:"grace_s" unit:"s" accept:"number:1..3600" default:"6"`
	// RetryRatio is the maximum number of retries that all instances together send, per request for the service.
	RetryRatio float64 `toml:"retry_ratio" accept:"number:0..10" default:"0.2"`
	// RetryExtra is the number of retries that are allowed in each retry window in addition to the ratio.
	RetryExtra float64 `toml:"retry_extra" accept:"number:0..1000000" default:"64"`
	// RetryWindowS is the length of the window in which the limits on retries apply.
	RetryWindowS float64 `toml:"retry_window_s" unit:"s" accept:"number:0.1..3600" default:"10"`
	// ProbesPerS is the maximum rate of health checks, such as load probes, that all instances together send to one target.
	// 0 means no limit.
	ProbesPerS float64 `toml:"probes_per_s" unit:"1/s" accept:"number:0..100000" default:"40"`
	// HeartbeatS is the time between two heartbeats of a target in the store. The store removes the target's entry after
	// three missing heartbeats.
	HeartbeatS float64 `toml:"heartbeat_s" unit:"s" accept:"number:0.01..3600" default:"1.5"`
	// RevokeS is the time after which a key that was removed from the configuration must not run a request on any instance. An
	// instance that does not know that its keys were current less than that ago refuses requests with keys.
	RevokeS float64 `toml:"revoke_s" unit:"s" accept:"number:0.5..3600" default:"5"`
	// QuotaWindowS is the length of the window in which the quota of a workspace is measured over all instances.
	QuotaWindowS float64 `toml:"quota_window_s" unit:"s" accept:"number:0.1..3600" default:"5"`
	// QuotaOverage is the share by which a workspace may exceed its quota in a window.
	QuotaOverage float64 `toml:"quota_overage" accept:"number:0..10" default:"0.1"`
	// QuotaSlack is the number of requests by which a workspace may exceed its quota in a window in addition.
	QuotaSlack float64 `toml:"quota_slack" accept:"number:0..1000000" default:"20"`
	// WarmupOverage is the factor by which all instances together may exceed the rate that a cold target tolerates in one second.
	WarmupOverage float64 `toml:"warmup_overage" accept:"number:1..100" default:"1.5"`
	// WarmupSlack is the number of requests by which all instances together may exceed that rate in addition.
	WarmupSlack float64 `toml:"warmup_slack" accept:"number:0..1000000" default:"8"`
}

// HeartbeatInterval returns HeartbeatS as a duration.
func (b EdgeBounds) HeartbeatInterval() time.Duration {
	return time.Duration(b.HeartbeatS * float64(time.Second))
}

// GracePeriod returns GraceS as a duration.
func (b EdgeBounds) GracePeriod() time.Duration {
	return time.Duration(b.GraceS * float64(time.Second))
}

// RevocationTime returns RevokeS as a duration.
func (b EdgeBounds) RevocationTime() time.Duration {
	return time.Duration(b.RevokeS * float64(time.Second))
}

// QuotaWindow returns QuotaWindowS as a duration.
func (b EdgeBounds) QuotaWindow() time.Duration {
	return time.Duration(b.QuotaWindowS * float64(time.Second))
}

// RetryWindow returns RetryWindowS as a duration.
func (b EdgeBounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowS * float64(time.Second))
}

// EdgeMemory describes the memory of the process.
type EdgeMemory struct {
	// LimitMB is the memory at which the platform ends the process. Requests in flight hold at most half of it, less 24 MB for the
	// program itself.
	LimitMB int `toml:"limit_mb" unit:"MB" accept:"range:64..1048576" default:"256"`
}

// EdgeLog configures structured logs on standard output.
type EdgeLog struct {
	// Level is the lowest level that is logged.
	Level string `toml:"level" accept:"oneof:debug,info,warn,error" default:"info"`
	// Format is the format of log entries.
	Format string `toml:"format" accept:"oneof:text,json" default:"json"`
	// SampleOneIn is the number of successful requests per logged one. 0 logs no successful request.
	SampleOneIn int `toml:"sample_one_in" accept:"range:0..1000000" default:"64"`
}

// LoadEdge reads the settings file of an edge instance, fills in defaults and validates the result. It returns the same
// errors as Load.
func LoadEdge(file string) (*Edge, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeEdge(file, data)
}

// DecodeEdge decodes the settings of an edge instance, fills in defaults and validates the result. It returns the same
// errors as Decode.
func DecodeEdge(file string, data []byte) (*Edge, error) {
	var s Edge
	setDefaults(&s)
	if err := strictoml.Decode(file, data, &s); err != nil {
		return nil, toSettingsError(file, err, EdgeFields())
	}
	if err := validateFields(file, &s); err != nil {
		return nil, err
	}
	return &s, checkOverlaps(file, []listener{
		{"listen.caller", s.Listen.Caller},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peer", s.Listen.Peer},
	})
}
