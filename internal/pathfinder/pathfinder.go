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
	// Crossing returns what a hop from one data centre to another costs, in seconds a token; nil is nothing. A detour over a
	// third one that costs less is found only where a holder begins or ends.
	CrossingCost func(from, to cataloger.DataCentre) float64
	// Before and After are the data centres of the stages on both sides; empty where there are none.
	PreviousDataCentre cataloger.DataCentre
	NextDataCentre     cataloger.DataCentre
	// MaxStages bounds the path; 0 is no bound.
	MaxStages int
}

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
