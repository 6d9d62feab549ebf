package framing

import "testing"

// Guards against bytes that are no status line and are taken for one, and against the refusal of valid status lines.
func TestCheckStatusLine(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.0 404 Not Found": true, "HTTP/1.1 599 ": true, "HTTP/1.1 100": true, "HTTP/1.2 200 OK": true,
		"HTTP/1.1 200 caf\xc3\xa9\tau lait": true, "HTTP/1.1 200 ": true,
		"HTTP/1.1 2000 OK": false, "HTTP/1.1 0200 OK": false, "HTTP/1.1 600 X": false, "HTTP/1.1 999 X": false, "HTTP/1.1 099 X": false,
		"HTTP/1.1 000 X": false, "HTTP/1.1 000": false, "HTTP/1.1 000 ": false, "HTTP/1.0 000 OK": false, "HTTP/1.1 0 X": false, "HTTP/1.1 00 X": false,
		"HTTP/1.1 20 X": false, "HTTP/1.1 +200 X": false, "HTTP/1.1 -20 X": false, "HTTP/1.1 2x0 X": false, "HTTP/1.1  200 X": false,
		"HTTP/1.1\t200 X": false, "HTTP/1.1 200\tX": false, "HTTP/1.1 200OK": false, "HTTP/1.1": false, "HTTP/1.1 ": false, "": false,
		"HTTP/1.7777 200 OK": false, "HTTP/1. 200 OK": false, "HTTP/1.x 200 OK": false, "HTTP/2.0 200 OK": false, "http/1.1 200 OK": false,
		"HTTP/1.1 200 O\x00K": false, "HTTP/1.1 200 OK\r": false, "HTTP/1.1 200 \x7f": false,
	} {
		if err := CheckStatusLine([]byte(line)); (err == nil) != valid {
			t.Errorf("%q: error %v, want valid %v", line, err, valid)
		}
	}
}
