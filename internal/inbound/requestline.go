package inbound

import (
	"bytes"

	"github.com/basillink/basillink/internal/framing"
)

// ValidRequestLine reports whether a line without its line break has the form "method SP request-target SP HTTP/1.x", where x is
// 0 or 1 and the request target is in origin-form or absolute-form with the scheme http.
func ValidRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte{' '})
	if !ok || !framing.IsToken(method) {
		return false
	}
	target, version, ok := bytes.Cut(rest, []byte{' '})
	if !ok || string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return false
	}
	return validTarget(target)
}

func validTarget(target []byte) bool {
	for _, b := range target {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	origin := OriginForm(string(target))
	return origin != "" && origin[0] == '/'
}

// OriginForm returns the path and query of a request target. The authority of an absolute-form target is dropped, because it does
// not select the service. Other targets are returned unchanged.
func OriginForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || target[:len(scheme)] != scheme {
		return target
	}
	rest := target[len(scheme):]
	for i := range len(rest) {
		switch rest[i] {
		case '/':
			return rest[i:]
		case '?':
			return "/" + rest[i:]
		}
	}
	return "/"
}
