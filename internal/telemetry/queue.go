package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// logQueueSize bounds the log lines that wait for a slow reader of the log.
const logQueueSize = 4096

// LogQueue passes log lines on to a writer from a goroutine of its own, so that a slow reader never blocks a request.
// Lines that find the queue full are dropped and counted, and the count is written when lines flow again. It is safe for
// concurrent use.
type LogQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewLogQueue returns a queue in front of a writer. Close ends its goroutine.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{lines: make(chan []byte, logQueueSize), done: make(chan struct{})}
	go q.drain(w)
	return q
}

// Write implements io.Writer. It never blocks and never fails.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not reported yet.
func (q *LogQueue) Dropped() int64 { return q.dropped.Load() }

func (q *LogQueue) drain(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if dropped := q.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log: Dropped log lines.\",\"count\":%d}\n", dropped)
		}
		_, _ = w.Write(line)
	}
}

// Close writes what is queued and ends the goroutine. Lines written later are lost.
func (q *LogQueue) Close() {
	q.once.Do(func() { close(q.lines) })
	<-q.done
}
