package dispatcher

import "sync"

const (
	// budgetBurst is how many retries a workspace may save up for one service.
	budgetBurst = 20
	maxBudgets  = 1 << 14
)

type budgetKey struct{ workspace, service string }

// budgets holds a token bucket of retries per workspace and service, filled by a share of their requests.
type budgets struct {
	mu      sync.Mutex
	buckets map[budgetKey]*float64
}

func newBudgets() *budgets { return &budgets{buckets: make(map[budgetKey]*float64)} }

// earn adds the share of one request.
func (b *budgets) earn(key budgetKey, share float64) {
	if share < 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(key)
	*bucket = min(*bucket+share, budgetBurst)
}

// spend takes one retry, if there is one.
func (b *budgets) spend(key budgetKey, share float64) bool {
	if share < 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(key)
	if *bucket < 1 {
		return false
	}
	*bucket--
	return true
}

// bucket requires b.mu; a new bucket is full, so that the first failures are retried.
func (b *budgets) bucket(key budgetKey) *float64 {
	if bucket := b.buckets[key]; bucket != nil {
		return bucket
	}
	if len(b.buckets) >= maxBudgets {
		b.forgetFull()
	}
	full := float64(budgetBurst)
	b.buckets[key] = &full
	return &full
}

// forgetFull drops buckets that are as good as new, or every one where none is.
func (b *budgets) forgetFull() {
	for k, v := range b.buckets {
		if *v >= budgetBurst {
			delete(b.buckets, k)
		}
	}
	if len(b.buckets) >= maxBudgets {
		clear(b.buckets)
	}
}
