package pathfinder

import (
	"math"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// step is the cheapest way to have run all layers before a boundary with a given holder as the last.
type step struct {
	cost float64
	// entered is the index of the boundary at which the holder took over, and from the data centre that it took over from.
	entered int
	from    int
}

// arrival is the cheapest step of all holders of one data centre.
type arrival struct {
	step
	holder int
}

var (
	unreached = step{cost: math.Inf(1)}
	nobody    = arrival{step: unreached, holder: -1}
)

// walker finds the cheapest walk of one problem over the layers. Only the cheapest holder of each data centre can be the one
// before a hop, so that those are all that it keeps of a boundary.
type walker struct {
	problem Problem
	// at holds the layers at which a walk may change its target, from the first to the end.
	at []uint32
	// centre is the number of each holder's data centre, and crossing what a hop between two costs, by number.
	centre   []int
	centres  []cataloger.DataCentre
	crossing [][]float64
	// steps are those of the holders at the present boundary, and arrivals those of each boundary by data centre.
	steps    []step
	arrivals [][]arrival
}

func newWalker(p Problem) *walker {
	w := &walker{problem: p, at: p.boundaries(), centre: make([]int, len(p.Holders)), steps: make([]step, len(p.Holders))}
	numbers := map[cataloger.DataCentre]int{}
	for i, h := range p.Holders {
		w.steps[i] = unreached
		n, ok := numbers[h.DataCentre]
		if !ok {
			n = len(w.centres)
			numbers[h.DataCentre] = n
			w.centres = append(w.centres, h.DataCentre)
		}
		w.centre[i] = n
	}
	for _, from := range w.centres {
		var row []float64
		for _, to := range w.centres {
			row = append(row, p.crossing(from, to))
		}
		w.crossing = append(w.crossing, row)
	}
	return w
}

// walk returns the cheapest walk over the layers, which may pass a target twice.
func (p Problem) walk() ([]cataloger.Stage, float64, bool) {
	if p.End <= p.First {
		return nil, 0, false
	}
	w := newWalker(p)
	running := w.holdersFrom()
	w.arrivals = append(w.arrivals, nil)
	var covering []int
	for b := 1; b < len(w.at); b++ {
		covering = slices.DeleteFunc(covering, func(i int) bool {
			over := p.Holders[i].End < w.at[b]
			if over {
				w.steps[i] = unreached
			}
			return over
		})
		covering = append(covering, running[b-1]...)
		w.advance(b, covering)
	}
	return w.trace()
}

// boundaries returns the layers at which a path may change its target, from First to End.
func (p Problem) boundaries() []uint32 {
	at := []uint32{p.First, p.End}
	for _, h := range p.Holders {
		if h.First > p.First && h.First < p.End {
			at = append(at, h.First)
		}
		if h.End > p.First && h.End < p.End {
			at = append(at, h.End)
		}
		if h.EntryCost > 0 && p.First+1 < p.End {
			// One layer of another target may be cheaper than the entry at this one.
			at = append(at, p.First+1)
		}
	}
	slices.Sort(at)
	return slices.Compact(at)
}

func (p Problem) crossing(from, to cataloger.DataCentre) float64 {
	if from == "" || to == "" || from == to || p.CrossingCost == nil {
		return 0
	}
	return p.CrossingCost(from, to)
}

// holdersFrom returns the holders by the index of the boundary from which on they can run.
func (w *walker) holdersFrom() [][]int {
	out := make([][]int, len(w.at))
	for i, h := range w.problem.Holders {
		b, _ := slices.BinarySearch(w.at, max(h.First, w.problem.First))
		if b+1 < len(w.at) && h.End >= w.at[b+1] {
			out[b] = append(out[b], i)
		}
	}
	return out
}

// advance finds the steps that end at boundary b, of the holders that cover the layers before it.
func (w *walker) advance(b int, covering []int) {
	layers := float64(w.at[b] - w.at[b-1])
	entries := w.entries(b)
	arrivals := slices.Repeat([]arrival{nobody}, len(w.centres))
	for _, i := range covering {
		h, centre := w.problem.Holders[i], w.centre[i]
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

// entries returns the cheapest way into each data centre at the boundary before b.
func (w *walker) entries(b int) []step {
	out := slices.Repeat([]step{unreached}, len(w.centres))
	for to := range out {
		if b == 1 {
			out[to] = step{cost: w.problem.crossing(w.problem.PreviousDataCentre, w.centres[to])}
			continue
		}
		for from, a := range w.arrivals[b-1] {
			if cost := a.cost + w.crossing[from][to]; cost < out[to].cost {
				out[to] = step{cost: cost, entered: b - 1, from: from}
			}
		}
	}
	return out
}

// trace reads the cheapest path off the arrivals, from its last stage to its first.
func (w *walker) trace() ([]cataloger.Stage, float64, bool) {
	b := len(w.at) - 1
	last, total := -1, math.Inf(1)
	for centre, a := range w.arrivals[b] {
		if cost := a.cost + w.problem.crossing(w.centres[centre], w.problem.NextDataCentre); cost < total {
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
		stages = append(stages, cataloger.Stage{Target: h.Target, Address: h.Address, FirstLayer: w.at[a.entered], EndLayer: w.at[b]})
		b, centre = a.entered, a.from
	}
	slices.Reverse(stages)
	return stages, total, true
}
