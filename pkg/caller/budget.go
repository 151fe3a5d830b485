package caller

import "sync"

// Budget bounds repeated attempts to a share of the first attempts.
type Budget struct {
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Burst is how many attempts may be repeated before any request has earned one.
	Burst float64

	mu    sync.Mutex
	spent float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget { return &Budget{Ratio: ratio, Burst: burst} }

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// Spend takes one repeated attempt out of the budget, or returns false.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
