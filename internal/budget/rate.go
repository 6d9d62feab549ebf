package budget

import "sync"

// maxCredit is the largest credit, in measurements, and so the largest number that one request triggers.
const maxCredit = 4

// Rate couples the rate of measurements to the rate of requests: each request earns a fraction of a measurement. Credit beyond
// maxCredit is dropped, so that one request triggers at most that many. The zero value is ready to use. It is safe for
// concurrent use.
type Rate struct {
	mu     sync.Mutex
	credit float64
}

// Earn adds the credit of one request and returns the number of whole measurements to make now, which it deducts.
func (r *Rate) Earn(perRequest float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit = min(r.credit+perRequest, maxCredit)
	whole := int(r.credit)
	r.credit -= float64(whole)
	return whole
}
