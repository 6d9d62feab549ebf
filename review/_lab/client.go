package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// clientTimeout is how long clients allow a new connection to be established.
const clientTimeout = time.Second

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	return b.String() + "\r\n"
}

// reply is what a client got. err is set if there was no complete answer.
type reply struct {
	status    int
	signature string
	body      string
	reason    string
	closing   bool
	err       error
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("status %d signature %q reason %q", r.status, r.signature, r.reason)
}

// readReply reads an answer. It skips interim answers.
func (c *client) readReply(deadline time.Time) reply {
	_ = c.conn.SetReadDeadline(deadline)
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return reply{err: err}
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return reply{err: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		return reply{
			status: response.StatusCode, signature: response.Header.Get("X-Response-Signature"), body: string(body),
			reason: response.Header.Get("Basillink-Reason"), closing: response.Close,
		}
	}
}

// do sends a request without a body and reads its answer.
func (c *client) do(method, path, id string, deadline time.Duration) reply {
	sentAt := time.Now()
	extra := []string{}
	if method == http.MethodPost {
		extra = append(extra, "Content-Length: 0")
	}
	if _, err := io.WriteString(c.conn, head(method, path, id, deadline, extra...)); err != nil {
		return reply{err: err}
	}
	return c.readReply(sentAt.Add(deadline))
}
