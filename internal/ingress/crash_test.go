package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// startCrashing starts targets that terminate when they run a request whose body begins with "poison". It returns the targets
// and a counter of those that terminated.
func startCrashing(t *testing.T, count int) ([]*rawtarget.Target, *atomic.Int64) {
	return startCrashingFor(t, count, func(r *http.Request) bool { return strings.HasPrefix(r.Header.Get(rawtarget.BodyHeader), "poison") })
}

// startCrashingFor starts targets that terminate when they run a request for which crashes returns true.
func startCrashingFor(t *testing.T, count int, crashes func(*http.Request) bool) ([]*rawtarget.Target, *atomic.Int64) {
	targets := make([]*rawtarget.Target, count)
	crashed := &atomic.Int64{}
	for i := range targets {
		targets[i] = rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
			if crashes(r) {
				crashed.Add(1)
				targets[i].Stop()
				return false
			}
			_, err := io.WriteString(conn, rawAnswer(200, r, "", "fine"))
			return err == nil
		})
	}
	return targets, crashed
}

// markForwarder sends the crash marks of one gateway to another one.
type markForwarder struct{ to *Gateway }

func (m markForwarder) SpreadCrashMark(key string, data []byte) { m.to.MergeCrashMark(key, data) }

// Guards against a request that crashes every target that runs it and that its caller repeats at several instances, until the
// whole service is down.
func TestCrashingRequestIsHeld(t *testing.T) {
	targets, crashed := startCrashing(t, 8)
	first, second := newTestbed(t, targets...), newTestbed(t, targets...)
	first.gateway.CrashMarks, second.gateway.CrashMarks = markForwarder{second.gateway}, markForwarder{first.gateway}
	beds := []*testbed{first, second}
	for i := range 10 {
		b := beds[i%2]
		if got, _ := b.dial(t).exchange("POST", "/safe/", "id1", "poison"); got.StatusCode == 200 {
			t.Fatalf("the request was answered")
		}
		if got, body := b.dial(t).exchange("POST", "/safe/", "id2", "harmless"); got.StatusCode != 200 || body != "fine" {
			t.Errorf("harmless request of the same caller: status %d, body %q", got.StatusCode, body)
		}
	}
	if n := crashed.Load(); n > 3 {
		t.Errorf("%d of 8 targets crashed, want at most 3", n)
	}
	began := time.Now()
	got, _ := first.dial(t).exchange("POST", "/safe/", "id3", "poison")
	if got.StatusCode != 503 || got.Header.Get("Retry-After") == "" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("repeated request: status %d, Retry-After %q after %s", got.StatusCode, got.Header.Get("Retry-After"), time.Since(began))
	}
}

// Guards against holding a request whose answers were lost by targets that are still alive.
func TestLostAnswersAreNotCrashes(t *testing.T) {
	var lost atomic.Int64
	targets := make([]*rawtarget.Target, 4)
	for i := range targets {
		targets[i] = rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
			if lost.Add(1) <= 6 {
				return false
			}
			_, err := io.WriteString(conn, rawAnswer(200, r, "", "fine"))
			return err == nil
		})
	}
	b := newTestbed(t, targets...)
	for lost.Load() <= 6 {
		if got, _ := b.dial(t).exchange("GET", "/safe/", "id1", ""); got.StatusCode == 503 {
			t.Fatal("the request was held")
		}
	}
}

// Guards against taking a request that crashes targets for another one because it comes from another address.
func TestCrashingRequestFromManyAddressesIsHeld(t *testing.T) {
	t.Parallel()
	targets, crashed := startCrashing(t, 16)
	b := newTestbed(t, targets...)
	for i := range 12 {
		b.dialFrom(t, fmt.Sprintf("127.0.1.%d", 1+i)).exchange("POST", "/safe/", fmt.Sprintf("p%d", i), "poison")
	}
	if n := crashed.Load(); n > 3 {
		t.Errorf("%d of 16 targets crashed, want at most 3", n)
	}
}

// Guards against taking a request that crashes targets for another one because its Host is written in another way.
func TestCrashingRequestWithOtherHostFormIsHeld(t *testing.T) {
	t.Parallel()
	targets, crashed := startCrashing(t, 16)
	b := newTestbed(t, targets...)
	for i, host := range []string{"h", "h:80", "H", "h:8080", "H:80", "h:81"} {
		caller := b.dial(t)
		request := fmt.Sprintf("POST /safe/ HTTP/1.1\r\nHost: %s\r\nX-Id: p%d\r\nX-Deadline: 2000\r\nContent-Length: 6\r\n\r\npoison", host, i)
		if _, err := io.WriteString(caller.conn, request); err != nil {
			t.Fatal(err)
		}
		if _, _, err := caller.receive(); err != nil {
			t.Fatal(err)
		}
	}
	if n := crashed.Load(); n > 3 {
		t.Errorf("%d of 16 targets crashed, want at most 3", n)
	}
}

// Guards against a request that crashes targets for one caller only, and that is sent on and on because the same request of other
// callers is answered; and against holding back those others.
func TestCrashingRequestOfOneCallerIsHeld(t *testing.T) {
	t.Parallel()
	targets, crashed := startCrashingFor(t, 16, func(r *http.Request) bool { return r.Header.Get("Cookie") != "" })
	b := newTestbed(t, targets...)
	askOthers := func() {
		for i := range 4 {
			if got, _ := b.dialFrom(t, fmt.Sprintf("127.0.2.%d", 1+i)).exchange("GET", "/safe/", "id", ""); got.StatusCode != http.StatusOK {
				t.Errorf("another caller got status %d", got.StatusCode)
			}
		}
	}
	askOthers()
	for range 12 {
		caller := b.dialFrom(t, "127.0.3.1")
		if _, err := io.WriteString(caller.conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nCookie: c\r\nX-Id: p\r\nX-Deadline: 2000\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, _, err := caller.receive(); err != nil {
			t.Fatal(err)
		}
		askOthers()
	}
	if n := crashed.Load(); n > maxCrashRuns {
		t.Errorf("%d of 16 targets crashed, want at most %d", n, maxCrashRuns)
	}
}

// Guards against taking a request that crashes targets for another one because its body comes in chunks.
func TestCrashingRequestInChunksIsHeld(t *testing.T) {
	t.Parallel()
	targets, crashed := startCrashing(t, 16)
	b := newTestbed(t, targets...)
	const head = "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: p\r\nX-Deadline: 2000\r\n"
	for i := range 9 {
		body := []string{"Content-Length: 6\r\n\r\npoison", "Transfer-Encoding: chunked\r\n\r\n6\r\npoison\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\npo\r\n4\r\nison\r\n0\r\n\r\n"}[i%3]
		caller := b.dial(t)
		if _, err := io.WriteString(caller.conn, head+body); err != nil {
			t.Fatal(err)
		}
		if _, _, err := caller.receive(); err != nil {
			t.Fatal(err)
		}
	}
	if n := crashed.Load(); n > 3 {
		t.Errorf("%d of 16 targets crashed, want at most 3", n)
	}
}
