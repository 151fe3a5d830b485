package planner

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/solver"
)

// fanOut bounds the links of a target that the bound is worked out over.
const fanOut = 8

// Planner plans one model and keeps what it worked out for groups of targets that did not change.
type Planner struct {
	cache map[uint64]groupPlan
}

// New returns a planner that has worked nothing out.
func New() *Planner { return &Planner{} }

// Plan decides the next changes; the same state gives the same placement.
func Plan(s State) Placement { return New().Plan(s) }

// groupPlan is what is worked out for one group.
type groupPlan struct {
	// spans are the ranges meant for the members, in their order; a place without one has an empty range.
	spans []span
	bound float64
	upper float64
}

// Plan decides the next changes; the same state gives the same placement.
func (p *Planner) Plan(s State) Placement {
	s.Pace = s.Pace.withDefaults()
	s.Bandwidth = s.bandwidth()
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
	all := groups(s, usable)
	for _, g := range all {
		key := s.fingerprint(g)
		plan, ok := p.cache[key]
		if !ok {
			plan = s.planGroup(g)
		}
		next[key] = plan
		placement.Bound += plan.bound
		placement.UpperBound += plan.upper
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
	placement.Changes, placement.BlockedReason = s.changes(all, wanted, placement.Bound)
	return placement
}

// changes returns the steps that may be taken now; where links rule a step out, others are tried in its place.
func (s State) changes(all []group, wanted []span, bound float64) (out []Change, blocked string) {
	banned := map[int]bool{}
	for range mostTrials {
		tr := newTransition(s, all, wanted, bound)
		tr.banned = banned
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

// mostTrials bounds how often steps are chosen anew.
const mostTrials = 4

// bandwidth returns the function of the state or one that looks links up by name.
func (s State) bandwidth() func(from, to *cataloger.Target) float64 {
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
	a := s.arrange(g)
	a.place()
	a.improve(s.Pace.MaxMoves)
	a.repack()
	plan := groupPlan{spans: make([]span, len(g.members)), upper: a.upper(), bound: s.solve(g)}
	for i, slot := range a.slots {
		plan.spans[i] = slot.span
	}
	return plan
}

// arrange returns the group with the ranges it holds of the wanted version; a target of another version keeps its range.
func (s State) arrange(g group) *arrangement {
	slots := make([]slot, len(g.members))
	smallest := s.Model.Layers
	for i, member := range g.members {
		t := s.Targets[member]
		sl := slot{target: member, rate: s.rate(t), capacity: s.Model.capacity(t)}
		smallest = min(smallest, sl.capacity)
		all := holdings(s.Model, t)
		if h, ok := mainOf(all, s.Model.Version); ok {
			sl.span, sl.held = h.span, true
		} else if h, ok := otherOf(all, s.Model.Version); ok && h.span.layers() <= sl.capacity {
			sl.span = h.span
		}
		slots[i] = sl
	}
	grid := s.Model.grid(smallest)
	for !roomy(slots, grid) && uint32(len(grid)) <= s.Model.Layers {
		grid = s.Model.grid(s.Model.Layers / min(s.Model.Layers, 2*uint32(len(grid))))
	}
	return newArrangement(s.Model.Layers, grid, slots)
}

// roomy tells whether the slots hold the layers well over when their capacities are cut down to whole cells.
func roomy(slots []slot, grid []uint32) bool {
	layers := grid[len(grid)-1]
	cell := max(1, layers/uint32(len(grid)-1))
	sum := 0.0
	for _, sl := range slots {
		sum += float64(sl.capacity - sl.capacity%cell)
	}
	return sum >= roominess*float64(layers)
}

const roominess = 1.5

// solve returns the max-flow bound of what the group holds ready, versions apart.
func (s State) solve(g group) float64 {
	holders := map[string][]solver.Holder{}
	places := map[string][]int{}
	for _, member := range g.members {
		t := s.Targets[member]
		for _, h := range holdings(s.Model, t) {
			if !h.ready {
				continue
			}
			holders[h.version] = append(holders[h.version], solver.Holder{
				Rate: s.rate(t), FirstLayer: h.span.first, EndLayer: h.span.end,
			})
			places[h.version] = append(places[h.version], member)
		}
	}
	bound := 0.0
	for version, hs := range holders {
		at := places[version]
		flow := solver.Chains{
			Layers: s.Model.Layers, Holders: hs, ActivationBytes: float64(s.Model.ActivationBytes), FanOut: fanOut, Rounds: boundRounds,
			Bandwidth: func(from, to int) float64 { return s.Bandwidth(&s.Targets[at[from]], &s.Targets[at[to]]) },
		}.Solve()
		bound += flow.Bound
	}
	return bound
}

// boundRounds leaves out the improvement of flows over ranges that overlap: plans compare bounds, and the routers work
// out the flow that they route by themselves.
const boundRounds = -1

// linksDigest changes with any link.
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

// fingerprint changes with anything that the plan of a group is made from.
func (s State) fingerprint(g group) uint64 {
	d := xxhash.New()
	var word [8]byte
	number := func(v uint64) {
		binary.LittleEndian.PutUint64(word[:], v)
		_, _ = d.Write(word[:])
	}
	text := func(v string) {
		number(uint64(len(v)))
		_, _ = d.WriteString(v)
	}
	text(s.Model.Name)
	text(s.Model.Version)
	number(uint64(s.Model.Layers))
	number(s.Model.LayerBytes)
	number(s.Model.ActivationBytes)
	number(uint64(s.Pace.MaxMoves))
	number(s.LinksVersion)
	for _, member := range g.members {
		t := s.Targets[member]
		text(t.Name)
		number(math.Float64bits(s.rate(t)))
		number(t.MemoryBytes)
		number(uint64(len(t.Holdings)))
		for _, h := range t.Holdings {
			text(h.Model)
			text(h.Version)
			number(uint64(h.FirstLayer)<<32 | uint64(h.EndLayer))
			if h.Ready {
				number(1)
			}
		}
	}
	return d.Sum64()
}
