// Package balancer selects a target for each request. Each policy has a Builder
// that is registered under the policy's name.
//
// Policies take the time and random numbers as arguments, so that simulations
// and tests are reproducible. All methods of a Policy are safe for concurrent use.
//
// Where comments speak of the model, they mean the simulation in internal/targetmodel.
package balancer

import "time"

// Target describes a target that a policy may select.
type Target struct {
	Address string
	// SameZone is true when the target is in the availability zone of this instance.
	SameZone bool
	// Slots is the number of requests that the target runs at the same time.
	Slots int
}

// Config configures a policy for one service.
type Config struct {
	Service string
	Targets []Target
	// Instance is a hash of this instance's id. It determines which targets this instance prefers.
	Instance uint64
	// Instances is the number of instances that share the targets, or 0 if unknown.
	Instances int
	// ProbesPerRequest is the configured number of load probes per request. 0 disables probes.
	ProbesPerRequest float64
}

// Request is the input of Policy.Pick.
type Request struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// Random is a uniformly distributed random number.
	Random uint64
	// Excluded holds the indexes of the targets that this request was already sent to. They are never picked.
	Excluded []int
}

// ResultKind classifies how an exchange with a target ended.
type ResultKind int

// Kinds of results.
const (
	// Answered is a complete answer that does not report an error of the target.
	Answered ResultKind = iota
	// Shed is a fast refusal by the target.
	Shed
	// Failed is an error of the target or of the connection to it.
	Failed
	// Cancelled is an exchange that the caller abandoned.
	Cancelled
)

// NoLoadReport is the value of Result.Load when the answer carries no load report.
const NoLoadReport = -1

// Result describes how an exchange ended.
type Result struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// Elapsed is the duration of the exchange.
	Elapsed time.Duration
	Kind    ResultKind
	// Load is the number of requests in flight that the target reported, or NoLoadReport.
	Load int
}

// ProbeResult is the answer to a load probe.
type ProbeResult struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// InFlight is the number of requests in flight at the target.
	InFlight int
	// Latency is the latency that the target reports for its requests.
	Latency time.Duration
}

// Policy selects targets of one service. Targets are identified by their index in Config.Targets.
type Policy interface {
	// Pick returns the index of the chosen target, or false when every target is excluded or there is none.
	Pick(req Request) (int, bool)
	// Started records that a request was sent to the target.
	Started(target int, now time.Duration)
	// Finished records the result of an exchange. It must be called once for each call of Started.
	Finished(target int, result Result)
	// NextProbe returns the index of the target whose load should be probed next, or false when the policy
	// does not use probes or has no targets.
	NextProbe(now time.Duration, random uint64) (int, bool)
	// Probed records the answer to a load probe.
	Probed(target int, probe ProbeResult)
}

// Builder builds policies of one kind.
type Builder interface {
	// Name returns the name that selects the policy in the settings.
	Name() string
	// Build returns a policy for one service. Previous is the service's policy in the previous configuration, or
	// nil. If both use the same implementation, the new policy inherits the state of the targets that remain.
	Build(config Config, previous Policy) Policy
}
