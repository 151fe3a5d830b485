package pathfinder

import (
	"math"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Holder is a target that holds the layers [First,End).
type Holder struct {
	Target     string
	Address    string
	DataCentre cataloger.DataCentre
	First      uint32
	End        uint32
	// LayerCost is in seconds a token and layer.
	LayerCost float64
	// HopCost is what passing through the target costs, in seconds a token.
	HopCost float64
	// EntryCost is what it costs more to send the request to this target first, in seconds a token.
	EntryCost float64
}

// Problem is the choice of a path over the layers [First,End).
type Problem struct {
	First   uint32
	End     uint32
	Holders []Holder
	// CrossingCost is what a hop to another data centre costs, in seconds a token.
	CrossingCost float64
	// Before and After are the data centres of the stages on both sides; empty where there are none.
	Before cataloger.DataCentre
	After  cataloger.DataCentre
	// MaxStages bounds the path; 0 is no bound.
	MaxStages int
}

// step is the cheapest way to have run all layers before a boundary with a holder as the last.
type step struct {
	cost float64
	// entered is the index of the boundary at which the holder took over, and previous the holder before; -1 is none.
	entered  int
	previous int
}

var unreached = step{cost: math.Inf(1), entered: -1, previous: -1}

// maxSplits bounds how often a walk that passes a target twice is taken apart.
const maxSplits = 3

// Find returns a path and its cost in seconds a token; false where no path covers the layers.
// It is the cheapest one, unless the cheapest would pass a target twice, which targets refuse.
func (p Problem) Find() ([]cataloger.Stage, float64, bool) {
	stages, cost, ok := p.find(maxSplits)
	if !ok || p.MaxStages > 0 && len(stages) > p.MaxStages {
		return nil, 0, false
	}
	return stages, cost, true
}

// find takes a walk that passes a target twice apart: without the first visit, the second, or what lies between.
func (p Problem) find(splits int) ([]cataloger.Stage, float64, bool) {
	stages, cost, ok := p.walk()
	first, second, twice := repeated(stages)
	if !ok || !twice {
		return stages, cost, ok
	}
	if splits == 0 {
		return nil, 0, false
	}
	variants := []Problem{
		p.cut(stages[first].Target, func(h *Holder) { h.End = stages[first].EndLayer }),
		p.cut(stages[first].Target, func(h *Holder) { h.First = stages[second].FirstLayer }),
		p,
	}
	for _, between := range stages[first+1 : second] {
		variants[2] = variants[2].cut(between.Target, func(h *Holder) { h.End = h.First })
	}
	best, bestCost, found := stages, math.Inf(1), false
	for _, v := range variants {
		if stages, cost, ok := v.find(splits - 1); ok && cost < bestCost {
			best, bestCost, found = stages, cost, true
		}
	}
	return best, bestCost, found
}

// cut returns the problem with another range for one target.
func (p Problem) cut(target string, change func(*Holder)) Problem {
	p.Holders = slices.Clone(p.Holders)
	for i := range p.Holders {
		if p.Holders[i].Target == target {
			change(&p.Holders[i])
		}
	}
	return p
}

// walk returns the cheapest walk over the layers, which may pass a target twice.
func (p Problem) walk() ([]cataloger.Stage, float64, bool) {
	if p.End <= p.First {
		return nil, 0, false
	}
	at := p.boundaries()
	table := make([]step, len(at)*len(p.Holders))
	for i := range table {
		table[i] = unreached
	}
	for b := 1; b < len(at); b++ {
		p.advance(table, at, b)
	}
	return p.trace(table, at)
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
	}
	slices.Sort(at)
	return slices.Compact(at)
}

// advance fills in the steps that end at boundary b.
func (p Problem) advance(table []step, at []uint32, b int) {
	n := len(p.Holders)
	from, to := at[b-1], at[b]
	here := table[(b-1)*n : b*n]
	near, anywhere := p.best(here)
	for i, h := range p.Holders {
		if h.First > from || h.End < to {
			continue
		}
		run := float64(to-from) * h.LayerCost
		next := unreached
		if !math.IsInf(here[i].cost, 1) {
			next = step{cost: here[i].cost + run, entered: here[i].entered, previous: here[i].previous}
		}
		if b == 1 {
			entry := h.HopCost + h.EntryCost + p.crossing(p.Before, h.DataCentre)
			next = step{cost: entry + run, entered: 0, previous: -1}
		} else if cost, previous := p.entry(here, near, anywhere, h); cost+run < next.cost {
			next = step{cost: cost + run, entered: b - 1, previous: previous}
		}
		table[b*n+i] = next
	}
}

// best returns the holder with the cheapest step for each data centre, and over all; -1 where there is none.
func (p Problem) best(steps []step) (map[cataloger.DataCentre]int, int) {
	near := map[cataloger.DataCentre]int{}
	anywhere := -1
	for i, s := range steps {
		if math.IsInf(s.cost, 1) {
			continue
		}
		dc := p.Holders[i].DataCentre
		if j, ok := near[dc]; !ok || s.cost < steps[j].cost {
			near[dc] = i
		}
		if anywhere < 0 || s.cost < steps[anywhere].cost {
			anywhere = i
		}
	}
	return near, anywhere
}

// entry returns the cost of a hop to h from the cheapest holder before it.
func (p Problem) entry(steps []step, near map[cataloger.DataCentre]int, anywhere int, h Holder) (float64, int) {
	cost, previous := math.Inf(1), -1
	if anywhere >= 0 {
		cost, previous = steps[anywhere].cost+h.HopCost+p.crossing(p.Holders[anywhere].DataCentre, h.DataCentre), anywhere
	}
	if i, ok := near[h.DataCentre]; ok && steps[i].cost+h.HopCost < cost {
		cost, previous = steps[i].cost+h.HopCost, i
	}
	return cost, previous
}

func (p Problem) crossing(from, to cataloger.DataCentre) float64 {
	if from == "" || to == "" || from == to {
		return 0
	}
	return p.CrossingCost
}

// trace reads the cheapest path off the table, from its last stage to its first.
func (p Problem) trace(table []step, at []uint32) ([]cataloger.Stage, float64, bool) {
	n := len(p.Holders)
	b := len(at) - 1
	last, total := -1, math.Inf(1)
	for i := range n {
		cost := table[b*n+i].cost + p.crossing(p.Holders[i].DataCentre, p.After)
		if cost < total {
			last, total = i, cost
		}
	}
	if last < 0 {
		return nil, 0, false
	}
	var stages []cataloger.Stage
	for i := last; i >= 0; {
		s := table[b*n+i]
		h := p.Holders[i]
		stages = append(stages, cataloger.Stage{Target: h.Target, Address: h.Address, FirstLayer: at[s.entered], EndLayer: at[b]})
		b, i = s.entered, s.previous
	}
	slices.Reverse(stages)
	return stages, total, true
}

// repeated returns the places of a target that stands twice on a walk.
func repeated(stages []cataloger.Stage) (first, second int, twice bool) {
	seen := make(map[string]int, len(stages))
	for i, s := range stages {
		if j, ok := seen[s.Target]; ok {
			return j, i, true
		}
		seen[s.Target] = i
	}
	return 0, 0, false
}
