package transport

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/panicguard"
)

// maxInterimAnswers bounds the answers that are read to find the final one. Interim (1xx) answers may precede it.
const maxInterimAnswers = 8

// closeDelimitedLength is the content length that hertz reports for a body that ends with the close of the connection.
const closeDelimitedLength = -2

var protocolPrefix = []byte("HTTP/1.")

// readHead reads the head of the final answer. It skips interim (1xx) answers.
func (c *Conn) readHead(answer *Answer) error {
	response := answer.Response
	for range maxInterimAnswers {
		if err := c.checkHead(answer); err != nil {
			return err
		}
		if err := panicguard.Catch(func() error { return resp.ReadHeader(&response.Header, c) }); err != nil {
			return err
		}
		if response.StatusCode() == http.StatusSwitchingProtocols {
			return &MalformedAnswerError{fmt.Sprintf("unexpected status %d", response.StatusCode())}
		}
		if response.StatusCode() >= http.StatusOK {
			return nil
		}
	}
	return &MalformedAnswerError{fmt.Sprintf("%d interim answers without a final one", maxInterimAnswers)}
}

// checkHead waits for a complete head, validates its status line and framing and sets answer.ConnectionOptions, without consuming
// the head. This is done before hertz parses the head, because hertz accepts more than HTTP/1 and does not keep the information.
func (c *Conn) checkHead(answer *Answer) error {
	head, err := c.peekHead()
	if err != nil {
		return err
	}
	lineEnd := bytes.IndexByte(head, '\n') + 1
	if err := framing.Check(head[lineEnd:]); err != nil {
		return &MalformedAnswerError{err.Error()}
	}
	answer.ConnectionOptions = framing.ConnectionOptions(head[lineEnd:])
	return nil
}

// peekHead waits for a complete head and returns it without consuming it. Its status line is valid. The result is valid until the
// next read.
func (c *Conn) peekHead() ([]byte, error) {
	for needed := 1; ; {
		if _, err := c.reader.Peek(needed); err != nil {
			return nil, err
		}
		available, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if err := checkStart(available); err != nil {
			return nil, err
		}
		if end := framing.HeadEnd(available); end > 0 {
			return available[:end], nil
		}
		needed = len(available) + 1
	}
}

// checkStart returns an error if the bytes cannot be the beginning of a head. The answer is then rejected at once, because the end
// of the head may never come.
func checkStart(available []byte) error {
	n := min(len(available), len(protocolPrefix))
	if !bytes.Equal(available[:n], protocolPrefix[:n]) {
		return &MalformedAnswerError{"no HTTP/1 status line"}
	}
	line, _, complete := bytes.Cut(available, []byte{'\n'})
	if !complete {
		return nil
	}
	if err := framing.CheckStatusLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
		return &MalformedAnswerError{err.Error()}
	}
	return nil
}
