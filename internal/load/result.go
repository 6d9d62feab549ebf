package load

// Kind is one of the three ways in which a request ends.
type Kind string

// Kinds.
const (
	// Answered means that the answer says the request was run and is whole.
	Answered Kind = "answered"
	// Refused means that the answer says the request was not run.
	Refused Kind = "refused"
	// Failed means that it is not known whether the request was run, or that it was not sent.
	Failed Kind = "failed"
)

// Causes of failures that the generator sees itself. Other causes are the reasons that an instance names.
const (
	causeConnectFailed   = "client_connect"
	causeTimeout         = "client_timeout"
	causeConnectionLost  = "client_connection_lost"
	causeAnswerTruncated = "client_answer_truncated"
	causeServerError     = "client_server_error"
)

// Result is the end of one request.
type Result struct {
	Kind Kind
	// Cause is a reason or one of the generator's causes; empty for answered requests.
	Cause string
	// Status is the HTTP status, 0 without an answer.
	Status int
	// Ticketed is true when the request was sent a second time with the ticket from a 428 answer.
	Ticketed bool
}
