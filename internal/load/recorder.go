package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and the number of significant decimal digits that they preserve.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(4 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// Totals counts requests. Sent = Answered + Refused + Failed + InFlight.
type Totals struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Ticketed is the number of requests that were sent a second time with the ticket of a 428 answer.
	Ticketed int `json:"ticketed"`
}

// InFlight returns the number of requests without a result.
func (t Totals) InFlight() int { return t.Sent - t.Answered - t.Refused - t.Failed }

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	totals      Totals
	causes      map[string]int
	statuses    map[int]int
	latency     *hdrhistogram.Histogram
	serviceTime *hdrhistogram.Histogram
	sendDelay   *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		causes:      map[string]int{},
		statuses:    map[int]int{},
		latency:     newHistogram(),
		serviceTime: newHistogram(),
		sendDelay:   newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

// recordSent records that a request was sent, with the delay since it was due.
func (r *recorder) recordSent(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Sent++
	recordDuration(r.sendDelay, delay)
}

// recordResult records the result of a request, with the times since it was due and since it was sent.
func (r *recorder) recordResult(result Result, sinceDue, sinceSent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Ticketed {
		r.totals.Ticketed++
	}
	if result.Status != 0 {
		r.statuses[result.Status]++
	}
	switch result.Kind {
	case Answered:
		r.totals.Answered++
		recordDuration(r.latency, sinceDue)
		recordDuration(r.serviceTime, sinceSent)
		return
	case Refused:
		r.totals.Refused++
	default:
		r.totals.Failed++
	}
	r.causes[string(result.Kind)+"/"+result.Cause]++
}

// recordDuration adds a duration to a histogram. It clamps the duration to the range of the histogram, which would
// otherwise drop it.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	_ = h.RecordValue(value)
}

func (r *recorder) snapshot() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

func (r *recorder) report(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Report{
		Totals:           r.totals,
		ElapsedSeconds:   elapsed.Seconds(),
		AnswersPerSecond: float64(r.totals.Answered) / elapsed.Seconds(),
		Causes:           r.causes,
		Statuses:         r.statuses,
		Latency:          summarize(r.latency),
		ServiceTime:      summarize(r.serviceTime),
		SendDelay:        summarize(r.sendDelay),
	}
}
