// Package header defines the HTTP headers of the protocol between callers,
// instances and targets.
package header

// Request headers.
const (
	// Service selects the service. Without it, the first path segment selects the service.
	Service = "Basillink-Service"
	// Class selects the request class.
	Class = "Basillink-Class"
	// Caller identifies the caller for fair sharing. Default: the caller's IP address.
	Caller = "Basillink-Caller"
	// TimeoutMS is the remaining time until the deadline in milliseconds.
	TimeoutMS = "Basillink-Timeout-Ms"
	// Attempts is the number of attempts that are left for the whole call tree.
	Attempts = "Basillink-Attempts"
	// Ticket carries the ticket of a request whose class is not repeatable.
	Ticket = "Basillink-Ticket"
	// Forwarded is set to "1" on a request that another instance forwarded.
	Forwarded = "Basillink-Forwarded"
	// RunID is unique for each attempt on a target. Targets should echo it in their answers.
	RunID = "Basillink-Run-Id"
)

// Headers of answers to callers.
const (
	// Outcome tells whether a target executed the request: done, not-run or unknown.
	Outcome = "Basillink-Outcome"
	// Reason is the name of the reason if the request was refused or failed.
	Reason = "Basillink-Reason"
	// Instance is the id of the instance that answered.
	Instance = "Basillink-Instance"
	// NextTicket is a new ticket for the caller's next operation.
	NextTicket = "Basillink-Next-Ticket"
	// AnswerStatus, AnswerType and AnswerLength describe a target's answer that is not stored: its HTTP status, its
	// content type and the length of its body in bytes.
	AnswerStatus = "Basillink-Answer-Status"
	AnswerType   = "Basillink-Answer-Type"
	AnswerLength = "Basillink-Answer-Length"
)

// Headers of answers from targets.
const (
	// TargetNotRun is set to "1" if the target did not start the request.
	TargetNotRun = "Target-Not-Run"
	// TargetLoad is the number of requests in flight at the target.
	TargetLoad = "Target-Load"
	// TargetIncarnation identifies the process of the target. It changes when the target restarts.
	TargetIncarnation = "Target-Incarnation"
	// TargetDraining is set to "1" if the target is draining.
	TargetDraining = "Target-Draining"
)

// hopByHop lists the headers that apply to one connection only and must not be forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// HopByHop returns the names of the hop-by-hop headers, which must not be forwarded. The slice must not be modified.
func HopByHop() []string { return hopByHop }
