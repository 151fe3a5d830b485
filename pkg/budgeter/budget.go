package budgeter

import "sync"

// Budget bounds repeated attempts to a share of the first attempts; it is safe for concurrent use.
type Budget struct {
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Burst is how many attempts may be repeated before any request has earned one.
	Burst float64

	mu    sync.Mutex
	spent float64
}

// New returns a full budget.
func New(ratio, burst float64) *Budget { return &Budget{Ratio: ratio, Burst: burst} }

// Earn counts a first attempt.
func (b *Budget) Earn() { b.EarnShare(b.Ratio) }

// EarnShare counts a first attempt at a share other than Ratio.
func (b *Budget) EarnShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
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

// Full tells whether the budget is as good as a new one.
func (b *Budget) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent == 0
}
