package ticket

// Field is one header field of an answer.
type Field struct{ Name, Value string }

// Answer is a target's whole answer. It is immutable once it is handed to Operation.Done.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// AnswerHead is what is remembered of a target's answer that is not kept.
type AnswerHead struct {
	// Status is the HTTP status, 0 when it is not known.
	Status int
	// Length is the length of the body, or -1 when it was not announced.
	Length int
	// Type is the content type, empty when there was none or it is longer than maxTypeBytes.
	Type string
}

// maxTypeBytes bounds the content types in a full table to 4 MiB; registered types with a charset are shorter.
const maxTypeBytes = 64

// bounded returns the head within the memory that an entry may take.
func (h AnswerHead) bounded() AnswerHead {
	if len(h.Type) > maxTypeBytes {
		h.Type = ""
	}
	return h
}

// answerOverhead is the estimated memory of an answer besides its bytes, and of a field likewise.
const (
	answerOverhead = 128
	fieldOverhead  = 32
)

// size returns the memory that the answer takes.
func (a *Answer) size() int {
	total := answerOverhead + len(a.Body)
	for _, f := range a.Fields {
		total += fieldOverhead + len(f.Name) + len(f.Value)
	}
	return total
}
