package admission

import "sync"

// Parameters of a retry budget. A failure costs as much as ten whole answers earn, so that retries add at most a
// tenth to the load of a service that answers, and stop altogether at one that rejects everything.
const (
	retryTokens    = 10.0
	retryThreshold = retryTokens / 2
	failureCost    = 1.0
	answerEarnings = 0.1
	retryCost      = 1.0
	// initialRetryFill permits one retry, because at depth 28 the first retries of fresh instances multiply.
	initialRetryFill = retryTokens - 2
)

// RetryBudget limits the retries of one service on this instance. Requests at depth 28 pass 28 budgets, so a
// fixed share of retries at each hop would multiply; tokens that only answers earn keep the product near 1 when a
// service at the end of a chain rejects everything. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that permits one retry before answers earn more.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: initialRetryFill} }

// Answered records a whole answer.
func (b *RetryBudget) Answered() { b.add(answerEarnings) }

// Failed records a failed attempt.
func (b *RetryBudget) Failed() { b.add(-failureCost) }

// Take reports whether a retry is permitted, and charges it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens <= retryThreshold {
		return false
	}
	b.tokens -= retryCost
	return true
}

func (b *RetryBudget) add(amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryTokens, max(0, b.tokens+amount))
}
