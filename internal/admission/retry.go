package admission

import "sync"

// Parameters of a retry budget, in tokens. A failure costs as much as ten complete answers earn, so that retries add at
// most a tenth to the load of a service that answers, and stop for one that rejects everything. Retries are permitted while
// the budget has more than retryThreshold tokens.
const (
	maxRetryTokens = 10.0
	retryThreshold = maxRetryTokens / 2
	failureCost    = 1.0
	answerCredit   = 0.1
	retryCost      = 1.0
	// initialRetryTokens permits one retry only: the first failure, its retry and the failure of the retry cost three
	// tokens, which reaches retryThreshold. With more, the first retries of new instances would multiply too far over a
	// chain of 28 calls.
	initialRetryTokens = maxRetryTokens - 2
)

// RetryBudget limits the retries for one service on this instance. Services call each other in chains. A call at depth 28
// has passed 28 such budgets, one at each hop, and if each hop retried a fixed share, the factors by which the hops add
// attempts would multiply. As only answers earn tokens, the product of the factors stays near 1 even if the last service of
// a chain rejects everything. RetryBudget is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that permits one retry before answers earn more.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: initialRetryTokens} }

// Answered records a complete answer.
func (b *RetryBudget) Answered() { b.add(answerCredit) }

// Failed records a failed attempt.
func (b *RetryBudget) Failed() { b.add(-failureCost) }

// Take reports whether a retry is permitted, and if so charges it to the budget.
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
	b.tokens = min(maxRetryTokens, max(0, b.tokens+amount))
}
