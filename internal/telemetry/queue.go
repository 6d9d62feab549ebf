package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// logQueueLines is the maximum number of log lines in a LogQueue.
const logQueueLines = 4096

// LogQueue is an io.Writer that queues log lines and writes them in its own goroutine, so that a slow log never blocks a
// request. If the queue is full, lines are dropped, and their number is logged before the next line that is written. It
// is safe for concurrent use.
type LogQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, and done when the goroutine has ended.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewLogQueue returns a queue that writes to w. Close must be called to end its goroutine.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{lines: make(chan []byte, logQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.writeLines(w)
	return q
}

// Write queues a copy of the line. It never blocks or fails. After Close the line is dropped.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that were not logged yet.
func (q *LogQueue) Dropped() int64 { return q.dropped.Load() }

func (q *LogQueue) writeLines(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		case <-q.closing:
			for range len(q.lines) {
				q.writeLine(w, <-q.lines)
			}
			return
		}
	}
}

func (q *LogQueue) writeLine(w io.Writer, line []byte) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log: Dropped log lines.\",\"count\":%d}\n", dropped)
	}
	_, _ = w.Write(line)
}

// Close writes the queued lines and ends the goroutine. Other goroutines may still call Write, for example a listener of a library
// that logs its end.
func (q *LogQueue) Close() {
	q.closeOnce.Do(func() { close(q.closing) })
	<-q.done
}
