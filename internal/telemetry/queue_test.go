package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// Guards against a panic that ends a process in its planned stop, because a goroutine logs while the queue is closed or after that;
// and against lines that were queued before and are not written.
func TestWriteBesideCloseOfLogQueue(t *testing.T) {
	const linesBefore, writers = 100, 8
	for range 50 {
		var out bytes.Buffer
		queue := NewLogQueue(&out)
		for range linesBefore {
			_, _ = queue.Write([]byte("before\n"))
		}
		var writing sync.WaitGroup
		for range writers {
			writing.Go(func() {
				for range 100 {
					_, _ = queue.Write([]byte("late\n"))
				}
			})
		}
		queue.Close()
		written := out.String()
		writing.Wait()
		_, _ = queue.Write([]byte("late\n"))
		queue.Close()
		if n := strings.Count(written, "before\n"); n != linesBefore || out.String() != written {
			t.Fatalf("%d of %d lines from before were written, %d bytes after the close", n, linesBefore, out.Len()-len(written))
		}
	}
}
