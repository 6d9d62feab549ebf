package budget

import "sync"

// maxCredit is the number of measurements that requests may have paid for in advance.
const maxCredit = 4

// Rate ties measuring to requests: each request earns a fraction of a measurement. Credit beyond a few measurements
// is lost, so that a pause is not followed by a burst. It is safe for concurrent use.
type Rate struct {
	mu     sync.Mutex
	credit float64
}

// Earn adds the credit of one request and returns the number of measurements that it completes.
func (r *Rate) Earn(perRequest float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit = min(r.credit+perRequest, maxCredit)
	whole := int(r.credit)
	r.credit -= float64(whole)
	return whole
}
