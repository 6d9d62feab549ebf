// Package header names the HTTP headers of the protocol between callers,
// instances and targets.
package header

// Headers of requests.
const (
	// Service selects the service; without it the first path segment does.
	Service = "Basillink-Service"
	// Class selects the request class.
	Class = "Basillink-Class"
	// Caller identifies the caller for fair sharing. Default: the caller's IP address.
	Caller = "Basillink-Caller"
	// TimeoutMS is the remaining time in milliseconds.
	TimeoutMS = "Basillink-Timeout-Ms"
	// Attempts is the number of attempts left for the whole call tree.
	Attempts = "Basillink-Attempts"
	// Ticket names the operation of a class that is not repeatable.
	Ticket = "Basillink-Ticket"
	// Forwarded marks a request that another instance passed on.
	Forwarded = "Basillink-Forwarded"
	// RunID is unique for each dispatch to a target. Targets should echo it in their answers.
	RunID = "Basillink-Run-Id"
)

// Headers of answers to callers.
const (
	Outcome    = "Basillink-Outcome"
	Reason     = "Basillink-Reason"
	Instance   = "Basillink-Instance"
	NextTicket = "Basillink-Next-Ticket"
	// AnswerStatus, AnswerType and AnswerLength tell of a target's answer that is no longer kept.
	AnswerStatus = "Basillink-Answer-Status"
	AnswerType   = "Basillink-Answer-Type"
	AnswerLength = "Basillink-Answer-Length"
)

// Headers of answers of targets.
const (
	// TargetNotRun set to "1" says that the target did not start the request.
	TargetNotRun = "Target-Not-Run"
	// TargetLoad is the number of requests in flight at the target.
	TargetLoad = "Target-Load"
	// TargetIncarnation identifies one process of the target.
	TargetIncarnation = "Target-Incarnation"
	// TargetDraining set to "1" says that the target is leaving.
	TargetDraining = "Target-Draining"
)

// hopByHop lists the headers that concern one connection only and are not passed on.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// HopByHop returns the names of headers that are not passed on. The slice must not be modified.
func HopByHop() []string { return hopByHop }
