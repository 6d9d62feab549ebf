package targetmodel

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/budget"
)

// loadHeaderBytes is the size of the load report on an answer, a header with a value of two digits.
const loadHeaderBytes = len("Target-Load: 12\r\n")

// Report is the result of one run, without the requests that arrived during the warm-up. It is not safe for concurrent
// use.
type Report struct {
	Requests int
	// Failed is the number of requests without an answer.
	Failed int
	// Late is the number of requests that were answered after more than LateAfter, or failed.
	Late int
	// Hedges is the number of hedging attempts, including those during the warm-up.
	Hedges int

	probes    int
	latencies []time.Duration
	sorted    bool
}

func (r *Report) recordRequest(s *Settings, request *request, now time.Duration, answered bool) {
	if request.arrivedAt < s.Warmup {
		return
	}
	r.Requests++
	latency := now - request.arrivedAt
	if !answered || latency > LateAfter {
		r.Late++
	}
	if !answered {
		r.Failed++
		return
	}
	r.latencies = append(r.latencies, latency)
}

func (r *Report) countAfterWarmup(s *Settings, now time.Duration, counter *int) {
	if now >= s.Warmup {
		*counter++
	}
}

// Quantile returns the quantile q, from 0 to 1, of the latencies of answered requests, or 0 if there are none.
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

// LateShare returns the fraction of requests that were late or failed.
func (r *Report) LateShare() float64 { return share(r.Late, r.Requests) }

// ProbesPerRequest returns the number of load probes sent per request.
func (r *Report) ProbesPerRequest() float64 { return share(r.probes, r.Requests) }

// BytesPerRequest returns the bytes that load reporting costs per request. onAnswers tells whether the policy uses the
// load reports on answers.
func (r *Report) BytesPerRequest(onAnswers bool) float64 {
	bytes := r.ProbesPerRequest() * budget.ProbeBytes
	if onAnswers {
		bytes += float64(loadHeaderBytes)
	}
	return bytes
}

// share returns part as a fraction of whole, or 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
