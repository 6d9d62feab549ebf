package gateway

import (
	"fmt"
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
	target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("s", length-1))
		close(paused)
		<-resume
		_, err := io.WriteString(conn, "s")
		return err == nil
	})
	f := newFixture(t, target.Address())
	go func() {
		<-paused
		// Connections without progress for a second may be closed.
		time.Sleep(1200 * time.Millisecond)
		f.gateway.connections.CloseUnread()
		close(resume)
	}()
	answer, err := newClient(t, false).Get("http://" + f.address + "/desk/x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil || len(body) != length {
		t.Errorf("%d bytes of %d, error %v", len(body), length, err)
	}
	if closed := f.gateway.connections.Closed().Unread; closed != 0 {
		t.Errorf("%d connections were closed as unread", closed)
	}
}
