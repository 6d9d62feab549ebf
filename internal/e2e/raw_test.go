package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// exchangeRaw sends bytes on a connection of its own and reads one answer.
func exchangeRaw(address, text string) (*http.Response, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	response.Body = &connBody{response.Body, conn}
	return response, nil
}

// connBody closes the connection with the body.
type connBody struct {
	io.ReadCloser
	conn net.Conn
}

func (b *connBody) Close() error {
	_ = b.ReadCloser.Close()
	return b.conn.Close()
}
