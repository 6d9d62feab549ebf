package ticket

// Field is one header field of an answer.
type Field struct{ Name, Value string }

// Answer is a target's complete answer. It must not be modified after it was passed to Operation.Done.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// AnswerHead describes a target's answer. It is remembered even if the answer itself is not stored.
type AnswerHead struct {
	// Status is the HTTP status, or 0 if it is not known.
	Status int
	// Length is the length of the body in bytes, or -1 if the target did not announce it.
	Length int
	// Type is the content type. It is empty if the answer had none or one longer than maxTypeBytes.
	Type string
}

// maxTypeBytes limits the length of a content type, and the content types in a full table to 4 MiB. Registered types with
// a charset are shorter.
const maxTypeBytes = 64

// bounded returns the head without a content type that is too long.
func (h AnswerHead) bounded() AnswerHead {
	if len(h.Type) > maxTypeBytes {
		h.Type = ""
	}
	return h
}

// Estimated memory in bytes of an answer and of a header field, in addition to their content.
const (
	answerOverhead = 128
	fieldOverhead  = 32
)

// size returns the estimated memory of the answer in bytes.
func (a *Answer) size() int {
	bytes := answerOverhead + len(a.Body)
	for _, f := range a.Fields {
		bytes += fieldOverhead + len(f.Name) + len(f.Value)
	}
	return bytes
}
