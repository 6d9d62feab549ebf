// Package framing validates the head of an HTTP/1 message before the codec reads
// it. The codec accepts ambiguous heads, for example with both Content-Length and
// Transfer-Encoding, and picks one of them. If two parties pick differently, they
// see different messages on one connection (request smuggling). All functions that
// take bytes are pure.
package framing

import (
	"bytes"
	"strconv"
)

// Error reports a head whose framing is ambiguous or malformed.
type Error struct{ Detail string }

func (e *Error) Error() string { return e.Detail }

// tokenPrefix returns the beginning of a malformed header name that is a token. The rest may be a value, which must not be logged.
func tokenPrefix(name []byte) []byte {
	for i, c := range name {
		if !tokenBytes[c] {
			return name[:i]
		}
	}
	return name
}

// maxQuotedBytes bounds the part of a header that an Error quotes, because callers choose it and errors are logged.
const maxQuotedBytes = 64

// quote quotes the beginning of a name or value.
func quote(b []byte) string {
	if len(b) <= maxQuotedBytes {
		return strconv.Quote(string(b))
	}
	return strconv.Quote(string(b[:maxQuotedBytes])) + "..."
}

// HeadEnd returns the length of the head in b including its empty line, or 0 if the head is incomplete.
func HeadEnd(b []byte) int {
	for offset := 0; ; {
		i := bytes.IndexByte(b[offset:], '\n')
		if i < 0 {
			return 0
		}
		offset += i + 1
		rest := b[offset:]
		if len(rest) >= 1 && rest[0] == '\n' {
			return offset + 1
		}
		if len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n' {
			return offset + 2
		}
	}
}

// bodyHeaders collects the headers that determine the length of the body.
type bodyHeaders struct {
	lengthCount   int
	length        []byte
	encodingCount int
}

// Check returns an *Error if a header line is malformed or folded, if the length of the body is ambiguous, or if the list
// of a Trailer header has an empty element, for which the codec panics. The lines start after the first line of the
// message and end with an empty line.
func Check(lines []byte) error {
	var h bodyHeaders
	for len(lines) > 0 {
		line, rest, found := bytes.Cut(lines, []byte{'\n'})
		if !found {
			return &Error{"header line is not terminated"}
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			return h.checkConflicts()
		}
		if err := h.add(line); err != nil {
			return err
		}
		lines = rest
	}
	return h.checkConflicts()
}

// add validates a header line and records it if it determines the length of the body.
func (h *bodyHeaders) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		// The line may be the rest of a value, which must not be logged.
		return &Error{"header line without a colon"}
	}
	if !IsToken(name) {
		return &Error{"malformed header name: " + quote(tokenPrefix(name))}
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return &Error{"value of header " + quote(name) + " contains a control character"}
	}
	switch {
	case equalFold(name, "content-length"):
		return h.addLength(value)
	case equalFold(name, "transfer-encoding"):
		h.encodingCount++
		if !equalFold(value, "chunked") {
			return &Error{"Transfer-Encoding is not chunked: " + quote(value)}
		}
	case equalFold(name, "trailer"):
		return checkTrailerNames(value)
	}
	return nil
}

// checkTrailerNames returns an *Error if a non-empty list of names has an empty element. No sender may generate one
// (RFC 9110, section 5.6.1.1).
func checkTrailerNames(list []byte) error {
	for len(list) > 0 {
		name, rest, more := bytes.Cut(list, []byte{','})
		if len(bytes.Trim(name, " \t")) == 0 || more && len(rest) == 0 {
			return &Error{"the list of the Trailer header has an empty element"}
		}
		list = rest
	}
	return nil
}

// addLength records a Content-Length header. It accepts up to 18 digits, which always fit into an int64.
func (h *bodyHeaders) addLength(value []byte) error {
	if len(value) == 0 || len(value) > 18 {
		return &Error{"malformed Content-Length: " + quote(value)}
	}
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return &Error{"malformed Content-Length: " + quote(value)}
		}
	}
	h.lengthCount++
	if h.lengthCount > 1 {
		return &Error{"more than one Content-Length"}
	}
	h.length = value
	return nil
}

// checkConflicts reports headers that contradict each other about the length of the body.
func (h *bodyHeaders) checkConflicts() error {
	if h.lengthCount > 0 && h.encodingCount > 0 {
		return &Error{"both Content-Length and Transfer-Encoding"}
	}
	if h.encodingCount > 1 {
		return &Error{"more than one Transfer-Encoding"}
	}
	return nil
}

// equalFold reports whether b equals a lower-case ASCII name, ignoring case. It does not allocate.
func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// IsToken reports whether name is a token as defined in RFC 9110. Methods and header names are tokens.
func IsToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether a header value contains no control characters except tabs.
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes is true for each byte that RFC 9110 permits in a token.
var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()
