package load

import (
	"testing"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against an answer that counts although its head is malformed: with a status that is none, or with a name of a field that
// holds a blank or a control byte.
func TestMalformedAnswersAreFailures(t *testing.T) {
	heads := []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n"}
	for _, name := range rawtarget.MalformedNames("X-A") {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+name+": 1\r\n")
	}
	for _, name := range rawtarget.MalformedNames("Content-Length") {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+name+": 2\r\n")
	}
	for _, head := range heads {
		target := rawtarget.Start(t, rawtarget.Always(head+"Content-Length: 2\r\n\r\nok"))
		report := runPlan(t, testPlan("http://"+target.Address()+"/", 3))
		if report.Failed != 3 || report.Causes["failed/client_answer_malformed"] != 3 {
			t.Errorf("%q: %d failed, causes %v", head, report.Failed, report.Causes)
		}
	}
}
