package load

// Kind classifies the result of a request.
type Kind string

// Kinds of results.
const (
	// Answered means that a complete answer was received and says that the request was run. An answer of a server that is
	// not an instance says nothing about it and counts as Answered if its status is below 500.
	Answered Kind = "answered"
	// Refused means that the answer says that the request was not run.
	Refused Kind = "refused"
	// Failed means that the request was not sent, or that it is not known whether it was run.
	Failed Kind = "failed"
)

// Causes of failures that the generator itself detects. All other causes are reasons in the answers of an instance.
const (
	causeConnectFailed   = "client_connect"
	causeTimeout         = "client_timeout"
	causeConnectionLost  = "client_connection_lost"
	causeAnswerMalformed = "client_answer_malformed"
	causeAnswerTruncated = "client_answer_truncated"
	causeServerError     = "client_server_error"
)

// Result is the result of one request.
type Result struct {
	Kind Kind
	// Cause is the reason in the answer or one of the generator's own causes. The report ignores it for answered
	// requests.
	Cause string
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	// Ticketed is true if the request was sent a second time with the ticket of a 428 answer.
	Ticketed bool
}
