package ticket

// Field is one header field of an answer.
type Field struct{ Name, Value string }

// Answer is a target's whole answer. It is immutable once it is handed to Operation.Done.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
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
