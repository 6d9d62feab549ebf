package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// seen is what a caller sees of one answer.
type seen struct {
	status int
	header http.Header
	body   string
	// err is set when the transfer of the body broke.
	err error
}

// readAnswer reads the whole answer.
func readAnswer(response *http.Response) *seen {
	body, err := io.ReadAll(response.Body)
	return &seen{response.StatusCode, response.Header, string(body), err}
}

// exchangeRaw sends bytes on a connection of its own and reads one answer.
func exchangeRaw(address, text string) (*seen, error) {
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
