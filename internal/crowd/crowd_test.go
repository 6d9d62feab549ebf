//go:build !race

package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sendTime bounds the time in which a crowd sends. Callers whose bytes are not read keep their connections.
	sendTime = 3 * time.Second
	// ordinaryAttempts is how often an ordinary caller tries, and ordinaryPause its pause after a refusal.
	ordinaryAttempts = 30
	ordinaryPause    = 100 * time.Millisecond
	// shortOfEnd is how many bytes of its body a caller holds back.
	shortOfEnd = 16
)

// filler is what bodies consist of.
var filler = strings.Repeat("z", 1<<20)

// crowd is a number of callers that send at the same time.
type crowd struct {
	callers int
	// send sends the bytes of a caller and returns the connection that stays open.
	send func(i *instance, n int) net.Conn
}

// dial opens a connection whose writes end after sendTime. It returns nil if the instance does not accept it.
func dial(i *instance) net.Conn {
	conn, err := net.DialTimeout("tcp", i.address, sendTime)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
	return conn
}

// upload returns a sender of a request that begins with the given bytes: the lines of its head about its body, the empty line, and
// what comes first of the body. The rest is a part that is repeated until a number of bytes are sent.
func upload(begin, part string, bytes int) func(i *instance, n int) net.Conn {
	return func(i *instance, n int) net.Conn {
		conn := dial(i)
		if conn == nil {
			return nil
		}
		_, err := io.WriteString(conn, i.head("POST", "x", fmt.Sprintf("c%d", n))+begin)
		for sent := 0; err == nil && sent < bytes; {
			var wrote int
			wrote, err = io.WriteString(conn, part[:min(len(part), bytes-sent)])
			sent += wrote
		}
		return conn
	}
}

// chunkedHead ends the head of a request with a chunked body.
const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// chunks returns a part that consists of chunks of a size. It is long, so that few calls send many chunks.
func chunks(size int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, filler[:size])
	return strings.Repeat(chunk, max(1, (1<<20)/len(chunk)))
}

// oneChunk returns a sender of one chunk of a size that lacks its last bytes.
func oneChunk(size int) func(i *instance, n int) net.Conn {
	return upload(fmt.Sprintf("%s%x\r\n", chunkedHead, size), filler, size-shortOfEnd)
}

// declared returns a sender of a body with a length that lacks its last bytes.
func declared(size int) func(i *instance, n int) net.Conn {
	return upload(fmt.Sprintf("Content-Length: %d\r\n\r\n", size), filler, size-shortOfEnd)
}

// again returns a sender that closes its connection and sends on a new one, a number of times.
func again(times int, send func(i *instance, n int) net.Conn) func(i *instance, n int) net.Conn {
	return func(i *instance, n int) net.Conn {
		for range times {
			if conn := send(i, n); conn != nil {
				_ = conn.Close()
			}
		}
		return send(i, n)
	}
}

// trickle returns a sender that goes on with single bytes until its connection is closed.
func trickle(send func(i *instance, n int) net.Conn, pause time.Duration) func(i *instance, n int) net.Conn {
	return func(i *instance, n int) net.Conn {
		conn := send(i, n)
		if conn == nil {
			return nil
		}
		_ = conn.SetWriteDeadline(time.Time{})
		go func() {
			for err := error(nil); err == nil; time.Sleep(pause) {
				_, err = io.WriteString(conn, "z")
			}
		}()
		time.Sleep(sendTime)
		return conn
	}
}

// partialHead returns a sender of a part of a head.
func partialHead(bytes int) func(i *instance, n int) net.Conn {
	return func(i *instance, n int) net.Conn {
		conn := dial(i)
		if conn != nil {
			_, _ = io.WriteString(conn, i.head("GET", "x", fmt.Sprintf("c%d", n))+"X-Fill: "+filler[:bytes])
		}
		return conn
	}
}

// unread returns a sender of requests for large answers, which it never reads.
func unread(requests int) func(i *instance, n int) net.Conn {
	return func(i *instance, n int) net.Conn {
		conn := dial(i)
		if conn != nil {
			one := i.head("GET", largePath, fmt.Sprintf("c%d", n)) + "\r\n"
			_, _ = io.WriteString(conn, strings.Repeat(one, requests))
		}
		return conn
	}
}

// silent opens a connection and sends nothing.
func silent(i *instance, _ int) net.Conn { return dial(i) }

// gather runs all callers of the crowd until they have sent what they send. It returns their open connections.
func (c crowd) gather(i *instance) []net.Conn {
	conns := make([]net.Conn, c.callers)
	var group sync.WaitGroup
	for n := range c.callers {
		group.Go(func() { conns[n] = c.send(i, n) })
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	for {
		i.countDescriptors()
		select {
		case <-done:
			return conns
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// expectOrdinary verifies that an ordinary caller, who repeats a refused request, gets an answer, and that each refusal before says
// that the request was not run and when to repeat it.
func expectOrdinary(t *testing.T, i *instance, when string) {
	t.Helper()
	for attempt := range ordinaryAttempts {
		status, header := i.ordinary(fmt.Sprintf("%s-%d", when, attempt))
		i.countDescriptors()
		if status != http.StatusOK {
			t.Logf("%s: attempt %d: status %d %s", when, attempt+1, status, header.Get("Basillink-Reason"))
		}
		switch status {
		case http.StatusOK:
			t.Logf("%s: answered at attempt %d", when, attempt+1)
			return
		case 0:
		case http.StatusServiceUnavailable:
			if i.program == "edge" && header.Get("Retry-After") == "" {
				t.Errorf("%s: a refusal without Retry-After", when)
			}
		default:
			t.Errorf("%s: status %d", when, status)
		}
		time.Sleep(ordinaryPause)
	}
	t.Errorf("%s: an ordinary request was not answered in %d attempts", when, ordinaryAttempts)
}

// check runs a crowd against an instance and verifies that the process lives, stays within its memory and its descriptors, and
// answers an ordinary request while the crowd stays and after it has left.
func (c crowd) check(t *testing.T, start func(*testing.T) *instance) {
	t.Helper()
	i := start(t)
	before := i.peakMB()
	conns := c.gather(i)
	expectOrdinary(t, i, "during")
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	expectOrdinary(t, i, "after")
	peak := i.peakMB()
	t.Logf("memory %d MB before, %d MB at most, bound %d MB; %d descriptors at most, bound %d", before, peak, i.memoryMB, i.maxDescriptors, maxDescriptors)
	if !i.lives() {
		t.Fatal("the process ended")
	}
	if peak > i.memoryMB {
		t.Errorf("the process held up to %d MB, bound %d MB", peak, i.memoryMB)
	}
	if i.maxDescriptors > maxDescriptors {
		t.Errorf("the process had up to %d open descriptors, bound %d", i.maxDescriptors, maxDescriptors)
	}
}
