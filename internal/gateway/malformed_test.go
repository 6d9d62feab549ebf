package gateway

import (
	"net/http"
	"testing"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against status 000, which servers in trouble send, being forwarded to the caller as an answer, reported as not run, or
// counted as an answer of the target.
func TestStatus000IsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"with a phrase":    "HTTP/1.1 000 X\r\n",
		"without a phrase": "HTTP/1.1 000\r\n",
		"interim":          "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, rawtarget.Start(t, rawtarget.Always(head+"Content-Length: 2\r\n\r\nok")).Address())
			request, err := http.NewRequest("POST", "http://"+f.address+"/desk/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			got := send(newClient(t, false), request)
			if got.err != nil || got.status != http.StatusBadGateway || got.reason != reason.AnswerMalformed.Name || got.outcome != string(reason.Unknown) {
				t.Errorf("the caller got %+v, want 502, %s and an unknown outcome", got, reason.AnswerMalformed.Name)
			}
		})
	}
}
