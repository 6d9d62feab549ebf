package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// crashing starts targets that end when they run a request whose body is "poison". It counts those that did.
func startCrashing(t *testing.T, count int) ([]*rawtarget.Target, *atomic.Int64) {
	targets := make([]*rawtarget.Target, count)
	ended := &atomic.Int64{}
	for i := range targets {
		targets[i] = rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
			if strings.HasPrefix(r.Header.Get(rawtarget.BodyHeader), "poison") {
				ended.Add(1)
				targets[i].Stop()
				return false
			}
			_, err := io.WriteString(conn, rawAnswer(200, r, "", "fine"))
			return err == nil
		})
	}
	return targets, ended
}

// meeting passes the marks of one gateway to another one.
type markForwarder struct{ to *Gateway }

func (m markForwarder) SpreadCrashMark(key string, data []byte) { m.to.MergeCrashMark(key, data) }

// Guards against a request that ends each target that runs it, and that its caller sends again and again, at any instance.
// The pattern is one caller whose request takes a whole service down.
func TestRequestThatCrashesTargets(t *testing.T) {
	targets, ended := startCrashing(t, 8)
	first, second := newTestbed(t, targets...), newTestbed(t, targets...)
	first.gateway.CrashMarks, second.gateway.CrashMarks = markForwarder{second.gateway}, markForwarder{first.gateway}
	beds := []*testbed{first, second}
	for i := range 10 {
		b := beds[i%2]
		if got, _ := b.dial(t).exchange("POST", "/safe/", "id1", "poison"); got.StatusCode == 200 {
			t.Fatalf("the request was answered")
		}
		if got, body := b.dial(t).exchange("POST", "/safe/", "id2", "harmless"); got.StatusCode != 200 || body != "fine" {
			t.Errorf("another request of the caller: %d %q", got.StatusCode, body)
		}
	}
	if n := ended.Load(); n > 3 {
		t.Errorf("%d of 8 targets ended", n)
	}
	began := time.Now()
	got, _ := first.dial(t).exchange("POST", "/safe/", "id3", "poison")
	if got.StatusCode != 503 || got.Header.Get("Retry-After") == "" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("later: status %d, Retry-After %q after %s", got.StatusCode, got.Header.Get("Retry-After"), time.Since(began))
	}
}

// Guards against requests that are held because their answers were lost by targets that live on.
func TestLostAnswersAreNoCrashes(t *testing.T) {
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
