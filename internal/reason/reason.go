// Package reason declares all outcomes of requests and all reasons of refusals,
// failures and retries. Metric labels, log attributes, response headers and the
// table in docs/operators.md are derived from these declarations.
package reason

// Outcome says whether a request was executed, as far as this is known.
type Outcome string

// Outcomes of a request.
const (
	// Done means that a target ran the request and the answer is complete.
	Done Outcome = "done"
	// NotRun means that provably no target ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Kind is the kind of a Reason.
type Kind string

// Kinds of reasons.
const (
	// Refusal means that the request is answered with an error and was not run.
	Refusal Kind = "refusal"
	// Retry means that the request is sent to another target.
	Retry Kind = "retry"
	// Failure means that the caller does not receive the target's answer, although the request may have been run.
	Failure Kind = "failure"
)

// Reason is the cause of a refusal, a failure or a retry. Reasons are compared by pointer and must not be modified.
type Reason struct {
	// Name is the value of the metric label, the log attribute and the response header.
	Name string
	Kind Kind
	// Status is the HTTP status of the answer. It is 0 for retries.
	Status int
	// Outcome is the outcome that the answer reports. It is empty for retries.
	Outcome Outcome
	// Help explains the reason to operators and says what to do.
	Help string
}

// Error returns the name and the help text. It makes *Reason an error.
func (r *Reason) Error() string { return r.Name + ": " + r.Help }

// Refusals: no target ran the request.
var (
	UnknownService    = add("unknown_service", Refusal, 404, NotRun, "No service in force has this name. Check the name and the published intent.")
	UnknownRoute      = add("unknown_route", Refusal, 404, NotRun, "No route of the configuration in force matches the host and path.")
	UnknownClass      = add("unknown_class", Refusal, 400, NotRun, "No class of the service matches the request. Check methods and path prefixes.")
	BadTimeout        = add("bad_timeout", Refusal, 400, NotRun, "Basillink-Timeout-Ms is not a number from 1 to 86400000.")
	BadAttempts       = add("bad_attempts", Refusal, 400, NotRun, "Basillink-Attempts is not a number from 1 to 8.")
	BadFraming        = add("bad_framing", Refusal, 400, NotRun, "The request has both Content-Length and Transfer-Encoding, or a malformed header.")
	BodyTruncated     = add("body_truncated", Refusal, 400, NotRun, "The request body is shorter than announced.")
	BodyTooLarge      = add("body_too_large", Refusal, 413, NotRun, "The request body exceeds limits.max_request_body_bytes.")
	HeaderTooLarge    = add("header_too_large", Refusal, 431, NotRun, "The request headers exceed limits.max_header_bytes.")
	UnknownKey        = add("unknown_key", Refusal, 401, NotRun, "The request has no key, or one that no workspace of the configuration in force holds.")
	KeysOutdated      = add("keys_outdated", Refusal, 503, NotRun, "The instance has not known for bounds.revoke_s that its keys are current, because it reaches neither the store nor an instance that does. Another instance can answer.")
	QuotaExceeded     = add("quota_exceeded", Refusal, 429, NotRun, "The workspace has used its quota over all instances. Retry-After tells when credit is back.")
	QuotaUnavailable  = add("quota_unavailable", Refusal, 503, NotRun, "The instance reaches no instance that grants credit for the quota of the workspace. Another instance can answer.")
	ColdTargets       = add("cold_targets", Refusal, 503, NotRun, "Only cold targets are left, and they have received as many requests as they tolerate.")
	NotReady          = add("not_ready", Refusal, 503, NotRun, "The instance has no configuration in force or is draining. Another instance can answer.")
	NoTarget          = add("no_target", Refusal, 503, NotRun, "No target of the service may receive requests. Check target states.")
	NoDecision        = add("no_decision", Refusal, 503, NotRun, "A fault of this instance kept it from choosing a target. Another instance can answer.")
	DeadlineTooShort  = add("deadline_too_short", Refusal, 504, NotRun, "The request could not be sent to a target before its deadline.")
	Overloaded        = add("overloaded", Refusal, 503, NotRun, "The waiting queue is full or the request waited too long. Lower classes are shed first.")
	MemoryFull        = add("memory_full", Refusal, 503, NotRun, "The requests in flight hold all the memory that the instance has for them, or what long bodies may take of it. Another instance can answer.")
	CallerStalled     = add("caller_stalled", Refusal, 503, NotRun, "The caller sent nothing for a second while its request was incomplete, and others needed the memory that it held or its connection.")
	CallerShare       = add("caller_share", Refusal, 429, NotRun, "The caller exceeds its fair share while the service is busy.")
	TicketRequired    = add("ticket_required", Refusal, 428, NotRun, "The class is not repeatable and the request has no ticket. Send it again with the ticket from Basillink-Next-Ticket.")
	TicketInvalid     = add("ticket_invalid", Refusal, 400, NotRun, "The ticket is malformed or was not issued by this fleet.")
	TicketMismatch    = add("ticket_mismatch", Refusal, 409, NotRun, "The ticket was used for a different request. This request was not run.")
	TicketTableFull   = add("ticket_table_full", Refusal, 503, NotRun, "The table of started operations is full. Send the request again later, with the ticket from Basillink-Next-Ticket.")
	TicketClosed      = add("ticket_closed", Refusal, 409, NotRun, "An earlier answer said that the request with this ticket was not run, which closed the ticket. Send the request with the ticket from Basillink-Next-Ticket.")
	TicketOwnerClosed = add("ticket_owner_closed", Refusal, 409, NotRun, "The instance that issued the ticket stopped and its closing record proves that the ticket was not used. Send the request with a new ticket.")
	TargetShed        = add("target_shed", Refusal, 503, NotRun, "Targets refused the request before running it and no attempt is left.")
	CrashSuspect      = add("crash_suspect", Refusal, 422, NotRun, "Targets that ran this request crashed. It is not sent to further targets until the mark ages out.")
	CrashHeld         = add("crash_held", Refusal, 503, NotRun, "Targets that ran a request with this content crashed. It is not sent to a further target for some minutes.")
	ConnectionRefused = add("connection_refused", Refusal, 503, NotRun, "No connection to a target could be opened and no attempt is left.")
	ConnectionLost    = add("connection_lost", Refusal, 503, NotRun, "The connection to the target was closed before a byte of the request was sent, and no attempt is left.")
	ConnectionsBusy   = add("connections_busy", Refusal, 503, NotRun, "All connections to the target stayed in use until the deadline.")
	BadRequestLine    = add("bad_request_line", Refusal, 400, NotRun, "The request line is not valid HTTP/1.")
	RequestTimeout    = add("request_timeout", Refusal, 408, NotRun, "The request was not received completely in time.")
	CallerLeftEarly   = add("caller_left", Refusal, 499, NotRun, "The caller closed its connection before the request was sent to a target.")
)

// Failures: a target may have run the request, and did run it in the case of AnswerNotKept.
var (
	AnswerTimeout     = add("answer_timeout", Failure, 504, Unknown, "The target did not answer before the deadline.")
	AnswerLost        = add("answer_lost", Failure, 502, Unknown, "The connection to the target failed after the request was sent.")
	AnswerTruncated   = add("answer_truncated", Failure, 502, Unknown, "The target's answer ended before its announced length.")
	AnswerUnbounded   = add("answer_unbounded", Failure, 502, Unknown, "The target's answer has no length and cannot be proved whole.")
	AnswerTooLarge    = add("answer_too_large", Failure, 502, Unknown, "The target's answer exceeds limits.max_answer_bytes.")
	AnswerMalformed   = add("answer_malformed", Failure, 502, Unknown, "The target's answer is not valid HTTP.")
	CallerLeftRunning = add("caller_left_running", Failure, 499, Unknown, "The caller closed its connection while a target ran the request.")
	ConnectionSilent  = add("connection_silent", Failure, 504, Unknown, "The connection to the target went silent.")
	InternalError     = add("internal_error", Failure, 500, Unknown, "A fault of this instance ended the handling of the request. A target may have run it.")
	DrainLimit        = add("drain_limit", Failure, 503, Unknown, "The instance was stopped and drain.limit_ms passed before the target answered.")
	TargetError       = add("target_error", Failure, 502, Unknown, "The target answered 502, 503 or 504 without Target-Not-Run, which leaves open whether it ran the request.")
	TicketExpired     = add("ticket_expired", Failure, 410, Unknown, "The ticket's lifetime has passed. The request is not run now; whether it ran before is no longer known.")
	TicketOwnerGone   = add("ticket_owner_gone", Failure, 503, Unknown, "The instance that issued the ticket is gone or does not take part in the fleet, and no other instance runs the request. Whether it ran is not known.")
	ForwardLost       = add("forward_lost", Failure, 502, Unknown, "The connection to the instance that issued the ticket failed. Ask again with the same ticket.")
	AnswerNotKept     = add("answer_not_kept", Failure, 200, Done, "The operation ran and its answer was whole, but it is no longer kept or is too large to be kept. The status is the target's own, repeated in Basillink-Answer-Status; Basillink-Answer-Type and Basillink-Answer-Length tell its content type and length where known. Without Basillink-Answer-Status the instance that ran it has stopped and the target's status is not known.")
)

// Retries: the request was sent to another target.
var (
	RetryTargetShed        = add("retry_target_shed", Retry, 0, "", "A target refused the request before running it.")
	RetryConnectionRefused = add("retry_connection_refused", Retry, 0, "", "A connection to a target could not be opened.")
	RetryConnectionsBusy   = add("retry_connections_busy", Retry, 0, "", "All connections to a target stayed in use, so that a target was chosen again. Nothing was sent.")
	RetryConnectionLost    = add("retry_connection_lost", Retry, 0, "", "A connection to a target was closed before a byte of the request was sent.")
	RetryAnswerLost        = add("retry_answer_lost", Retry, 0, "", "A repeatable request lost its answer.")
	RetryAnswerTruncated   = add("retry_answer_truncated", Retry, 0, "", "A repeatable request received an incomplete answer.")
	RetryTargetError       = add("retry_target_error", Retry, 0, "", "A target failed a repeatable request.")
	RetryConnectionSilent  = add("retry_connection_silent", Retry, 0, "", "A repeatable request was on a connection that went silent.")
)

var all []*Reason

// All returns every reason in the order of declaration. The slice must not be modified.
func All() []*Reason { return all }

// add creates a reason and adds it to the list that All returns.
func add(name string, kind Kind, status int, outcome Outcome, help string) *Reason {
	r := &Reason{Name: name, Kind: kind, Status: status, Outcome: outcome, Help: help}
	all = append(all, r)
	return r
}
