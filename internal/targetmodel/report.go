package targetmodel

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/budget"
)

// loadHeaderBytes is the size of a load report on an answer.
const loadHeaderBytes = len("Target-Load: 12\r\n")

// Report is the outcome of one run after the warm-up.
type Report struct {
	Requests int
	// Failed is the number of requests without an answer.
	Failed int
	// Late is the number of requests answered after LateAfter or not at all.
	Late   int
	Hedges int

	probes    int
	latencies []time.Duration
	sorted    bool
}

func (r *Report) record(s *Settings, q *request, now time.Duration, answered bool) {
	if q.arrived < s.Warmup {
		return
	}
	r.Requests++
	latency := now - q.arrived
	if !answered || latency > LateAfter {
		r.Late++
	}
	if !answered {
		r.Failed++
		return
	}
	r.latencies = append(r.latencies, latency)
}

func (r *Report) count(s *Settings, now time.Duration, counter *int) {
	if now >= s.Warmup {
		*counter++
	}
}

// Quantile returns a quantile of the latencies of answered requests.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	if !r.sorted {
		slices.Sort(r.latencies)
		r.sorted = true
	}
	return r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// LateShare returns the share of requests that were late or failed.
func (r *Report) LateShare() float64 { return share(r.Late, r.Requests) }

// ProbesPerRequest returns the probes sent per request.
func (r *Report) ProbesPerRequest() float64 { return share(r.probes, r.Requests) }

// BytesPerRequest returns the bytes of measuring per request. onAnswers says whether the policy needs the
// load reports on answers.
func (r *Report) BytesPerRequest(onAnswers bool) float64 {
	bytes := r.ProbesPerRequest() * budget.ProbeBytes
	if onAnswers {
		bytes += float64(loadHeaderBytes)
	}
	return bytes
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
