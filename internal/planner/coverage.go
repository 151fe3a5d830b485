package planner

import (
	"slices"
)

// coverage holds the total rate of a set of targets for each range of layers; links are treated as free.
//
// Targets may run any part of what they hold. The bound is then the minimum, over all sets of layers, of the total rate
// of the targets that hold any layer of the set, divided by the number of layers in it (Hall's condition). For ranges,
// the layers outside the minimizing set form gaps, and dynamic programming finds the best gaps.
type coverage struct {
	cuts []uint32 // boundaries of ranges, from 0 to the number of layers
	// exact is the rate of targets whose range is exactly the cells [i,j), at index i*len(cuts)+j.
	exact []float64
	// inside is the rate of targets whose range lies within [i,j).
	inside []float64
	best   []float64
	gap    []int
	total  float64
}

// newCoverage returns an empty coverage whose ranges begin and end at cuts.
func newCoverage(cuts []uint32) *coverage {
	n := len(cuts)
	return &coverage{
		cuts: cuts, exact: make([]float64, n*n), inside: make([]float64, n*n),
		best: make([]float64, n), gap: make([]int, n),
	}
}

// index returns the position of a boundary in cuts.
func (c *coverage) index(layer uint32) int {
	i, _ := slices.BinarySearch(c.cuts, layer)
	return i
}

// add adds a range at a rate in layer-tokens per second; a negative rate removes it.
func (c *coverage) add(first, end uint32, rate float64) {
	c.exact[c.index(first)*len(c.cuts)+c.index(end)] += rate
	c.total += rate
}

// bound returns the tokens per second that all targets can generate together if links are free.
func (c *coverage) bound() float64 {
	n := len(c.cuts)
	if n < 2 || c.total <= 0 {
		return 0
	}
	c.sumInside()
	layers := float64(c.cuts[n-1])
	rate := c.total / layers
	for range n * n {
		held, size := c.tightest(rate)
		if size <= 0 {
			return rate
		}
		next := max(0, (c.total-held)/size)
		if next >= rate*(1-boundSlack) {
			return min(rate, next)
		}
		rate = next
	}
	return rate
}

const boundSlack = 1e-9

func (c *coverage) sumInside() {
	n := len(c.cuts)
	for i := n - 1; i >= 0; i-- {
		for j := i + 1; j < n; j++ {
			v := c.exact[i*n+j]
			if i+1 < j {
				v += c.inside[(i+1)*n+j] + c.inside[i*n+j-1]
				if i+1 < j-1 {
					v -= c.inside[(i+1)*n+j-1]
				}
			}
			c.inside[i*n+j] = v
		}
	}
}

// tightest returns, for the most constraining set of layers at rate, the rate of targets entirely outside the set, and the
// number of layers in the set.
func (c *coverage) tightest(rate float64) (held, size float64) {
	n := len(c.cuts)
	c.best[0] = 0
	for j := 1; j < n; j++ {
		c.best[j], c.gap[j] = c.best[j-1], -1
		for i := range j {
			v := c.best[i] + c.inside[i*n+j] - rate*float64(c.cuts[j]-c.cuts[i])
			if v > c.best[j] {
				c.best[j], c.gap[j] = v, i
			}
		}
	}
	for j := n - 1; j > 0; {
		if c.gap[j] < 0 {
			size += float64(c.cuts[j] - c.cuts[j-1])
			j--
			continue
		}
		held += c.inside[c.gap[j]*n+j]
		j = c.gap[j]
	}
	return held, size
}

// reaches reports whether the bound with one more range is at least rate. sumInside must have been called since the last
// add.
func (c *coverage) reaches(rate float64, extra span, extraRate float64) bool {
	n := len(c.cuts)
	first, end := c.index(extra.first), c.index(extra.end)
	c.best[0] = 0
	for j := 1; j < n; j++ {
		best := c.best[j-1]
		for i := range j {
			v := c.best[i] + c.inside[i*n+j] - rate*float64(c.cuts[j]-c.cuts[i])
			if i <= first && j >= end {
				v += extraRate
			}
			best = max(best, v)
		}
		c.best[j] = best
	}
	limit := c.total + extraRate - rate*float64(c.cuts[n-1])
	return c.best[n-1] <= limit+boundSlack*(c.total+extraRate)
}
