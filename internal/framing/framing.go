// Package framing checks the head of an HTTP/1 message before the codec reads it.
// The codec accepts ambiguous heads, for example both Content-Length and
// Transfer-Encoding, and picks one; two parties that pick differently see
// different messages on one connection. All functions are pure.
package framing

import (
	"bytes"
	"strconv"
)

// Error reports a head whose framing is ambiguous or malformed.
type Error struct{ Detail string }

func (e *Error) Error() string { return e.Detail }

// HeadEnd returns the length of the head including its empty line, or 0 when b does not hold a whole head.
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

// headers collects what the header lines say about the length of the body.
type headers struct {
	lengths   int
	length    []byte
	encodings int
}

// Check reports header lines that are malformed, fold over several lines, or leave the length of the body open to
// interpretation. The lines start after the first line of the message and end with an empty line.
func Check(lines []byte) error {
	var h headers
	for len(lines) > 0 {
		line, rest, found := bytes.Cut(lines, []byte{'\n'})
		if !found {
			return &Error{"a header line does not end"}
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			return h.check()
		}
		if err := h.add(line); err != nil {
			return err
		}
		lines = rest
	}
	return h.check()
}

func (h *headers) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !IsToken(name) {
		return &Error{"a header name is malformed: " + strconv.Quote(string(name))}
	}
	value = bytes.Trim(value, " \t")
	if !isValue(value) {
		return &Error{"the value of " + string(name) + " holds a control character"}
	}
	switch {
	case equalFold(name, "content-length"):
		return h.addLength(value)
	case equalFold(name, "transfer-encoding"):
		h.encodings++
		if !equalFold(value, "chunked") {
			return &Error{"the transfer encoding is not chunked: " + strconv.Quote(string(value))}
		}
	}
	return nil
}

func (h *headers) addLength(value []byte) error {
	if len(value) == 0 || len(value) > 18 {
		return &Error{"the content length is malformed: " + strconv.Quote(string(value))}
	}
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return &Error{"the content length is malformed: " + strconv.Quote(string(value))}
		}
	}
	h.lengths++
	if h.lengths > 1 {
		return &Error{"there is more than one content length"}
	}
	h.length = value
	return nil
}

func (h *headers) check() error {
	if h.lengths > 0 && h.encodings > 0 {
		return &Error{"there are both a content length and a transfer encoding"}
	}
	if h.encodings > 1 {
		return &Error{"there is more than one transfer encoding"}
	}
	return nil
}

// equalFold compares with a lower-case ASCII name without allocation.
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

// IsToken reports whether the bytes form a token of RFC 9110, as methods and header names do.
func IsToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

func isValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes holds the bytes that RFC 9110 allows in a header name.
var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()
