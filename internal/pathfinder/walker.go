package pathfinder

import (
	"math"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// step is the cheapest way to run all layers before a boundary with a given holder as the last.
type step struct {
	cost float64
	// enteredAt is the index of the boundary at which the holder took over, and from the number of the data centre that it took
	// over from.
	enteredAt int
	from      int
}

// arrival is the cheapest step of any holder of one data centre.
type arrival struct {
	step
	holder int
}

var (
	unreached = step{cost: math.Inf(1)}
	noArrival = arrival{step: unreached, holder: -1}
)

// walker finds the cheapest walk of one problem over the layers. It keeps only the cheapest holder of each data centre at a boundary,
// as no other one can precede a hop.
type walker struct {
	problem Problem
	// boundaries holds the layers at which a walk may change its target, from the first to the end.
	boundaries []uint32
	// centreOf is the number of each holder's data centre, and crossingCosts the cost of a hop between two, by number.
	centreOf      []int
	centres       []cataloger.DataCentre
	crossingCosts [][]float64
	// steps holds the step of each holder at the current boundary, and arrivals those of each boundary by data centre.
	steps    []step
	arrivals [][]arrival
}

func newWalker(p Problem) *walker {
	w := &walker{problem: p, boundaries: p.boundaries(), centreOf: make([]int, len(p.Holders)), steps: make([]step, len(p.Holders))}
	numbers := map[cataloger.DataCentre]int{}
	for i, h := range p.Holders {
		w.steps[i] = unreached
		n, ok := numbers[h.DataCentre]
		if !ok {
			n = len(w.centres)
			numbers[h.DataCentre] = n
			w.centres = append(w.centres, h.DataCentre)
		}
		w.centreOf[i] = n
	}
	for _, from := range w.centres {
		var row []float64
		for _, to := range w.centres {
			row = append(row, p.crossingCost(from, to))
		}
		w.crossingCosts = append(w.crossingCosts, row)
	}
	return w
}

// walk returns the cheapest walk over the layers, which may visit a target twice.
func (p Problem) walk() ([]cataloger.Stage, float64, bool) {
	if p.End <= p.First {
		return nil, 0, false
	}
	w := newWalker(p)
	starting := w.holdersByStart()
	w.arrivals = append(w.arrivals, nil)
	var covering []int
	for b := 1; b < len(w.boundaries); b++ {
		covering = slices.DeleteFunc(covering, func(i int) bool {
			ended := p.Holders[i].End < w.boundaries[b]
			if ended {
				w.steps[i] = unreached
			}
			return ended
		})
		covering = append(covering, starting[b-1]...)
		w.advance(b, covering)
	}
	return w.backtrack()
}

// boundaries returns the layers at which a path may change its target, from First to End.
func (p Problem) boundaries() []uint32 {
	boundaries := []uint32{p.First, p.End}
	for _, h := range p.Holders {
		if h.First > p.First && h.First < p.End {
			boundaries = append(boundaries, h.First)
		}
		if h.End > p.First && h.End < p.End {
			boundaries = append(boundaries, h.End)
		}
		if h.EntryCost > 0 && p.First+1 < p.End {
			// Running one layer on another target first may be cheaper than the entry at this one.
			boundaries = append(boundaries, p.First+1)
		}
	}
	slices.Sort(boundaries)
	return slices.Compact(boundaries)
}

func (p Problem) crossingCost(from, to cataloger.DataCentre) float64 {
	if from == "" || to == "" || from == to || p.CrossingCost == nil {
		return 0
	}
	return p.CrossingCost(from, to)
}

// holdersByStart returns the indexes of the holders by the boundary at which their range starts.
func (w *walker) holdersByStart() [][]int {
	out := make([][]int, len(w.boundaries))
	for i, h := range w.problem.Holders {
		b, _ := slices.BinarySearch(w.boundaries, max(h.First, w.problem.First))
		if b+1 < len(w.boundaries) && h.End >= w.boundaries[b+1] {
			out[b] = append(out[b], i)
		}
	}
	return out
}

// advance computes the steps to boundary b of the holders that cover the layers before it.
func (w *walker) advance(b int, covering []int) {
	layers := float64(w.boundaries[b] - w.boundaries[b-1])
	entries := w.entries(b)
	arrivals := slices.Repeat([]arrival{noArrival}, len(w.centres))
	for _, i := range covering {
		h, centre := w.problem.Holders[i], w.centreOf[i]
		entry := entries[centre]
		entry.cost += h.HopCost
		if b == 1 {
			entry.cost += h.EntryCost
		}
		next := w.steps[i]
		if entry.cost < next.cost {
			next = entry
		}
		next.cost += layers * h.LayerCost
		w.steps[i] = next
		if next.cost < arrivals[centre].cost {
			arrivals[centre] = arrival{step: next, holder: i}
		}
	}
	w.arrivals = append(w.arrivals, arrivals)
}

// entries returns the cheapest entry into each data centre at the boundary before b.
func (w *walker) entries(b int) []step {
	out := slices.Repeat([]step{unreached}, len(w.centres))
	for to := range out {
		if b == 1 {
			out[to] = step{cost: w.problem.crossingCost(w.problem.PreviousDataCentre, w.centres[to])}
			continue
		}
		for from, a := range w.arrivals[b-1] {
			if cost := a.cost + w.crossingCosts[from][to]; cost < out[to].cost {
				out[to] = step{cost: cost, enteredAt: b - 1, from: from}
			}
		}
	}
	return out
}

// backtrack reconstructs the cheapest path from the arrivals, from its last stage to its first.
func (w *walker) backtrack() ([]cataloger.Stage, float64, bool) {
	b := len(w.boundaries) - 1
	last, total := -1, math.Inf(1)
	for centre, a := range w.arrivals[b] {
		if cost := a.cost + w.problem.crossingCost(w.centres[centre], w.problem.NextDataCentre); cost < total {
			last, total = centre, cost
		}
	}
	if last < 0 {
		return nil, 0, false
	}
	var stages []cataloger.Stage
	for centre := last; b > 0; {
		a := w.arrivals[b][centre]
		h := w.problem.Holders[a.holder]
		stages = append(stages, cataloger.Stage{Target: h.Target, Address: h.Address, FirstLayer: w.boundaries[a.enteredAt], EndLayer: w.boundaries[b]})
		b, centre = a.enteredAt, a.from
	}
	slices.Reverse(stages)
	return stages, total, true
}
