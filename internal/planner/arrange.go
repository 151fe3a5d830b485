package planner

import (
	"cmp"
	"math"
	"slices"
)

// span is a range of layers; the zero value is none.
type span struct {
	first, end uint32
}

func (s span) empty() bool { return s.end <= s.first }

func (s span) layers() uint32 { return s.end - s.first }

// slot is one target in an arrangement.
type slot struct {
	target   int
	rate     float64
	capacity uint32
	// span is where the slot is meant to be; held is true where the target holds it or pulls it.
	span span
	held bool
}

// arrangement places the slots of one group.
type arrangement struct {
	layers   uint32
	grid     []uint32
	slots    []slot
	coverage *coverage
	density  []float64 // rate per layer held, by cell of coverage.cuts
	total    float64
}

const (
	// settled is the share of the upper limit from which held ranges are left alone.
	settled = 0.9
	// leastGain is the part of its own rate over the layers by which a move must raise the bound.
	leastGain = 0.25
	// freeMoves bounds the moves of one arrangement, mostTries the slots that are tried for each.
	freeMoves = 64
	mostTries = 128
)

func newArrangement(layers uint32, grid []uint32, slots []slot) *arrangement {
	a := &arrangement{layers: layers, grid: grid, slots: slots}
	cuts := slices.Clone(grid)
	for _, s := range slots {
		if !s.span.empty() {
			cuts = append(cuts, s.span.first, s.span.end)
		}
	}
	slices.Sort(cuts)
	a.coverage = newCoverage(slices.Compact(cuts))
	a.density = make([]float64, len(a.coverage.cuts))
	for _, s := range slots {
		a.total += s.rate
		a.include(s.span, s.rate)
	}
	return a
}

// include adds a range, or takes it out where rate is negative.
func (a *arrangement) include(s span, rate float64) {
	if s.empty() {
		return
	}
	a.coverage.add(s.first, s.end, rate)
	each := rate / float64(s.layers())
	for i := a.coverage.index(s.first); i < a.coverage.index(s.end); i++ {
		a.density[i] += each
	}
}

func (a *arrangement) upper() float64 { return a.total / float64(a.layers) }

// windows calls emit for each range of the grid that the capacity allows and that no other allowed one contains.
func (a *arrangement) windows(capacity uint32, emit func(span)) {
	last := uint32(0)
	for i, first := range a.grid[:len(a.grid)-1] {
		j := i + 1
		for j+1 < len(a.grid) && a.grid[j+1]-first <= capacity {
			j++
		}
		if a.grid[j]-first <= capacity && a.grid[j] > last {
			emit(span{first, a.grid[j]})
			last = a.grid[j]
		}
	}
}

// place gives each slot without a range the window that is held least, large slots first.
func (a *arrangement) place() {
	var open []int
	for i, s := range a.slots {
		if s.span.empty() && s.capacity > 0 && s.rate > 0 {
			open = append(open, i)
		}
	}
	slices.SortFunc(open, func(x, y int) int {
		p, q := a.slots[x], a.slots[y]
		return cmp.Or(cmp.Compare(q.capacity, p.capacity), cmp.Compare(q.rate, p.rate), cmp.Compare(x, y))
	})
	for _, i := range open {
		s := &a.slots[i]
		s.span = a.thinnest(s.capacity)
		a.include(s.span, s.rate)
	}
}

// thinnest returns the window with the least rate per layer, by its least part and then by its mean.
func (a *arrangement) thinnest(capacity uint32) span {
	var best span
	bestMean := math.Inf(1)
	a.windows(capacity, func(w span) {
		if mean := a.mean(w); mean < bestMean*(1-boundSlack) {
			best, bestMean = w, mean
		}
	})
	return best
}

func (a *arrangement) mean(w span) float64 {
	sum := 0.0
	cuts := a.coverage.cuts
	for i := range len(cuts) - 1 {
		low, high := max(cuts[i], w.first), min(cuts[i+1], w.end)
		if low < high {
			sum += a.density[i] * float64(high-low)
		}
	}
	return sum / float64(w.layers())
}

// score compares arrangements: by the bound, and where there is none by the layers that some target holds.
type score struct {
	bound float64
	held  uint32
}

func (a *arrangement) score() score {
	return score{bound: a.coverage.bound(), held: a.heldWith(span{})}
}

// heldWith counts the layers that some target holds, with one more range.
func (a *arrangement) heldWith(w span) uint32 {
	n := uint32(0)
	cuts := a.coverage.cuts
	for i := range len(cuts) - 1 {
		if a.density[i] > boundSlack || cuts[i] >= w.first && cuts[i+1] <= w.end {
			n += cuts[i+1] - cuts[i]
		}
	}
	return n
}

// better tells whether s is enough better than old to be worth moving a slot of the rate.
func (s score) better(old score, rate float64, layers uint32) bool {
	if old.bound <= 0 {
		return s.bound > 0 || s.held > old.held
	}
	return s.bound-old.bound >= leastGain*rate/float64(layers)
}

func (s score) above(o score) bool {
	return s.bound > o.bound*(1+boundSlack) || s.bound >= o.bound && s.held > o.held
}

// improve moves slots one at a time while that is worth it: held ones at most heldMoves times, others freely.
func (a *arrangement) improve(heldMoves int) {
	for range freeMoves {
		now := a.score()
		if now.bound >= settled*a.upper() {
			return
		}
		i, to := a.bestMove(now, heldMoves > 0)
		if i < 0 {
			return
		}
		s := &a.slots[i]
		a.include(s.span, -s.rate)
		s.span = to
		a.include(s.span, s.rate)
		if s.held {
			s.held = false
			heldMoves--
		}
	}
}

// repack lays the slots end to end where no moves of single slots hold every layer, in the order in which they lie.
func (a *arrangement) repack() {
	room := uint32(0)
	var order []int
	for i, s := range a.slots {
		if s.rate > 0 && s.capacity > 0 {
			room += s.capacity
			order = append(order, i)
		}
	}
	if room < a.layers || a.coverage.bound() > 0 {
		return
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(a.slots[x].span.first, a.slots[y].span.first)
	})
	next := uint32(0)
	for _, i := range order {
		s := &a.slots[i]
		if next >= a.layers {
			break
		}
		s.span = span{next, min(a.layers, next+s.capacity)}
		next = s.span.end
	}
}

// like is what two slots have in common that it makes no difference to move.
type like struct {
	span     span
	rate     float64
	capacity uint32
	held     bool
}

// bestMove returns the slot and window that raise the score most; of equals, one that is not held.
func (a *arrangement) bestMove(now score, held bool) (int, span) {
	best, bestTo, bestScore, bestHeld := -1, span{}, score{}, false
	tried := map[like]bool{}
	for _, i := range a.thickest() {
		s := a.slots[i]
		l := like{s.span, s.rate, s.capacity, s.held}
		if s.held && !held || tried[l] {
			continue
		}
		if len(tried) >= mostTries {
			break
		}
		tried[l] = true
		a.include(s.span, -s.rate)
		a.coverage.sumInside()
		a.windows(s.capacity, func(w span) {
			if w == s.span || !a.onCuts(w) || !a.promises(w, s.rate, now, bestScore) {
				return
			}
			a.include(w, s.rate)
			sc := a.score()
			a.include(w, -s.rate)
			a.coverage.sumInside()
			if !sc.better(now, s.rate, a.layers) {
				return
			}
			if best < 0 || sc.above(bestScore) || bestHeld && !s.held && !bestScore.above(sc) {
				best, bestTo, bestScore, bestHeld = i, w, sc, s.held
			}
		})
		a.include(s.span, s.rate)
	}
	return best, bestTo
}

// thickest returns the placed slots, those whose layers are held most first.
func (a *arrangement) thickest() []int {
	means := make([]float64, len(a.slots))
	var order []int
	for i, s := range a.slots {
		if !s.span.empty() {
			means[i] = a.mean(s.span)
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(means[y], means[x]) })
	return order
}

// promises tells, at little cost, whether a window can come out better than the best move so far.
func (a *arrangement) promises(w span, rate float64, now, best score) bool {
	if now.bound <= 0 && best.bound <= 0 {
		return a.heldWith(w) > max(now.held, best.held)
	}
	least := max(now.bound+leastGain*rate/float64(a.layers), best.bound)
	return a.coverage.reaches(least, w, rate)
}

func (a *arrangement) onCuts(w span) bool {
	_, first := slices.BinarySearch(a.coverage.cuts, w.first)
	_, end := slices.BinarySearch(a.coverage.cuts, w.end)
	return first && end
}
