//go:build !race

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// uploadCrowd is the number of callers that send a part of a chunked body and stay, and uploadBytes the size of the part.
	uploadCrowd = 150
	uploadBytes = 768 << 10
)

// sendUnfinishedUploads sends a crowd of chunked bodies that stop short of their end to a random instance, and closes them after some
// time.
func sendUnfinishedUploads(ctx context.Context, h *harness, random *rand.Rand) {
	i := h.instances[random.IntN(len(h.instances))]
	part := strings.Repeat("z", uploadBytes)
	conns := make([]net.Conn, uploadCrowd)
	var group sync.WaitGroup
	for n := range conns {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", i.address(), time.Second)
			if err != nil {
				return
			}
			conns[n] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = fmt.Fprintf(conn, "POST /read/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: u%d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", host, n, uploadBytes+1)
			_, _ = io.WriteString(conn, part)
		})
	}
	group.Wait()
	sleep(ctx, randomMillis(random, 500, 2500))
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	if peak := i.peakMB(); peak > smallestMemoryMB {
		h.recordViolation("MEMORY", "instance %s held %d MB, bound %d MB", i.id, peak, smallestMemoryMB)
	}
}

// peakMB returns the largest memory that the process had so far in MB, 0 if it does not run.
func (i *instance) peakMB() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return 0
	}
	return (&memoryInstance{i}).memoryMB()
}

// Guards against the same as TestSoak, and against instances that exceed their memory, while crowds of unfinished uploads overlap
// with the other faults.
func TestSoakWithUnfinishedUploads(t *testing.T) {
	runSoak(t, fault{"crowd of unfinished uploads", sendUnfinishedUploads})
}
