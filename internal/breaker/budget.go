package breaker

import (
	"sync"
	"time"
)

const (
	defaultBudgetRatio   = 0.1
	defaultBudgetMinRate = 1.0
	defaultBudgetWindow  = 10 * time.Second
)

// Budget bounds retries to a share of the recent first attempts, plus a small constant rate; it is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries earned by each first attempt.
	Ratio float64
	// MinRate is in retries a second and is earned without any traffic.
	MinRate float64
	// Window bounds the balance: at most what Window of MinRate and of recent traffic earned is kept.
	Window time.Duration

	mu      sync.Mutex
	earned  float64
	rate    float64
	last    time.Time
	started bool
}

// NewBudget returns a budget that allows ratio retries for each first attempt; a ratio of 0 takes the default of 0.1.
func NewBudget(ratio float64) *Budget {
	if ratio <= 0 {
		ratio = defaultBudgetRatio
	}
	return &Budget{Ratio: ratio, MinRate: defaultBudgetMinRate, Window: defaultBudgetWindow}
}

// Attempt records a first attempt at now.
func (b *Budget) Attempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.rate += 1 / b.Window.Seconds()
	b.earned = min(b.earned+b.Ratio, b.most())
}

// Retry takes one retry from the budget at now, or returns false where the budget is spent.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.earned < 1 {
		return false
	}
	b.earned--
	return true
}

// Balance returns the retries that are left at now.
func (b *Budget) Balance(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.earned
}

// most is the largest balance: what the window's traffic and the constant rate earn, and never under one retry.
func (b *Budget) most() float64 {
	return max(1, (b.rate*b.Ratio+b.MinRate)*b.Window.Seconds())
}

func (b *Budget) advance(now time.Time) {
	if !b.started {
		b.started = true
		b.last = now
		b.earned = b.most()
		return
	}
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.rate *= max(0, 1-elapsed.Seconds()/b.Window.Seconds())
	b.earned = min(b.earned+b.MinRate*elapsed.Seconds(), b.most())
}
