package framing

import "bytes"

// versionPrefix precedes the minor version in a status line. One digit follows it.
const versionPrefix = "HTTP/1."

// statusDigits is the number of digits of a status.
const statusDigits = 3

// CheckStatusLine returns an *Error unless the line, without its line break, is a status line as defined in RFC 9112, section 4,
// with a status from 100 to 599 (RFC 9110, section 15). The space after the status may be missing. A codec that is less strict
// takes other numbers for statuses, and the answer would be passed on with a status line that its sender did not write.
func CheckStatusLine(line []byte) error {
	version, rest, found := bytes.Cut(line, []byte{' '})
	if !found || len(version) != len(versionPrefix)+1 || string(version[:len(versionPrefix)]) != versionPrefix || !isDigit(version[len(versionPrefix)]) {
		return &Error{"malformed version in the status line: " + quote(line)}
	}
	status, phrase, _ := bytes.Cut(rest, []byte{' '})
	if !isStatus(status) {
		return &Error{"malformed status: " + quote(status)}
	}
	if !isFieldValue(phrase) {
		return &Error{"the reason phrase contains a control character"}
	}
	return nil
}

// isStatus reports whether b is a number from 100 to 599.
func isStatus(b []byte) bool {
	return len(b) == statusDigits && '1' <= b[0] && b[0] <= '5' && isDigit(b[1]) && isDigit(b[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
