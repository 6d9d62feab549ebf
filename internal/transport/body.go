package transport

import (
	"errors"
	"io"
	"net/http/httputil"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// endOfBody checks that the body is whole. It returns io.EOF if so.
func (a *Answer) endOfBody() error {
	if a.closeDelimited {
		return io.EOF
	}
	if !a.chunked {
		if limited, ok := a.remainder.(*io.LimitedReader); ok && limited.N > 0 {
			return io.ErrUnexpectedEOF
		}
		return io.EOF
	}
	if err := a.conn.skipTrailer(); err != nil {
		return err
	}
	return io.EOF
}

// maxTrailerBytes bounds the trailer of a chunked body. Trailers are not passed on.
const maxTrailerBytes = 8 << 10

// skipTrailer reads the lines after the last chunk through the empty line.
func (c *Conn) skipTrailer() error {
	total := 0
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return unexpected(err)
		}
		if len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return nil
		}
		if total += len(line); total > maxTrailerBytes {
			return &MalformedAnswerError{"the trailer is too long"}
		}
	}
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readAnswer reads the head and the first part of the body.
func (c *Conn) readAnswer(request *protocol.Request, answer *Answer) error {
	for range maxSkippedAnswers {
		if err := c.readOne(request, answer); err != nil {
			return err
		}
		accept := answer.limits.Accept
		if accept == nil || accept(&answer.Response.Header, c.fresh() && !c.spoiled) {
			return nil
		}
		c.spoiled = true
		if answer.remainder != nil {
			return &MalformedAnswerError{"a long answer to another request"}
		}
		answer.forget()
	}
	return &MalformedAnswerError{"only answers to other requests"}
}

// maxSkippedAnswers bounds the answers that are read until one belongs to the request. A peer may send a second answer to
// an earlier request late.
const maxSkippedAnswers = 3

// forget drops an answer that belongs to another request.
func (a *Answer) forget() {
	if a.body != nil {
		keepBuffer(a.body)
		a.body = nil
	}
	a.Response.Reset()
	a.chunked, a.length, a.read = false, 0, 0
}

func (c *Conn) readOne(request *protocol.Request, answer *Answer) error {
	response := answer.Response
	if err := c.readHead(answer); err != nil {
		return err
	}
	response.SkipBody = request.Header.IsHead()
	if response.MustSkipBody() {
		return nil
	}
	answer.length = response.Header.ContentLength()
	switch {
	case answer.length == unboundedLength && !answer.limits.AllowCloseDelimited:
		return &UnboundedAnswerError{}
	case answer.length == unboundedLength:
		c.spoiled = true
		answer.closeDelimited = true
		answer.remainder = c.reader
	case answer.length < 0:
		answer.chunked = true
		answer.remainder = httputil.NewChunkedReader(c.reader)
	case answer.length == 0:
		return nil
	case answer.length > answer.limits.MaxBodyBytes:
		return &AnswerSizeError{answer.limits.MaxBodyBytes}
	default:
		answer.remainder = &io.LimitedReader{R: c.reader, N: int64(answer.length)}
	}
	if err := answer.readPrefix(); err != nil {
		return err
	}
	if answer.read > answer.limits.MaxBodyBytes {
		return &AnswerSizeError{answer.limits.MaxBodyBytes}
	}
	return nil
}

// readPrefix reads at most limits.MaxBufferedBytes of the body, and ends the exchange if that is all.
func (a *Answer) readPrefix() error {
	size := a.length
	if a.chunked || a.closeDelimited {
		size = firstChunkedBytes
	}
	a.body = takeBuffer(min(size, a.limits.MaxBufferedBytes))
	err := a.fill()
	a.Response.SetBodyRaw(a.body)
	return err
}

// firstChunkedBytes is the first buffer for a body of unknown length.
const firstChunkedBytes = 4 << 10

func (a *Answer) fill() error {
	for len(a.body) < a.limits.MaxBufferedBytes {
		if len(a.body) == cap(a.body) {
			a.growBody()
		}
		end := min(cap(a.body), a.limits.MaxBufferedBytes)
		n, err := a.remainder.Read(a.body[len(a.body):end])
		a.body = a.body[:len(a.body)+n]
		a.read = len(a.body)
		if err != nil || !a.chunked && !a.closeDelimited && len(a.body) == a.length {
			return a.prefixEnd(err)
		}
	}
	return nil
}

func (a *Answer) growBody() {
	grown := append(takeBuffer(2*cap(a.body)), a.body...)
	keepBuffer(a.body)
	a.body = grown
}

// prefixEnd handles the end of the body within the prefix.
func (a *Answer) prefixEnd(err error) error {
	if err == nil || err == io.EOF {
		err = a.endOfBody()
	}
	if err != io.EOF {
		return &TruncatedAnswerError{err}
	}
	a.remainder = nil
	return nil
}
