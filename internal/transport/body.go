package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/membudget"
)

// checkBodyEnd checks at the end of remainder that the body is complete. It returns io.EOF if so.
func (a *Answer) checkBodyEnd() error {
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

// maxTrailerBytes bounds the trailer of a chunked body. Trailers are not forwarded.
const maxTrailerBytes = 8 << 10

// skipTrailer reads the trailer after the last chunk, including the empty line that ends it.
func (c *Conn) skipTrailer() error {
	total := 0
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return unexpectedEOF(err)
		}
		if len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return nil
		}
		if total += len(line); total > maxTrailerBytes {
			return &MalformedAnswerError{fmt.Sprintf("the trailer is longer than %d bytes", maxTrailerBytes)}
		}
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readAnswer reads the head and the first part of the body. It skips answers to other requests.
func (c *Conn) readAnswer(request *protocol.Request, answer *Answer) error {
	for range maxSkippedAnswers {
		if err := c.readOneAnswer(request, answer); err != nil {
			return err
		}
		accept := answer.limits.Accept
		if accept == nil || accept(&answer.Response.Header, c.onFirstExchange() && !c.noReuse) {
			return nil
		}
		c.noReuse = true
		if answer.remainder != nil {
			return &MalformedAnswerError{fmt.Sprintf("an answer to another request has a body of more than %d bytes", answer.limits.MaxBufferedBytes)}
		}
		answer.reset()
	}
	return &MalformedAnswerError{fmt.Sprintf("%d answers to other requests", maxSkippedAnswers)}
}

// maxSkippedAnswers bounds the answers that are read to find the one to the request. A peer may send a second, late answer
// to an earlier request.
const maxSkippedAnswers = 3

// reset discards an answer to another request, so that the next one can be read.
func (a *Answer) reset() {
	a.releaseBody()
	a.Response.Reset()
	a.chunked, a.length, a.bytesRead = false, 0, 0
}

// readOneAnswer reads the head and the first part of the body of the next answer, whichever request it belongs to.
func (c *Conn) readOneAnswer(request *protocol.Request, answer *Answer) error {
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
	case answer.length == closeDelimitedLength && !answer.limits.AllowCloseDelimited:
		return &UnboundedAnswerError{}
	case answer.length == closeDelimitedLength:
		c.noReuse = true
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
	if answer.bytesRead > answer.limits.MaxBodyBytes {
		return &AnswerSizeError{answer.limits.MaxBodyBytes}
	}
	return nil
}

// readPrefix reads at most limits.MaxBufferedBytes of the body into Response. If that is the whole body, it sets remainder
// to nil.
func (a *Answer) readPrefix() error {
	size := a.length
	if a.chunked || a.closeDelimited {
		size = initialBodyBytes
	}
	if !a.allocateBody(min(size, a.limits.MaxBufferedBytes)) {
		a.body = getBuffer(minPrefixBytes)
	}
	err := a.fillPrefix()
	a.Response.SetBodyRaw(a.body)
	return err
}

// initialBodyBytes is the initial buffer size for a body of unknown length.
const initialBodyBytes = 4 << 10

func (a *Answer) fillPrefix() error {
	for len(a.body) < a.limits.MaxBufferedBytes {
		if len(a.body) == cap(a.body) && !a.growBody() {
			return nil
		}
		end := min(cap(a.body), a.limits.MaxBufferedBytes)
		n, err := a.remainder.Read(a.body[len(a.body):end])
		a.body = a.body[:len(a.body)+n]
		a.bytesRead = len(a.body)
		if err != nil || !a.chunked && !a.closeDelimited && len(a.body) == a.length {
			return a.finishPrefix(err)
		}
	}
	return nil
}

// minPrefixBytes is the size of the buffer when limits.Memory has no more. It is not allocated from there.
const minPrefixBytes = 1 << minBodyShift

// allocateBody allocates an empty buffer for the body. It reports false if limits.Memory does not have it.
func (a *Answer) allocateBody(size int) bool {
	size = bufferCapacity(size)
	if !a.limits.Memory.Grow(size, membudget.ForBody) {
		return false
	}
	a.granted += size
	a.body = getBuffer(size)
	return true
}

// growBody doubles the buffer of the body. It reports false if limits.Memory does not have the bytes.
func (a *Answer) growBody() bool {
	small, granted := a.body, a.granted
	if !a.allocateBody(2 * cap(small)) {
		return false
	}
	a.body = append(a.body, small...)
	putBuffer(small)
	a.limits.Memory.Shrink(granted)
	a.granted -= granted
	return true
}

// releaseBody releases the buffer of the body.
func (a *Answer) releaseBody() {
	if a.body != nil {
		putBuffer(a.body)
		a.body = nil
	}
	a.limits.Memory.Shrink(a.granted)
	a.granted = 0
}

// finishPrefix handles the end of the body, or a read error, within the prefix.
func (a *Answer) finishPrefix(err error) error {
	if err == nil || err == io.EOF {
		err = a.checkBodyEnd()
	}
	if err != io.EOF {
		return &TruncatedAnswerError{err}
	}
	a.remainder = nil
	return nil
}
