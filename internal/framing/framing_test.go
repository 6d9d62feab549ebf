package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// sliceReader is a network.Reader over a byte slice.
type sliceReader struct {
	network.Reader
	b []byte
}

func (r *sliceReader) Peek(n int) ([]byte, error) {
	if n > len(r.b) {
		return r.b, io.EOF
	}
	return r.b[:n], nil
}

func (r *sliceReader) Skip(n int) error { r.b = r.b[n:]; return nil }
func (r *sliceReader) Len() int         { return len(r.b) }

var seedLines = []string{
	"Host: a\r\n\r\n",
	"Content-Length: 3\r\n\r\n",
	"content-length: 3\nTransfer-Encoding: chunked\r\n\r\n",
	"Transfer-Encoding: chunked\r\n\r\n",
	"Transfer-Encoding:\tchunked \r\n\r\n",
	"Transfer-Encoding : chunked\r\n\r\n",
	"Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\n",
	"Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
	"Content-Length: 0x3\r\n\r\n",
	"X: a\r\n Content-Length: 3\r\n\r\n",
	"X: a\rContent-Length: 3\r\n\r\n",
	"Connection: close, X-A\r\nX-A: b\r\n\r\n",
	"Trailer: X-A, X-B\r\n\r\n",
	"Trailer: ,\r\n\r\n",
	"trailer: a,\t,b\r\n\r\n",
	"Trailer:\r\nTransfer-Encoding: chunked\r\n\r\n",
	"\r\n",
}

// Guards against a Trailer header with an empty list element, for which the codec panics, and against the refusal of other
// Trailer headers.
func TestEmptyTrailerElements(t *testing.T) {
	for list, valid := range map[string]bool{
		"": true, "X-Sum": true, "X-A, X-B": true, "X-A ,\tX-B": true,
		",": false, ",,": false, ", ,a": false, "a,,b": false, "a, \t,b": false, "a,": false, ",a": false, "a, ": false,
	} {
		if err := Check([]byte("Trailer: " + list + "\r\n\r\n")); (err == nil) != valid {
			t.Errorf("list %q: error %v, want valid %v", list, err, valid)
		}
	}
}

// Guards against errors, which are logged, that are as long as a caller makes its headers.
func TestErrorsAreShort(t *testing.T) {
	long := strings.Repeat("\x01", 16<<10)
	for _, lines := range []string{long, long + ": a", strings.Repeat("a", 16<<10) + ": " + long, "Content-Length: " + long, "Transfer-Encoding: " + strings.Repeat("z", 16<<10)} {
		if err := Check([]byte(lines + "\r\n\r\n")); err == nil || len(err.Error()) > 512 {
			t.Errorf("an error of %d bytes, want at most 512", len(fmt.Sprint(err)))
		}
	}
}

// Guards against request heads for which the codec and net/http read bodies of different length. They must agree on every
// head that Check accepts.
func FuzzCheck(f *testing.F) {
	for _, seed := range seedLines {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, lines []byte) {
		message := append([]byte("POST / HTTP/1.1\r\n"), lines...)
		end := HeadEnd(message)
		if end == 0 || Check(message[len("POST / HTTP/1.1\r\n"):end]) != nil {
			return
		}
		message = message[:end]
		ConnectionOptions(message[len("POST / HTTP/1.1\r\n"):])
		theirs, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message)))
		if err != nil {
			return
		}
		var ours protocol.RequestHeader
		source := &sliceReader{b: bytes.Clone(message)}
		if err := req.ReadHeader(&ours, source); err != nil {
			return
		}
		want := theirs.ContentLength
		got := int64(ours.ContentLength())
		if got == -2 {
			got = 0
		}
		if got != want || source.Len() != 0 {
			t.Errorf("codec reads a body of %d bytes, net/http of %d bytes; %d bytes are left in the head %q", got, want, source.Len(), message)
		}
	})
}

// Guards against response heads for which the codec and net/http read bodies of different length. They must agree on
// every head that Check accepts.
func FuzzCheckResponse(f *testing.F) {
	for _, seed := range seedLines {
		f.Add([]byte(seed))
	}
	const line = "HTTP/1.1 200 OK\r\n"
	f.Fuzz(func(t *testing.T, lines []byte) {
		message := append([]byte(line), lines...)
		end := HeadEnd(message)
		if end == 0 || Check(message[len(line):end]) != nil {
			return
		}
		message = message[:end]
		theirs, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(message)), nil)
		if err != nil {
			return
		}
		_ = theirs.Body.Close()
		var ours protocol.ResponseHeader
		source := &sliceReader{b: bytes.Clone(message)}
		if err := resp.ReadHeader(&ours, source); err != nil {
			return
		}
		got := int64(ours.ContentLength())
		if got == -2 {
			got = -1
		}
		if got != theirs.ContentLength || source.Len() != 0 {
			t.Errorf("codec reads a body of %d bytes, net/http of %d bytes; %d bytes are left in the head %q", got, theirs.ContentLength, source.Len(), message)
		}
	})
}

// Guards against accepting ambiguous or malformed heads, and against rejecting valid ones.
func TestCheck(t *testing.T) {
	cases := []struct {
		lines string
		ok    bool
	}{
		{"Host: a\r\nContent-Length: 3\r\n\r\n", true},
		{"Transfer-Encoding: CHUNKED\r\n\r\n", true},
		{"Empty:\r\n\r\n", true},
		{"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"Content-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
		{"Content-Length: -3\r\n\r\n", false},
		{"Content-Length:\r\n\r\n", false},
		{"Content-Length: 9999999999999999999\r\n\r\n", false},
		{"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"Transfer-Encoding: identity\r\n\r\n", false},
		{"X : a\r\n\r\n", false},
		{": a\r\n\r\n", false},
		{" X: a\r\n\r\n", false},
		{"X: a\rY: b\r\n\r\n", false},
		{"X: a", false},
	}
	for _, c := range cases {
		if err := Check([]byte(c.lines)); (err == nil) != c.ok {
			t.Errorf("%q: got error %v", c.lines, err)
		}
	}
}

// Guards against names with a blank, a control byte or a byte above 0x7f in any place of a header line.
func TestMalformedNames(t *testing.T) {
	for _, name := range rawtarget.MalformedNames("Content-Length") {
		for _, lines := range []string{name + ": 1\r\n\r\n", "X: a\r\n" + name + ": 1\nY: b\r\n\r\n"} {
			if Check([]byte(lines)) == nil {
				t.Errorf("accepted %q", lines)
			}
		}
	}
}
