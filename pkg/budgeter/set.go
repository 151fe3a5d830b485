package budgeter

import "sync"

// Set holds a budget for each key, such as a workspace and service; it is safe for concurrent use.
type Set[K comparable] struct {
	// Burst is the Burst of each budget.
	Burst float64
	// MaxBudgets is the maximum number of budgets held.
	MaxBudgets int

	mu      sync.Mutex
	budgets map[K]*Budget
}

// NewSet returns a set without budgets.
func NewSet[K comparable](burst float64, maxBudgets int) *Set[K] {
	return &Set[K]{Burst: burst, MaxBudgets: maxBudgets, budgets: map[K]*Budget{}}
}

// Get returns the budget of a key. A new budget is full, so that the first failures are retried.
func (s *Set[K]) Get(key K) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.budgets[key]; b != nil {
		return b
	}
	if len(s.budgets) >= s.MaxBudgets {
		s.prune()
	}
	b := New(0, s.Burst)
	s.budgets[key] = b
	return b
}

// prune drops the full budgets, and then any others until one more fits.
func (s *Set[K]) prune() {
	for key, b := range s.budgets {
		if b.Full() {
			delete(s.budgets, key)
		}
	}
	for key := range s.budgets {
		if len(s.budgets) < s.MaxBudgets {
			return
		}
		delete(s.budgets, key)
	}
}
