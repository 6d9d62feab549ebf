package gateway

import (
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/inbound"
)

// Guards against request URIs that are rewritten on the way to the target, or that select a path outside the service.
func TestSplitService(t *testing.T) {
	cases := []struct{ target, fromHeader, service, uri string }{
		{"/desk/x?y=1", "", "desk", "/x?y=1"},
		{"/desk", "", "desk", "/"},
		{"/desk?y", "", "desk", "/?y"},
		{"/desk//x/../y", "", "desk", "//x/../y"},
		{"/desk/%2e%2E/a%20b", "", "desk", "/%2e%2E/a%20b"},
		{"/x", "desk", "desk", "/x"},
		{"http://host:1/desk/x", "", "desk", "/x"},
		{"http://host", "", "", "/"},
		{"http://host?a=/b", "desk", "desk", "/?a=/b"},
		{"/", "", "", "/"},
	}
	for _, c := range cases {
		service, uri := splitService(c.fromHeader, inbound.OriginForm(c.target))
		if service != c.service || uri != c.uri {
			t.Errorf("%q: service %q, uri %q", c.target, service, uri)
		}
	}
}

// Guards against accepted request lines whose URI is altered: the service and the remaining URI must add up to the
// original.
func FuzzRequestLine(f *testing.F) {
	for _, seed := range []string{
		"GET /desk/x HTTP/1.1", "GET http://a/desk?x HTTP/1.0", "GET  / HTTP/1.1", "OPTIONS * HTTP/1.1", "CONNECT a:1 HTTP/1.1",
		"GET /a\tb HTTP/1.1", "G(T / HTTP/1.1", "GET / HTTP/1.1 ", "GET http:// HTTP/1.1", "GET //// HTTP/1.1",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, line string) {
		if !inbound.ValidRequestLine([]byte(line)) {
			return
		}
		target := strings.Split(line, " ")[1]
		origin := inbound.OriginForm(target)
		service, uri := splitService("", origin)
		if !strings.HasPrefix(uri, "/") || strings.ContainsAny(uri, " \r\n") || strings.ContainsAny(service, "/? \r\n") {
			t.Errorf("%q: service %q, uri %q", line, service, uri)
		}
		if rebuilt := "/" + service + uri; rebuilt != origin && rebuilt != origin+"/" && rebuilt != strings.Replace(origin, "?", "/?", 1) {
			t.Errorf("%q: service %q and uri %q do not add up to %q", line, service, uri, origin)
		}
	})
}

// Guards against header values that are accepted as a number although they are not decimal digits or out of range.
func FuzzParseBoundedInt(f *testing.F) {
	for _, seed := range []string{"1", "8", "9", "0", "-1", "+1", " 1", "1e3", "99999999999999999999", "१"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, ok := parseBoundedInt(text, 3, 8)
		if ok && (n < 1 || n > 8) {
			t.Errorf("%q: got %d, which is out of range", text, n)
		}
		if ok && text != "" && strings.Trim(text, "0123456789") != "" {
			t.Errorf("%q is accepted", text)
		}
	})
}
