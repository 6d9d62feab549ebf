//go:build !race

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// whole returns the bytes of a request with a body of maxBodyBytes, in chunks of a size, or with a length for size 0.
func whole(i *instance, id string, size int) string {
	if size == 0 {
		return i.head("POST", "x", id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat(filler, maxBodyBytes/len(filler)))
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("z", size))
	return i.head("POST", "x", id) + chunkedHead + strings.Repeat(chunk, maxBodyBytes/size) + "0\r\n\r\n"
}

// statusOf returns the status of the answer on a connection, 0 if there is none.
func statusOf(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// checkCalm verifies that a few callers with the longest body at the same time are served, for each size of their chunks.
func checkCalm(t *testing.T, i *instance) {
	t.Helper()
	for _, size := range []int{0, 256, 4 << 10, 1 << 20, maxBodyBytes} {
		var group sync.WaitGroup
		for n := range 2 {
			group.Go(func() {
				conn := dial(i)
				if conn == nil {
					t.Errorf("chunks of %d bytes: no connection", size)
					return
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Time{})
				_, err := io.WriteString(conn, whole(i, fmt.Sprintf("w%d-%d", size, n), size))
				if status := statusOf(conn); status != http.StatusOK {
					t.Errorf("chunks of %d bytes: status %d, error %v", size, status, err)
				}
			})
		}
		group.Wait()
	}
	if peak := i.peakMB(); peak > i.memoryMB {
		t.Errorf("the process held up to %d MB, bound %d MB", peak, i.memoryMB)
	}
}

// Guards against limits that refuse callers with long bodies on the smallest instance although nobody else calls.
func TestEdgeServesLongBodiesInCalm(t *testing.T) { checkCalm(t, startEdgeWith(t, smallestMemoryMB)) }

// Guards against limits that refuse callers with long bodies although nobody else calls.
func TestRunServesLongBodiesInCalm(t *testing.T) { checkCalm(t, startRun(t)) }

// checkSteady verifies that an upload that is slow but goes on is served while callers without progress hold the memory.
func checkSteady(t *testing.T, i *instance) {
	t.Helper()
	const part, parts = 16 << 10, 40
	steady := dial(i)
	if steady == nil {
		t.Fatal("no connection")
	}
	defer func() { _ = steady.Close() }()
	_ = steady.SetDeadline(time.Time{})
	_, err := io.WriteString(steady, i.head("POST", "x", "steady")+fmt.Sprintf("Content-Length: %d\r\n\r\n", part*parts))
	if err != nil {
		t.Fatal(err)
	}
	stalled := crowd{64, oneChunk(4 << 20)}
	for n := range parts {
		if n == 2 || n == 30 {
			for _, conn := range stalled.gather(i) {
				if conn != nil {
					defer func() { _ = conn.Close() }()
				}
			}
		}
		if n%10 == 9 {
			expectOrdinary(t, i, fmt.Sprintf("steady-%d", n))
		}
		if _, err := io.WriteString(steady, filler[:part]); err != nil {
			t.Fatalf("part %d: %v", n, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if status := statusOf(steady); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against a slow but steady upload that is refused in favor of others.
func TestEdgeServesSteadyUpload(t *testing.T) { checkSteady(t, startEdge(t)) }

// Guards against a slow but steady upload that is refused in favor of others.
func TestRunServesSteadyUpload(t *testing.T) { checkSteady(t, startRun(t)) }
