package framing

import (
	"bufio"
	"bytes"
	"net/http"
)

var protocolPrefix = []byte("HTTP/1.")

// ReadAnswer reads an answer as http.ReadResponse does, but returns an *Error if its head is malformed. net/http accepts blanks in
// the names of fields and statuses below 100. The head must fit into the buffer of the reader.
func ReadAnswer(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	head, err := PeekAnswerHead(reader)
	if err != nil {
		return nil, err
	}
	lineEnd := bytes.IndexByte(head, '\n') + 1
	if err := Check(head[lineEnd:]); err != nil {
		return nil, err
	}
	return http.ReadResponse(reader, request)
}

// PeekAnswerHead waits for a complete head of an answer and returns it without consuming it. Its status line is valid; its header
// lines are not checked. The result is valid until the next read. The error is an *Error or that of the reader.
func PeekAnswerHead(reader *bufio.Reader) ([]byte, error) {
	for needed := 1; ; {
		if _, err := reader.Peek(needed); err != nil {
			return nil, err
		}
		available, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, err
		}
		if err := checkStart(available); err != nil {
			return nil, err
		}
		if end := HeadEnd(available); end > 0 {
			return available[:end], nil
		}
		needed = len(available) + 1
	}
}

// checkStart returns an *Error if the bytes cannot be the beginning of a head. The answer is then rejected at once, because the end
// of the head may never come.
func checkStart(available []byte) error {
	n := min(len(available), len(protocolPrefix))
	if !bytes.Equal(available[:n], protocolPrefix[:n]) {
		return &Error{"no HTTP/1 status line"}
	}
	line, _, complete := bytes.Cut(available, []byte{'\n'})
	if !complete {
		return nil
	}
	return CheckStatusLine(bytes.TrimSuffix(line, []byte{'\r'}))
}
