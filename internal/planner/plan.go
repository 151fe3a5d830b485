package planner

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/solver"
)

// fanOut is the maximum number of links per target over which the bound is computed.
const fanOut = 8

// Planner plans one model and caches the plans of groups of targets, for as long as they do not change.
type Planner struct {
	cache map[uint64]groupPlan
}

// New returns a planner with an empty cache.
func New() *Planner { return &Planner{} }

// Plan decides the next changes; the same state gives the same placement.
func Plan(s State) Placement { return New().Plan(s) }

// groupPlan is the plan for one group.
type groupPlan struct {
	// spans are the ranges assigned to the members, in their order; a member without one has an empty range.
	spans      []span
	bound      float64
	upperBound float64
}

// Plan decides the next changes; the same state gives the same placement.
func (p *Planner) Plan(s State) Placement {
	s.Pace = s.Pace.withDefaults()
	s.Bandwidth = s.bandwidthFunc()
	s.LinksVersion += linksDigest(s.Links)
	if s.Model.Layers == 0 || s.Model.Version == "" {
		return Placement{}
	}
	var usable []int
	for i, t := range s.Targets {
		if t.State == cataloger.StateLive && s.rate(t) > 0 && s.Model.capacity(t) > 0 {
			usable = append(usable, i)
		}
	}
	next := map[uint64]groupPlan{}
	var placement Placement
	wanted := make([]span, len(s.Targets))
	all := formGroups(s, usable)
	for _, g := range all {
		key := s.fingerprint(g)
		plan, ok := p.cache[key]
		if !ok {
			plan = s.planGroup(g)
		}
		next[key] = plan
		placement.Bound += plan.bound
		placement.UpperBound += plan.upperBound
		for i, member := range g.members {
			wanted[member] = plan.spans[i]
		}
	}
	p.cache = next
	for _, i := range usable {
		if w := wanted[i]; !w.empty() {
			placement.Assignments = append(placement.Assignments, Assignment{s.Targets[i].Name, w.first, w.end})
		}
	}
	placement.Changes, placement.BlockedReason = s.planChanges(all, wanted, placement.Bound)
	return placement
}

// planChanges returns the changes that may be ordered now. If the links rule out a step, it tries others instead.
func (s State) planChanges(all []group, wanted []span, bound float64) (out []Change, blocked string) {
	banned := map[int]bool{}
	for range maxTrials {
		tr := newTransition(s, all, wanted, bound)
		tr.excluded = banned
		out, blocked = tr.changes()
		if len(tr.rejected) == 0 {
			break
		}
		for _, target := range tr.rejected {
			banned[target] = true
		}
	}
	return out, blocked
}

// maxTrials is the maximum number of times that steps are chosen.
const maxTrials = 4

// bandwidthFunc returns the state's Bandwidth, or if that is nil a function that looks up Links by name.
func (s State) bandwidthFunc() func(from, to *cataloger.Target) float64 {
	if s.Bandwidth != nil {
		return s.Bandwidth
	}
	type pair struct{ from, to string }
	rates := make(map[pair]float64, len(s.Links))
	for _, l := range s.Links {
		rates[pair{l.From, l.To}] = l.Bandwidth
	}
	return func(from, to *cataloger.Target) float64 {
		if rate, ok := rates[pair{from.Name, to.Name}]; ok {
			return rate
		}
		return math.Inf(1)
	}
}

func (s State) planGroup(g group) groupPlan {
	a := s.buildArrangement(g)
	a.assignOpenSlots()
	a.improve(s.Pace.MaxMoves)
	a.repack()
	plan := groupPlan{spans: make([]span, len(g.members)), upperBound: a.upperBound(), bound: s.solveBound(g)}
	for i, slot := range a.slots {
		plan.spans[i] = slot.span
	}
	return plan
}

// buildArrangement returns the group's arrangement with the ranges that it holds of the wanted version. A target that holds another
// version only starts from its range there.
func (s State) buildArrangement(g group) *arrangement {
	slots := make([]slot, len(g.members))
	smallest := s.Model.Layers
	for i, member := range g.members {
		t := s.Targets[member]
		sl := slot{target: member, rate: s.rate(t), capacity: s.Model.capacity(t)}
		smallest = min(smallest, sl.capacity)
		all := holdings(s.Model, t)
		if h, ok := largestOf(all, s.Model.Version); ok {
			sl.span, sl.held = h.span, true
		} else if h, ok := largestOfOthers(all, s.Model.Version); ok && h.span.layers() <= sl.capacity {
			sl.span = h.span
		}
		slots[i] = sl
	}
	grid := s.Model.grid(smallest)
	for !hasHeadroom(slots, grid) && uint32(len(grid)) <= s.Model.Layers {
		grid = s.Model.grid(s.Model.Layers / min(s.Model.Layers, 2*uint32(len(grid))))
	}
	return newArrangement(s.Model.Layers, grid, slots)
}

// hasHeadroom reports whether the slots can hold minHeadroom times the layers with capacities rounded down to full cells.
func hasHeadroom(slots []slot, grid []uint32) bool {
	layers := grid[len(grid)-1]
	cell := max(1, layers/uint32(len(grid)-1))
	sum := 0.0
	for _, sl := range slots {
		sum += float64(sl.capacity - sl.capacity%cell)
	}
	return sum >= minHeadroom*float64(layers)
}

const minHeadroom = 1.5

// solveBound returns the max-flow bound of the group's ready holdings: the sum over the versions.
func (s State) solveBound(g group) float64 {
	holders := map[string][]solver.Holder{}
	targetsOf := map[string][]int{}
	for _, member := range g.members {
		t := s.Targets[member]
		for _, h := range holdings(s.Model, t) {
			if !h.ready {
				continue
			}
			holders[h.version] = append(holders[h.version], solver.Holder{
				Rate: s.rate(t), FirstLayer: h.span.first, EndLayer: h.span.end,
			})
			targetsOf[h.version] = append(targetsOf[h.version], member)
		}
	}
	bound := 0.0
	for version, hs := range holders {
		at := targetsOf[version]
		flow := solver.Chains{
			Layers: s.Model.Layers, Holders: hs, ActivationBytes: float64(s.Model.ActivationBytes), FanOut: fanOut, Rounds: boundRounds,
			Bandwidth: func(from, to int) float64 { return s.Bandwidth(&s.Targets[at[from]], &s.Targets[at[to]]) },
		}.Solve()
		bound += flow.Bound
	}
	return bound
}

// boundRounds turns off the improvement of flows over overlapping ranges: plans only compare bounds, and the routers
// compute the flow that they use themselves.
const boundRounds = -1

// linksDigest returns a hash of all links.
func linksDigest(links []cataloger.Link) uint64 {
	d := xxhash.New()
	var word [8]byte
	for _, l := range links {
		_, _ = d.WriteString(l.From)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(l.To)
		_, _ = d.Write([]byte{0})
		binary.LittleEndian.PutUint64(word[:], math.Float64bits(l.Bandwidth))
		_, _ = d.Write(word[:])
	}
	return d.Sum64()
}

// fingerprint returns a hash of all inputs of a group's plan.
func (s State) fingerprint(g group) uint64 {
	d := xxhash.New()
	var word [8]byte
	writeNumber := func(v uint64) {
		binary.LittleEndian.PutUint64(word[:], v)
		_, _ = d.Write(word[:])
	}
	writeText := func(v string) {
		writeNumber(uint64(len(v)))
		_, _ = d.WriteString(v)
	}
	writeText(s.Model.Name)
	writeText(s.Model.Version)
	writeNumber(uint64(s.Model.Layers))
	writeNumber(s.Model.LayerBytes)
	writeNumber(s.Model.ActivationBytes)
	writeNumber(uint64(s.Pace.MaxMoves))
	writeNumber(s.LinksVersion)
	for _, member := range g.members {
		t := s.Targets[member]
		writeText(t.Name)
		writeNumber(math.Float64bits(s.rate(t)))
		writeNumber(t.MemoryBytes)
		writeNumber(uint64(len(t.Holdings)))
		for _, h := range t.Holdings {
			writeText(h.Model)
			writeText(h.Version)
			writeNumber(uint64(h.FirstLayer)<<32 | uint64(h.EndLayer))
			if h.Ready {
				writeNumber(1)
			}
		}
	}
	return d.Sum64()
}
