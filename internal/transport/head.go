package transport

import (
	"bytes"
	"errors"
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
	head, err := framing.PeekAnswerHead(c.reader)
	if err != nil {
		return malformedAnswer(err)
	}
	lineEnd := bytes.IndexByte(head, '\n') + 1
	if err := framing.Check(head[lineEnd:]); err != nil {
		return malformedAnswer(err)
	}
	answer.ConnectionOptions = framing.ConnectionOptions(head[lineEnd:])
	return nil
}

// malformedAnswer replaces a *framing.Error by a *MalformedAnswerError.
func malformedAnswer(err error) error {
	var malformed *framing.Error
	if errors.As(err, &malformed) {
		return &MalformedAnswerError{malformed.Detail}
	}
	return err
}
