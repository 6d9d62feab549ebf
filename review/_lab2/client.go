package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// exchange is one attempt of a client.
type exchange struct {
	id   string
	node int
	// sentAt is the time since the start of the lab, took the time until the whole answer or the end of the attempt.
	sentAt, took time.Duration
	// reused is true on a connection that has carried an answer before.
	reused bool
	// status is 0 without a whole answer. gotBytes is true if at least one byte of an answer arrived, and closed if the
	// connection ended before a whole answer.
	status           int
	gotBytes, closed bool
	// statusLine holds the first line of the answer, as far as it arrived at once.
	statusLine string
}

// exchanges collects the attempts of all clients.
type exchanges struct {
	mu   sync.Mutex
	list []exchange
}

func (e *exchanges) add(one exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, one)
}

// caller is a client that keeps one connection to one node.
type caller struct {
	lab    *lab
	node   int
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and waits for its answer until the deadline. It never sends a request twice.
func (c *caller) send(method, path string, deadline time.Duration) (one exchange) {
	one = exchange{id: fmt.Sprintf("%016x", rand.Uint64()), node: c.node, sentAt: time.Since(c.lab.started)}
	defer func() { one.took = time.Since(c.lab.started) - one.sentAt }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.lab.nodes[c.node].front(), time.Second)
		if err != nil {
			one.closed = true
			return one
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	one.reused = c.used
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, host, one.id, deadline.Milliseconds()); err != nil {
		one.closed = true
		c.close()
		return one
	}
	if _, err := c.reader.Peek(1); err != nil {
		timeout, isNet := err.(net.Error)
		one.closed = !isNet || !timeout.Timeout()
		c.close()
		return one
	}
	one.gotBytes = true
	received, _ := c.reader.Peek(c.reader.Buffered())
	line, _, _ := strings.Cut(string(received), "\r\n")
	one.statusLine = line
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		one.closed = true
		c.close()
		return one
	}
	one.status = response.StatusCode
	c.used = true
	if response.Close {
		c.close()
	}
	return one
}
