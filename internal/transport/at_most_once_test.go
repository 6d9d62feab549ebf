package transport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// closeFrom answers the requests before the given number and closes the connection on the others without an answer.
func closeFrom(number int64) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, _ *http.Request, n int64) bool {
		if n >= number {
			return false
		}
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	}
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Guards against sending a request again after its answer was lost, and against reporting it as not sent. HTTP libraries
// retry some methods on a reused connection, and any method with an Idempotency-Key header.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range methods {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for reuse := range int64(2) {
				target := rawtarget.Start(t, closeFrom(reuse+1))
				pool := testPool(t, target.Address(), 4)
				if reuse == 1 {
					if _, err := send(pool, newRequest("POST", target.Address(), "/first", "x")); err != nil {
						t.Fatal(err)
					}
				}
				request := newRequest(method, target.Address(), "/second", "")
				if key != "" {
					request.Header.Set(key, "k1")
				}
				_, err := send(pool, request)
				var failure *ExchangeError
				if !errors.As(err, &failure) || failure.Reason != reason.AnswerLost || !failure.Sent {
					t.Errorf("%s %q reuse %d: got %v, want answer_lost after sending", method, key, reuse, err)
				}
				if got := target.Requests.Load(); got != reuse+1 {
					t.Errorf("%s %q reuse %d: the target read %d requests, want %d", method, key, reuse, got, reuse+1)
				}
			}
		}
	}
}

// Checks that the target of TestRequestIsSentOnce can detect a second send, with net/http, which does send the request
// twice.
func TestTargetCountsSecondSend(t *testing.T) {
	target := rawtarget.Start(t, closeFrom(2))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, body := range []string{"first", "second"} {
		request, err := http.NewRequest("POST", "http://"+target.Address()+"/", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "k1")
		answer, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}
	if got := target.Requests.Load(); got != 3 {
		t.Errorf("the target read %d requests of net/http, want 3", got)
	}
}

// Guards against reporting a request as possibly sent, with outcome unknown, although the connection was never opened.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = send(testPool(t, address, 1), newRequest("POST", address, "/", "x"))
	var failure *ExchangeError
	if !errors.As(err, &failure) || failure.Sent || failure.Reason != reason.ConnectionRefused {
		t.Errorf("got %v, want connection_refused without sending", err)
	}
}
