package placer

import (
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// The values of one more holder of a layer, by the number of holders that it has. The first holder in the fleet decides whether
// requests are served at all, the next ones how many: every request uses all layers, so the memory at the layer with the fewest
// holders bounds them. The first holder in a group of data centres decides whether requests stay on fast links.
var (
	fleetValues = []float64{3000, 800, 400, 60, 6, 1}
	groupValues = []float64{300, 3, 1}
)

const (
	// spareValue, divided by the number of holders, is the value of a holder beyond those above.
	spareValue = 0.3
	// moveThreshold is the gain that moving a target that holds layers must exceed. A move costs a load and removes the old
	// range, which is only worthwhile for a layer that a group lacks.
	moveThreshold = 60
	// streamCost is the cost of removing a range from a generation in progress, which pauses until it continues elsewhere;
	// a hundred of them equal the value of a layer that a group lacks.
	streamCost = 3
)

// Target is a target that may hold layers.
type Target struct {
	Name       string
	DataCentre cataloger.DataCentre
	// Capacity is how many layers the target can hold alongside its memory for requests.
	Capacity uint32
	// First and End are the range [First,End) of layers that the target holds or was ordered to hold; equal if there are none.
	First uint32
	End   uint32
	// Leaving is set for targets that leave or are suspected lost; they are ignored.
	Leaving bool
	// Ordered is set for targets with a pending order; they get no other order.
	Ordered bool
	// Streams is about how many generations in progress use the target.
	Streams float64
}

func (t *Target) empty() bool { return t.End <= t.First }

// acceptsOrder reports whether the target may get an order.
func (t *Target) acceptsOrder() bool { return !t.Leaving && !t.Ordered && t.Capacity > 0 }

// Move is an order to hold the layers [First,End).
type Move struct {
	Target string
	First  uint32
	End    uint32
}

// Problem is the placement of one model, from which the next moves are derived.
type Problem struct {
	Layers  uint32
	Targets []Target
	// KeepHeld forbids moving targets that hold layers.
	KeepHeld bool
	// SlowPipes says that prompts take long between data centres, so that pipelines should cross between them as seldom as possible.
	SlowPipes bool
}

// coverage counts the holders of each layer.
type coverage []int

func (c coverage) add(first, end uint32, n int) {
	for l := first; l < end && int(l) < len(c); l++ {
		c[l] += n
	}
}

func holderValue(values []float64, holders int) float64 {
	if holders < len(values) {
		return values[holders]
	}
	return spareValue / float64(holders)
}

// state is a placement to which moves are applied, with the holders of its layers.
type state struct {
	Problem
	groupOf       []int
	fleetCoverage coverage
	groupCoverage []coverage
	// classOf is the number of each target's class, and numbers the number of each class.
	classOf []int
	numbers map[rangeClass]int
	classes []classState
}

// classState is the state of a class of targets.
type classState struct {
	// gain caches the gain of the targets until the next move; nil is not computed yet.
	gain *rangeGain
	// empty holds the targets without layers in order, of which the first ones may have got an order since.
	empty []int
}

// rangeClass identifies targets whose move has the same gain apart from their streams.
type rangeClass struct {
	group      int
	capacity   uint32
	first, end uint32
}

// rangeGain is the gain of moving a target without streams, and the first layer of its new range.
type rangeGain struct {
	gain   float64
	first  uint32
	needed bool
}

// NextMoves returns up to limit moves, the most valuable first; 0 is no limit.
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

// Gap is a layer that no target in the group of a data centre holds or was ordered to hold. Without a data centre it is a layer
// that has fewer holders in the fleet than the mean of all layers, rounded down.
type Gap struct {
	DataCentre cataloger.DataCentre
	Layer      uint32
}

// Gaps returns all gaps.
func (p Problem) Gaps() map[Gap]bool {
	s := newState(p)
	out := map[Gap]bool{}
	total := 0
	for _, n := range s.fleetCoverage {
		total += n
	}
	for l, n := range s.fleetCoverage {
		if n < total/len(s.fleetCoverage) {
			out[Gap{Layer: uint32(l)}] = true
		}
	}
	groups := map[cataloger.DataCentre]int{}
	for i, t := range s.Targets {
		groups[t.DataCentre] = s.groupOf[i]
	}
	for dc, group := range groups {
		for l, n := range s.groupCoverage[group] {
			if n == 0 {
				out[Gap{DataCentre: dc, Layer: uint32(l)}] = true
			}
		}
	}
	return out
}

// Holders returns the number of targets that hold each layer, or were ordered to.
func (p Problem) Holders() []int { return newState(p).fleetCoverage }

// Complete reports whether every layer is held, or was ordered to be held, somewhere.
func (p Problem) Complete() bool {
	for _, n := range newState(p).fleetCoverage {
		if n == 0 {
			return false
		}
	}
	return true
}

func newState(p Problem) *state {
	p.Targets = slices.Clone(p.Targets)
	s := &state{Problem: p, fleetCoverage: make(coverage, p.Layers), classOf: make([]int, len(p.Targets)), numbers: map[rangeClass]int{}}
	s.groupOf = p.assignGroups()
	for _, g := range s.groupOf {
		for len(s.groupCoverage) <= g {
			s.groupCoverage = append(s.groupCoverage, make(coverage, p.Layers))
		}
	}
	for i, t := range p.Targets {
		if !t.Leaving {
			s.addHolders(i, t.First, t.End, 1)
		}
		s.classify(i)
	}
	return s
}

// classify records the class of a target.
func (s *state) classify(i int) {
	t := &s.Targets[i]
	key := rangeClass{group: s.groupOf[i], capacity: t.Capacity, first: t.First, end: t.End}
	class, ok := s.numbers[key]
	if !ok {
		class = len(s.classes)
		s.numbers[key] = class
		s.classes = append(s.classes, classState{})
	}
	s.classOf[i] = class
	if t.empty() {
		s.classes[class].empty = append(s.classes[class].empty, i)
	}
}

// movable returns the targets that may be moved, in order. Of those without layers in one class it returns only the first, as
// their gains are the same.
func (s *state) movable() []int {
	var out []int
	for c := range s.classes {
		class := &s.classes[c]
		for len(class.empty) > 0 && !s.Targets[class.empty[0]].acceptsOrder() {
			class.empty = class.empty[1:]
		}
		if len(class.empty) > 0 {
			out = append(out, class.empty[0])
		}
	}
	if !s.KeepHeld {
		for i := range s.Targets {
			if t := &s.Targets[i]; !t.empty() && t.acceptsOrder() {
				out = append(out, i)
			}
		}
	}
	slices.Sort(out)
	return out
}

func (s *state) addHolders(i int, first, end uint32, n int) {
	s.fleetCoverage.add(first, end, n)
	s.groupCoverage[s.groupOf[i]].add(first, end, n)
}

// next returns the target and the first layer of the next move.
func (s *state) next() (target int, first uint32, found bool) {
	if s.SlowPipes {
		if target, first, found := s.nextInGap(); found {
			return target, first, found
		}
	}
	return s.mostValuable()
}

// mostValuable returns the target and the first layer of the move with the highest gain.
func (s *state) mostValuable() (target int, first uint32, found bool) {
	bestGain := 0.0
	for c := range s.classes {
		s.classes[c].gain = nil
	}
	for _, i := range s.movable() {
		gain, at := s.gain(i)
		if gain > bestGain+1e-9 {
			target, first, found, bestGain = i, at, true, gain
		}
	}
	return target, first, found
}

// gain returns how much more the best other range of a target is worth than its current one, and the first layer of that range.
func (s *state) gain(i int) (float64, uint32) {
	t, class := &s.Targets[i], &s.classes[s.classOf[i]]
	if class.gain == nil {
		class.gain = s.rangeGain(i)
	}
	g := class.gain
	switch {
	case t.empty():
		return g.gain, g.first
	case g.needed:
		return 0, 0
	}
	return g.gain - moveThreshold - streamCost*t.Streams, g.first
}

// rangeGain returns the gain of a target without the cost of a move.
func (s *state) rangeGain(i int) *rangeGain {
	t := s.Targets[i]
	width := min(t.Capacity, s.Layers)
	s.addHolders(i, t.First, t.End, -1)
	defer s.addHolders(i, t.First, t.End, 1)
	sums := s.prefixSums(s.groupOf[i])
	bestFirst, bestValue := uint32(0), -1.0
	for first := uint32(0); first+width <= s.Layers; first++ {
		if v := sums[first+width] - sums[first]; v > bestValue+1e-9 {
			bestFirst, bestValue = first, v
		}
	}
	if t.empty() {
		return &rangeGain{gain: bestValue, first: bestFirst}
	}
	held := sums[min(t.End, s.Layers)] - sums[min(t.First, s.Layers)]
	return &rangeGain{gain: bestValue - held, first: bestFirst, needed: s.needed(t)}
}

// needed reports whether removing the range of a target, which is not counted now, would make a complete model incomplete.
func (s *state) needed(t Target) bool {
	opensGap := false
	for l, n := range s.fleetCoverage {
		inside := uint32(l) >= t.First && uint32(l) < t.End
		if n == 0 && !inside {
			return false
		}
		opensGap = opensGap || n == 0
	}
	return opensGap
}

// prefixSums returns, for each layer, the sum of the values of one more holder in a group over all layers before it.
func (s *state) prefixSums(group int) []float64 {
	sums := make([]float64, s.Layers+1)
	for l := range s.Layers {
		sums[l+1] = sums[l] + holderValue(fleetValues, s.fleetCoverage[l]) + holderValue(groupValues, s.groupCoverage[group][l])
	}
	return sums
}

func (s *state) move(i int, first uint32) Move {
	t := &s.Targets[i]
	s.addHolders(i, t.First, t.End, -1)
	t.First, t.End = first, first+min(t.Capacity, s.Layers)
	t.Ordered = true
	s.addHolders(i, t.First, t.End, 1)
	s.classify(i)
	return Move{Target: t.Name, First: t.First, End: t.End}
}
