package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// rawAnswer is an HTTP response with its body as far as it was received.
type rawAnswer struct {
	status int
	header http.Header
	body   string
	// err is the error that ended the transfer of the body early, or nil.
	err error
}

// readAnswer reads the response to its end or to the first error.
func readAnswer(response *http.Response) *rawAnswer {
	body, err := io.ReadAll(response.Body)
	return &rawAnswer{response.StatusCode, response.Header, string(body), err}
}

// sendRaw sends text unmodified on a new connection and reads one response, within 5 s.
func sendRaw(address, text string) (*rawAnswer, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response), nil
}
