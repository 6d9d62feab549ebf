package prober

import (
	"io"
	"net"
	"testing"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// exchangeWith sends a probe to a target that answers with raw bytes.
func exchangeWith(t *testing.T, raw string) (loadReport, error) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	go func() {
		_, _ = server.Read(make([]byte, 256))
		_, _ = io.WriteString(server, raw)
	}()
	return exchange(client, "127.0.0.1:1")
}

// Guards against a load report that is read from an answer in whose head the name of a field is malformed.
func TestMalformedNameIsNoLoadReport(t *testing.T) {
	const rest = "Content-Length: 15\r\n\r\n{\"in_flight\":1}"
	for _, name := range rawtarget.MalformedNames("X-A") {
		for head, raw := range map[string]string{
			"final":   "HTTP/1.1 200 OK\r\n" + name + ": 1\r\n" + rest,
			"interim": "HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		} {
			if report, err := exchangeWith(t, raw); err == nil {
				t.Errorf("%s head, name %q: read the load report %+v", head, name, report)
			}
		}
	}
	if report, err := exchangeWith(t, "HTTP/1.1 200 OK\r\nX-A: 1\r\n"+rest); err != nil || report.InFlight != 1 {
		t.Errorf("well-formed name: %+v, %v", report, err)
	}
}
