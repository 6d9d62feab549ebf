// Package standin provides small fakes of the platform's log, of its instance list
// and of targets. They can inject the faults that occur in the real ones. Tests and
// the daemon's development mode use them; they are not for production.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

// DefaultRetention is how long a log keeps a record unless its LogFaults say otherwise.
const DefaultRetention = 24 * time.Hour

// UnavailableError is returned by calls during an injected outage.
type UnavailableError struct{}

func (*UnavailableError) Error() string { return "the stand-in platform is unavailable" }

// LostAnswerError is returned by an append that added the record, but whose answer was lost by an injected fault.
type LostAnswerError struct{}

func (*LostAnswerError) Error() string { return "the answer to the append was lost" }

// Log is an in-memory logservice.Log. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// first is the offset of records[0], or the next offset if there are no records.
	first   logservice.Offset
	records []storedRecord
	// appended is closed and replaced by each append.
	appended chan struct{}
	faults   LogFaults
}

type storedRecord struct {
	record     logservice.Record
	appendedAt time.Time
}

// LogFaults are the faults that a log injects.
type LogFaults struct {
	// Down makes every call fail with an UnavailableError.
	Down bool
	// Delay is added to the time that every call takes.
	Delay time.Duration
	// LoseAnswers is how many of the next appends add their record but fail with a LostAnswerError.
	LoseAnswers int
	// Retention is how long records are kept. 0 means DefaultRetention.
	Retention time.Duration
}

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{first: 1, appended: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append implements logservice.Log.
func (l *Log) Append(ctx context.Context, payload []byte) (logservice.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deleteExpired(time.Now())
	offset := l.next()
	record := logservice.Record{Offset: offset, Payload: append([]byte(nil), payload...)}
	l.records = append(l.records, storedRecord{record: record, appendedAt: time.Now()})
	close(l.appended)
	l.appended = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, &LostAnswerError{}
	}
	return offset, nil
}

// Read implements logservice.Log.
func (l *Log) Read(ctx context.Context, from logservice.Offset, max int, wait time.Duration) (logservice.Page, error) {
	if err := l.applyFaults(ctx); err != nil {
		return logservice.Page{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, appended := l.readPage(from, max)
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-appended:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return logservice.Page{}, ctx.Err()
		}
	}
}

// applyFaults waits for the injected delay, and returns an UnavailableError during an injected outage.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Down {
		return &UnavailableError{}
	}
	return nil
}

func (l *Log) readPage(from logservice.Offset, max int) (logservice.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deleteExpired(time.Now())
	page := logservice.Page{Earliest: l.first, Next: l.next(), Retention: l.retention()}
	start := 0
	if from > l.first {
		start = int(from - l.first)
	}
	for i := start; i < len(l.records) && len(page.Records) < max; i++ {
		page.Records = append(page.Records, l.records[i].record)
	}
	return page, l.appended
}

func (l *Log) next() logservice.Offset { return l.first + logservice.Offset(len(l.records)) }

func (l *Log) retention() time.Duration {
	if l.faults.Retention > 0 {
		return l.faults.Retention
	}
	return DefaultRetention
}

func (l *Log) deleteExpired(now time.Time) {
	expired := 0
	for expired < len(l.records) && now.Sub(l.records[expired].appendedAt) > l.retention() {
		expired++
	}
	l.records = l.records[expired:]
	l.first += logservice.Offset(expired)
}
