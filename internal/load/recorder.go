package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of the histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(4 * time.Hour / time.Microsecond)
	significantDigits   = 3
)

// Totals counts requests. Sent = Answered + Refused + Failed + InFlight.
type Totals struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Ticketed counts the requests that were sent a second time with the ticket of a 428 answer.
	Ticketed int `json:"ticketed"`
}

// InFlight returns the number of requests without a result.
func (t Totals) InFlight() int { return t.Sent - t.Answered - t.Refused - t.Failed }

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	counts   Totals
	causes   map[string]int
	statuses map[int]int
	latency  *hdrhistogram.Histogram
	service  *hdrhistogram.Histogram
	late     *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		causes:   map[string]int{},
		statuses: map[int]int{},
		latency:  newHistogram(),
		service:  newHistogram(),
		late:     newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

// sent records a request that was sent some time after it was due.
func (r *recorder) sent(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	record(r.late, late)
}

// ended records a result with the time since the request was due and since it was sent.
func (r *recorder) ended(result Result, sinceDue, sinceSent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Ticketed {
		r.counts.Ticketed++
	}
	if result.Status != 0 {
		r.statuses[result.Status]++
	}
	switch result.Kind {
	case Answered:
		r.counts.Answered++
		record(r.latency, sinceDue)
		record(r.service, sinceSent)
		return
	case Refused:
		r.counts.Refused++
	default:
		r.counts.Failed++
	}
	r.causes[string(result.Kind)+"/"+result.Cause]++
}

// record clamps to the range of the histogram, so that no value is lost.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = h.RecordValue(value)
}

func (r *recorder) totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func (r *recorder) report(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Report{
		Totals:         r.counts,
		ElapsedSeconds: elapsed.Seconds(),
		AnswersPerS:    float64(r.counts.Answered) / elapsed.Seconds(),
		Causes:         r.causes,
		Statuses:       r.statuses,
		Latency:        summarize(r.latency),
		Service:        summarize(r.service),
		Late:           summarize(r.late),
	}
}
