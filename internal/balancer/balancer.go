// Package balancer selects a target for each request. Policies are built from a
// small builder interface and registered by name.
//
// Policies take time and randomness as arguments, so that sessions replay
// exactly. Methods of a Policy are called by many traffic goroutines at once.
package balancer

import "time"

// Target is what selection needs to know about a target.
type Target struct {
	Address string
	// SameZone is true when the target is in the availability zone of this instance.
	SameZone bool
	Slots    int
}

// Config configures a policy for one service.
type Config struct {
	Service string
	Targets []Target
	// Instance is a hash of this instance's identity. It selects the targets that this instance prefers.
	Instance uint64
	// Instances is the number of instances that share the targets, 0 when it is not known.
	Instances int
	// ProbesPerRequest is the agreed measuring rate. 0 means no probes.
	ProbesPerRequest float64
}

// Request is the input of a choice.
type Request struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// Random is a uniformly distributed random number.
	Random uint64
	// Excluded holds the indexes of targets that this request was already sent to.
	Excluded []int
}

// Verdict classifies the end of an exchange.
type ResultKind int

// Verdicts.
const (
	// Answered is a whole answer that is not an error of the target.
	Answered ResultKind = iota
	// Rejected is a fast refusal by the target.
	Shed
	// Failed is an error of the target or of its connection.
	Failed
	// Cancelled is an exchange that the caller gave up.
	Cancelled
)

// NoLoad marks an answer that carries no load report.
const NoLoadReport = -1

// Result describes the end of an exchange.
type Result struct {
	Now     time.Duration
	Elapsed time.Duration
	Kind    ResultKind
	// Load is the number of requests in flight that the target reported, or NoLoad.
	Load int
}

// Probe is the answer to a load probe.
type ProbeResult struct {
	Now      time.Duration
	InFlight int
	Latency  time.Duration
}

// Policy selects targets of one service. Targets are identified by their index in Config.Targets.
type Policy interface {
	// Pick returns the index of the chosen target, or false when no target may be chosen.
	Pick(req Request) (int, bool)
	// Started records that a request was sent to the target.
	Started(target int, now time.Duration)
	// Finished records the end of an exchange. Each Started is followed by one Finished.
	Finished(target int, result Result)
	// NextProbe returns the index of the target whose load should be probed next, or false when the policy
	// has no use for probes.
	NextProbe(now time.Duration, random uint64) (int, bool)
	// Probed records the answer to a load probe.
	Probed(target int, probe ProbeResult)
}

// Builder builds policies of one kind.
type Builder interface {
	// Name is the name under which settings select the policy.
	Name() string
	// Build returns a policy for one service. It takes over learned state from previous, the policy
	// of the same service in the configuration before, when that is of the same kind; previous may be nil.
	Build(config Config, previous Policy) Policy
}
