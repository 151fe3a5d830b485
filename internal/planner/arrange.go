package planner

import (
	"cmp"
	"math"
	"slices"
)

// span is a range of layers; the zero value is empty.
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
	// span is the range assigned to the slot; held is set if the target already holds or pulls it.
	span span
	held bool
}

// arrangement assigns ranges to the slots of one group.
type arrangement struct {
	layers   uint32
	grid     []uint32
	slots    []slot
	coverage *coverage
	density  []float64 // rate per layer held, by cell of coverage.cuts
	total    float64
}

const (
	// settledShare is the share of the upper bound from which held ranges are left unchanged.
	settledShare = 0.9
	// minGain is the minimum gain in the bound by a move, as a share of the slot's rate divided by the number of layers.
	minGain = 0.25
	// maxArrangeMoves is the maximum number of moves in one arrangement, maxTriedSlots that of slots tried for each move.
	maxArrangeMoves = 64
	maxTriedSlots   = 128
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
		a.addRange(s.span, s.rate)
	}
	return a
}

// addRange adds a range at a rate in layer-tokens per second; a negative rate removes it.
func (a *arrangement) addRange(s span, rate float64) {
	if s.empty() {
		return
	}
	a.coverage.add(s.first, s.end, rate)
	each := rate / float64(s.layers())
	for i := a.coverage.index(s.first); i < a.coverage.index(s.end); i++ {
		a.density[i] += each
	}
}

func (a *arrangement) upperBound() float64 { return a.total / float64(a.layers) }

// forEachWindow calls emit for each range of the grid that the capacity allows and that no other allowed range contains.
func (a *arrangement) forEachWindow(capacity uint32, emit func(span)) {
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

// assignOpenSlots gives each slot without a range the least covered window, large slots first.
func (a *arrangement) assignOpenSlots() {
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
		s.span = a.leastCovered(s.capacity)
		a.addRange(s.span, s.rate)
	}
}

// leastCovered returns the window with the lowest mean rate per layer.
func (a *arrangement) leastCovered(capacity uint32) span {
	var best span
	bestMean := math.Inf(1)
	a.forEachWindow(capacity, func(w span) {
		if mean := a.meanDensity(w); mean < bestMean*(1-boundSlack) {
			best, bestMean = w, mean
		}
	})
	return best
}

func (a *arrangement) meanDensity(w span) float64 {
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

// score compares arrangements by the bound, or by the number of layers that some target holds if the bound is 0.
type score struct {
	bound         float64
	coveredLayers uint32
}

func (a *arrangement) score() score {
	return score{bound: a.coverage.bound(), coveredLayers: a.coveredLayers(span{})}
}

// coveredLayers counts the layers that some target holds if range w is added.
func (a *arrangement) coveredLayers(w span) uint32 {
	n := uint32(0)
	cuts := a.coverage.cuts
	for i := range len(cuts) - 1 {
		if a.density[i] > boundSlack || cuts[i] >= w.first && cuts[i+1] <= w.end {
			n += cuts[i+1] - cuts[i]
		}
	}
	return n
}

// justifiesMove reports whether s exceeds old by enough to move a slot of the given rate.
func (s score) justifiesMove(old score, rate float64, layers uint32) bool {
	if old.bound <= 0 {
		return s.bound > 0 || s.coveredLayers > old.coveredLayers
	}
	return s.bound-old.bound >= minGain*rate/float64(layers)
}

func (s score) exceeds(o score) bool {
	return s.bound > o.bound*(1+boundSlack) || s.bound >= o.bound && s.coveredLayers > o.coveredLayers
}

// improve moves slots one at a time while a move gains enough, and makes at most heldMoves moves of held ranges.
func (a *arrangement) improve(heldMoves int) {
	for range maxArrangeMoves {
		now := a.score()
		if now.bound >= settledShare*a.upperBound() {
			return
		}
		i, to := a.bestMove(now, heldMoves > 0)
		if i < 0 {
			return
		}
		s := &a.slots[i]
		a.addRange(s.span, -s.rate)
		s.span = to
		a.addRange(s.span, s.rate)
		if s.held {
			s.held = false
			heldMoves--
		}
	}
}

// repack lays the slots end to end, in their current order, if moves of single slots left layers uncovered.
func (a *arrangement) repack() {
	totalCapacity := uint32(0)
	var order []int
	for i, s := range a.slots {
		if s.rate > 0 && s.capacity > 0 {
			totalCapacity += s.capacity
			order = append(order, i)
		}
	}
	if totalCapacity < a.layers || a.coverage.bound() > 0 {
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

// slotClass identifies slots whose moves have the same effect.
type slotClass struct {
	span     span
	rate     float64
	capacity uint32
	held     bool
}

// bestMove returns the slot and window that raise the score most, or -1 if no move gains enough. Among equal moves it
// prefers a slot that is not held.
func (a *arrangement) bestMove(now score, allowHeld bool) (int, span) {
	best, bestTo, bestScore, bestHeld := -1, span{}, score{}, false
	tried := map[slotClass]bool{}
	for _, i := range a.slotsByCoverage() {
		s := a.slots[i]
		class := slotClass{s.span, s.rate, s.capacity, s.held}
		if s.held && !allowHeld || tried[class] {
			continue
		}
		if len(tried) >= maxTriedSlots {
			break
		}
		tried[class] = true
		a.addRange(s.span, -s.rate)
		a.coverage.sumInside()
		a.forEachWindow(s.capacity, func(w span) {
			if w == s.span || !a.onCuts(w) || !a.mayImprove(w, s.rate, now, bestScore) {
				return
			}
			a.addRange(w, s.rate)
			sc := a.score()
			a.addRange(w, -s.rate)
			a.coverage.sumInside()
			if !sc.justifiesMove(now, s.rate, a.layers) {
				return
			}
			if best < 0 || sc.exceeds(bestScore) || bestHeld && !s.held && !bestScore.exceeds(sc) {
				best, bestTo, bestScore, bestHeld = i, w, sc, s.held
			}
		})
		a.addRange(s.span, s.rate)
	}
	return best, bestTo
}

// slotsByCoverage returns the slots with a range, those with the most covered layers first.
func (a *arrangement) slotsByCoverage() []int {
	means := make([]float64, len(a.slots))
	var order []int
	for i, s := range a.slots {
		if !s.span.empty() {
			means[i] = a.meanDensity(s.span)
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(means[y], means[x]) })
	return order
}

// mayImprove is a cheap test of whether a window can give a better score than the best move so far.
func (a *arrangement) mayImprove(w span, rate float64, now, best score) bool {
	if now.bound <= 0 && best.bound <= 0 {
		return a.coveredLayers(w) > max(now.coveredLayers, best.coveredLayers)
	}
	minBound := max(now.bound+minGain*rate/float64(a.layers), best.bound)
	return a.coverage.reaches(minBound, w, rate)
}

func (a *arrangement) onCuts(w span) bool {
	_, first := slices.BinarySearch(a.coverage.cuts, w.first)
	_, end := slices.BinarySearch(a.coverage.cuts, w.end)
	return first && end
}
