package budgeter

import "sync"

// Budget bounds retries to a share of the first attempts; it is safe for concurrent use.
type Budget struct {
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// Burst is the number of retries that a full budget allows before any first attempt adds to it.
	Burst float64

	mu    sync.Mutex
	spent float64
}

// New returns a full budget.
func New(ratio, burst float64) *Budget { return &Budget{Ratio: ratio, Burst: burst} }

// Earn counts a first attempt, which adds Ratio to the budget.
func (b *Budget) Earn() { b.EarnShare(b.Ratio) }

// EarnShare counts a first attempt, which adds share to the budget instead of Ratio.
func (b *Budget) EarnShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

// Spend reports whether the budget allows a retry, and takes it out of the budget if so.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// Full reports whether nothing of the budget is spent.
func (b *Budget) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent == 0
}
