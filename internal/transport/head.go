package transport

import (
	"bytes"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/framing"
)

// maxInterimAnswers bounds the 1xx answers before the final one.
const maxInterimAnswers = 8

// unboundedLength is the codec's content length of a body that ends by close.
const unboundedLength = -2

var protocolPrefix = []byte("HTTP/1.")

// readHead reads the head of the final answer.
func (c *Conn) readHead(answer *Answer) error {
	response := answer.Response
	for range maxInterimAnswers {
		if err := c.checkHead(answer); err != nil {
			return err
		}
		if err := resp.ReadHeader(&response.Header, c); err != nil {
			return err
		}
		if response.StatusCode() == http.StatusSwitchingProtocols || response.StatusCode() < http.StatusContinue {
			return &MalformedAnswerError{"unexpected status"}
		}
		if response.StatusCode() >= http.StatusOK {
			return nil
		}
	}
	return &MalformedAnswerError{"too many interim answers"}
}

// checkHead waits for a whole head and checks it without consuming it. The codec does not keep what it reads here.
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

func (c *Conn) peekHead() ([]byte, error) {
	for wanted := 1; ; {
		if _, err := c.reader.Peek(wanted); err != nil {
			return nil, err
		}
		available, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if !startsLikeAnswer(available) {
			return nil, &MalformedAnswerError{"no HTTP/1 status line"}
		}
		if end := framing.HeadEnd(available); end > 0 {
			return available[:end], nil
		}
		wanted = len(available) + 1
	}
}

// startsLikeAnswer reports whether bytes may be the beginning of an answer. Others are not waited for: they may never end.
func startsLikeAnswer(available []byte) bool {
	n := min(len(available), len(protocolPrefix))
	return bytes.Equal(available[:n], protocolPrefix[:n])
}
