package dispatcher

import "github.com/rattantray/rattantray/pkg/budgeter"

const (
	// budgetBurst is the maximum number of retries that a workspace can accumulate for one service.
	budgetBurst = 20
	maxBudgets  = 1 << 14
)

type budgetKey struct{ workspace, service string }

// budgets holds the retry budget of each workspace and service; a negative share allows no retries.
type budgets struct {
	set *budgeter.Set[budgetKey]
}

func newBudgets() *budgets {
	return &budgets{set: budgeter.NewSet[budgetKey](budgetBurst, maxBudgets)}
}

// earn adds the share of one request to the budget.
func (b *budgets) earn(key budgetKey, share float64) {
	if share >= 0 {
		b.set.Get(key).EarnShare(share)
	}
}

// spend takes one retry from the budget and reports whether there was one.
func (b *budgets) spend(key budgetKey, share float64) bool {
	return share >= 0 && b.set.Get(key).Spend()
}
