package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against answers that are cut because their callers seem not to read, while in fact the target has not sent the next part.
func TestSlowTargetIsNotAStalledCaller(t *testing.T) {
	const length = 2 * maxBufferedAnswerBytes
	paused, resume := make(chan struct{}), make(chan struct{})
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		raw := rawAnswer(200, r, "", strings.Repeat("s", length))
		_, _ = io.WriteString(conn, raw[:len(raw)-1])
		close(paused)
		<-resume
		_, err := io.WriteString(conn, raw[len(raw)-1:])
		return err == nil
	})
	b := newTestbed(t, target)
	config := newRoutesConfig("s")
	for i := range config.Routes {
		config.Routes[i].Timeout = 4 * time.Second
	}
	b.setConfig(t, config)
	caller := b.dial(t)
	go func() {
		<-paused
		// Connections without progress for a second may be closed.
		time.Sleep(1200 * time.Millisecond)
		b.gateway.connections.CloseUnread()
		close(resume)
	}()
	answer, body, err := caller.receiveFor("GET", "/safe/x", "slow")
	if err != nil || answer.StatusCode != 200 || len(body) != length {
		t.Errorf("status %d, %d bytes of %d, error %v", answer.StatusCode, len(body), length, err)
	}
	if closed := b.gateway.connections.Closed().Unread; closed != 0 {
		t.Errorf("%d connections were closed as unread", closed)
	}
}
