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
	// LayerCost is the cost of a layer, in seconds a token.
	LayerCost float64
	// HopCost is the cost of a stage on the target besides its layers, in seconds a token.
	HopCost float64
	// EntryCost is the additional cost if the target runs the first stage, in seconds a token.
	EntryCost float64
}

// Problem is the choice of a path over the layers [First,End).
type Problem struct {
	First   uint32
	End     uint32
	Holders []Holder
	// CrossingCost returns the cost of a hop from one data centre to another, in seconds a token; nil means no cost. A cheaper
	// detour over a third data centre is found only at layers where the range of a holder begins or ends.
	CrossingCost func(from, to cataloger.DataCentre) float64
	// PreviousDataCentre and NextDataCentre are those of the stages before and after the path; empty if there are none.
	PreviousDataCentre cataloger.DataCentre
	NextDataCentre     cataloger.DataCentre
	// MaxStages bounds the number of stages of the path; 0 means no bound.
	MaxStages int
}

// maxSplits bounds the depth of the search for a path when the cheapest walk visits a target twice.
const maxSplits = 3

// Find returns a path and its cost in seconds a token, or false if it finds none that covers the layers within MaxStages. The path
// is the cheapest one, unless the cheapest walk visits a target twice, which targets refuse.
func (p Problem) Find() ([]cataloger.Stage, float64, bool) {
	stages, cost, ok := p.find(maxSplits)
	if !ok || p.MaxStages > 0 && len(stages) > p.MaxStages {
		return nil, 0, false
	}
	return stages, cost, true
}

// find returns the cheapest path without a repeated target. Where the cheapest walk visits a target twice, it searches again without
// the first visit, without the second, and without the stages between.
func (p Problem) find(splits int) ([]cataloger.Stage, float64, bool) {
	stages, cost, ok := p.walk()
	first, second, twice := repeatedTarget(stages)
	if !ok || !twice {
		return stages, cost, ok
	}
	if splits == 0 {
		return nil, 0, false
	}
	variants := []Problem{
		p.withRange(stages[first].Target, func(h *Holder) { h.End = stages[first].EndLayer }),
		p.withRange(stages[first].Target, func(h *Holder) { h.First = stages[second].FirstLayer }),
		p,
	}
	for _, between := range stages[first+1 : second] {
		variants[2] = variants[2].withRange(between.Target, func(h *Holder) { h.End = h.First })
	}
	best, bestCost, found := stages, math.Inf(1), false
	for _, v := range variants {
		if stages, cost, ok := v.find(splits - 1); ok && cost < bestCost {
			best, bestCost, found = stages, cost, true
		}
	}
	return best, bestCost, found
}

// withRange returns a copy of the problem in which change has set another range for one target.
func (p Problem) withRange(target string, change func(*Holder)) Problem {
	p.Holders = slices.Clone(p.Holders)
	for i := range p.Holders {
		if p.Holders[i].Target == target {
			change(&p.Holders[i])
		}
	}
	return p
}

// repeatedTarget returns the indexes of the first two stages on the same target.
func repeatedTarget(stages []cataloger.Stage) (first, second int, twice bool) {
	seen := make(map[string]int, len(stages))
	for i, s := range stages {
		if j, ok := seen[s.Target]; ok {
			return j, i, true
		}
		seen[s.Target] = i
	}
	return 0, 0, false
}
