package planner

import (
	"slices"
)

// coverage is the rate that a set of targets holds over each range of layers; links are taken as free.
//
// Targets may run any part of what they hold. The bound is then the least, over all sets of layers, of the rate of the
// targets that hold any layer of the set divided by the layers in it (Hall's condition). For ranges, the layers outside
// the least set form gaps, and the best gaps are found by dynamic programming.
type coverage struct {
	cuts []uint32 // boundaries of ranges, from 0 to the number of layers
	// exact is the rate held over exactly the cells [i,j), at i*len(cuts)+j.
	exact []float64
	// inside is the rate held over ranges within [i,j).
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

// index returns the place of a boundary.
func (c *coverage) index(layer uint32) int {
	i, _ := slices.BinarySearch(c.cuts, layer)
	return i
}

// add takes in a range, or takes it out where rate is negative.
func (c *coverage) add(first, end uint32, rate float64) {
	c.exact[c.index(first)*len(c.cuts)+c.index(end)] += rate
	c.total += rate
}

// bound returns the tokens a second that all targets can carry together, were links free.
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

// tightest returns, for the set of layers that is tightest at rate, the rate held wholly outside it and its layers.
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

// reaches tells whether the bound with one more range is at least rate; sumInside must have been called since the last add.
func (c *coverage) reaches(rate float64, more span, moreRate float64) bool {
	n := len(c.cuts)
	first, end := c.index(more.first), c.index(more.end)
	c.best[0] = 0
	for j := 1; j < n; j++ {
		best := c.best[j-1]
		for i := range j {
			v := c.best[i] + c.inside[i*n+j] - rate*float64(c.cuts[j]-c.cuts[i])
			if i <= first && j >= end {
				v += moreRate
			}
			best = max(best, v)
		}
		c.best[j] = best
	}
	whole := c.total + moreRate - rate*float64(c.cuts[n-1])
	return c.best[n-1] <= whole+boundSlack*(c.total+moreRate)
}
