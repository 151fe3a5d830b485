package placer

import (
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// What one more holder of a layer is worth, by the number of holders that it has. The first one anywhere decides whether
// requests are served at all, the next ones, how many: all pass all layers, so that the memory at the layer with the fewest
// holders bounds them. The first one of a group of data centres decides whether requests stay on fast links.
var (
	fleetValues = []float64{3000, 800, 400, 60, 6, 1}
	groupValues = []float64{300, 3, 1}
)

const (
	// spareValue is what a holder beyond the values above is worth.
	spareValue = 0.3
	// moveThreshold is what moving a target that holds layers must gain; a move costs a load and takes the old range
	// away, which only a layer that a group lacks is worth.
	moveThreshold = 60
	// streamCost is what it costs to take a range away from a generation in progress, which pauses as it goes on elsewhere;
	// a hundred of them are worth a layer that a group lacks.
	streamCost = 3
)

// Target is a target that may hold layers.
type Target struct {
	Name       string
	DataCentre cataloger.DataCentre
	// Capacity is how many layers the target may hold beside its memory for requests.
	Capacity uint32
	// First and End are the layers that the target holds or was ordered to hold; equal where there are none.
	First uint32
	End   uint32
	// Leaving targets, and those believed lost, count for nothing.
	Leaving bool
	// Ordered targets are not given another order yet.
	Ordered bool
	// Streams is how many generations in progress pass the target, about.
	Streams float64
}

func (t Target) empty() bool { return t.End <= t.First }

// Move is an order to hold the layers [First,End).
type Move struct {
	Target string
	First  uint32
	End    uint32
}

// Problem is the placement of one model of so many layers.
type Problem struct {
	Layers  uint32
	Targets []Target
	// Keep leaves targets alone that hold layers.
	Keep bool
	// SlowPipes says that a prompt takes long from one data centre to another, so that pipelines cross as seldom as can be.
	SlowPipes bool
}

// coverage counts the holders of each layer.
type coverage []int

func (c coverage) add(first, end uint32, n int) {
	for l := first; l < end && int(l) < len(c); l++ {
		c[l] += n
	}
}

func value(values []float64, holders int) float64 {
	if holders < len(values) {
		return values[holders]
	}
	return spareValue / float64(holders)
}

// state is a placement in the making.
type state struct {
	Problem
	groups []int
	fleet  coverage
	group  []coverage
}

// Next returns up to limit moves, the most valuable first; 0 is no limit.
func (p Problem) NextMoves(limit int) []Move {
	s := newState(p)
	var moves []Move
	for limit <= 0 || len(moves) < limit {
		i, first, ok := s.next()
		if !ok {
			break
		}
		moves = append(moves, s.move(i, first))
	}
	return moves
}

// Gap is a layer that nobody in a data centre, or in the group of data centres that it belongs to, holds or was ordered to.
// Without a data centre it is one that has fewer holders anywhere than the layers have on the mean.
type Gap struct {
	DataCentre cataloger.DataCentre
	Layer      uint32
}

// Gaps returns all gaps.
func (p Problem) Gaps() map[Gap]bool {
	s := newState(p)
	out := map[Gap]bool{}
	total := 0
	for _, n := range s.fleet {
		total += n
	}
	for l, n := range s.fleet {
		if n < total/len(s.fleet) {
			out[Gap{Layer: uint32(l)}] = true
		}
	}
	groups := map[cataloger.DataCentre]int{}
	for i, t := range s.Targets {
		groups[t.DataCentre] = s.groups[i]
	}
	for dc, group := range groups {
		for l, n := range s.group[group] {
			if n == 0 {
				out[Gap{DataCentre: dc, Layer: uint32(l)}] = true
			}
		}
	}
	return out
}

// Whole tells whether every layer is held, or ordered, somewhere.
func (p Problem) Complete() bool {
	for _, n := range newState(p).fleet {
		if n == 0 {
			return false
		}
	}
	return true
}

func newState(p Problem) *state {
	p.Targets = slices.Clone(p.Targets)
	s := &state{Problem: p, fleet: make(coverage, p.Layers)}
	s.groups = p.group()
	for _, g := range s.groups {
		for len(s.group) <= g {
			s.group = append(s.group, make(coverage, p.Layers))
		}
	}
	for i, t := range p.Targets {
		if !t.Leaving {
			s.count(i, t.First, t.End, 1)
		}
	}
	return s
}

func (s *state) count(i int, first, end uint32, n int) {
	s.fleet.add(first, end, n)
	s.group[s.groups[i]].add(first, end, n)
}

// next returns the target and the first layer of the next move.
func (s *state) next() (target int, first uint32, found bool) {
	if s.SlowPipes {
		if target, first, found := s.lay(); found {
			return target, first, found
		}
	}
	return s.best()
}

// best returns the target and the first layer of the move that gains most.
func (s *state) best() (target int, first uint32, found bool) {
	bestGain := 0.0
	for i, t := range s.Targets {
		if t.Leaving || t.Ordered || t.Capacity == 0 || s.Keep && !t.empty() {
			continue
		}
		gain, at := s.gain(i)
		if gain > bestGain+1e-9 {
			target, first, found, bestGain = i, at, true, gain
		}
	}
	return target, first, found
}

// gain returns what the best other range of a target is worth over the one that it has.
func (s *state) gain(i int) (float64, uint32) {
	t := s.Targets[i]
	width := min(t.Capacity, s.Layers)
	s.count(i, t.First, t.End, -1)
	defer s.count(i, t.First, t.End, 1)
	sums := s.sums(s.groups[i])
	at, top := uint32(0), -1.0
	for first := uint32(0); first+width <= s.Layers; first++ {
		if v := sums[first+width] - sums[first]; v > top+1e-9 {
			at, top = first, v
		}
	}
	if t.empty() {
		return top, at
	}
	if s.needed(t) {
		return 0, 0
	}
	return top - (sums[min(t.End, s.Layers)] - sums[min(t.First, s.Layers)]) - moveThreshold - streamCost*t.Streams, at
}

// needed tells whether taking the range of a target, which is not counted now, away would end a service that is whole.
func (s *state) needed(t Target) bool {
	opens := false
	for l, n := range s.fleet {
		inside := uint32(l) >= t.First && uint32(l) < t.End
		if n == 0 && !inside {
			return false
		}
		opens = opens || n == 0
	}
	return opens
}

// sums returns the values of one more holder in a group for the layers before each layer.
func (s *state) sums(group int) []float64 {
	sums := make([]float64, s.Layers+1)
	for l := range s.Layers {
		sums[l+1] = sums[l] + value(fleetValues, s.fleet[l]) + value(groupValues, s.group[group][l])
	}
	return sums
}

func (s *state) move(i int, first uint32) Move {
	t := &s.Targets[i]
	s.count(i, t.First, t.End, -1)
	t.First, t.End = first, first+min(t.Capacity, s.Layers)
	t.Ordered = true
	s.count(i, t.First, t.End, 1)
	return Move{Target: t.Name, First: t.First, End: t.End}
}
