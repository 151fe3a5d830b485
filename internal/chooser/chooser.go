package chooser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/pathfinder"
	"github.com/rattantray/rattantray/internal/placer"
)

const (
	// maxStages is how many stages targets accept in one path.
	maxStages = 32
	// crossingCost is what a hop between data centres costs while the pipe is idle; it grows as the pipe fills, since a token
	// waits there behind whole prompts.
	crossingCost = 5 * time.Millisecond
	// firstWeight is how much more the time to a first event counts than the same time spread over an answer: clients wait for it.
	firstWeight = 4
	// leastPipe bounds how dear a crossing gets as the pipe fills.
	leastPipe = 0.02
	// awayCost is what a first stage in another data centre than the daemon costs: events cross between them, and a link that
	// loses packets makes them late.
	awayCost = 1500 * time.Microsecond
	// hopCost is what one more stage adds to each token: the wait for the target's next pass.
	hopCost = 300 * time.Microsecond
	// faultCost is what a target that fails all requests that it receives first costs as the first one, in time a token: a
	// request that is swallowed costs half a second, and a repeat.
	faultCost = 50 * time.Millisecond
	// fullWeight is how much dearer a layer gets as the memory of its target fills: little at first, as targets batch.
	fullWeight = 4
	// hintMargin is the part by which answers are taken to be longer than their hint.
	hintMargin = 1.25
)

// Demand is what a generation asks of its pipeline.
type Demand struct {
	Service string
	Engine  *matcher.Engine
	// Tokens are kept in memory at the end of the generation.
	Tokens float64
	// Read are those that its first path reads at once.
	PrefillTokens float64
	// Standing is what the claim of the generation on scarce memory rests on.
	Precedence Precedence
}

// Sizes returns how many tokens a generation reads at first and keeps in memory at its end, by its prompt, the most that it may
// write and a hint of what it will; 0 is unknown.
func EstimateTokens(e *matcher.Engine, prompt, most, hint float64) (read, tokens float64) {
	answer := e.UsualAnswer
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	if hint > 0 {
		answer = hint * hintMargin
	}
	if most > 0 {
		answer = min(answer, most)
	}
	return prompt, prompt + answer
}

// Chooser chooses paths; set its exported fields before use. It is safe for concurrent use.
type Chooser struct {
	Targets *assessor.Assessor
	Now     func() time.Time
	// DataCentre is where the daemon is; empty is anywhere.
	DataCentre cataloger.DataCentre
	// Daemons returns how many daemons send about as much as this one.
	Daemons func() int

	// LoadsKnown tells whether the targets' loads are those of all daemons, as far as they are known, not of this one alone.
	HasFleetLoads func() bool
	// Draw draws from the exponential distribution of mean 1.
	Draw func() float64

	pipes pipes
}

// New returns a chooser over what is believed of targets.
func New(targets *assessor.Assessor, now func() time.Time) *Chooser {
	return &Chooser{Targets: targets, Now: now, Daemons: func() int { return 1 }, HasFleetLoads: func() bool { return true }, Draw: rand.ExpFloat64}
}

// racers returns the targets that may run a part of a generation, with the memory that they have for it.
func (c *Chooser) racers(views []assessor.View, d Demand, avoid map[string]bool, load loadFunc) []racer {
	e := d.Engine
	memory := map[string]placer.Memory{}
	out := make([]racer, 0, len(views))
	for i := range views {
		v := &views[i]
		first, end, _ := v.ReadyLayers()
		if !v.Usable() || v.Refusing || avoid[v.Name] || end <= first {
			continue
		}
		m, ok := memory[v.Kind]
		if !ok {
			m = placer.MemoryOf(e, v.Kind)
			memory[v.Kind] = m
		}
		room := m.TokenLayers(end - first)
		used := load(v, room, end-first)
		if !d.fits(used, room, end-first) {
			continue
		}
		step := e.StepTime.Seconds() + e.SequenceTime.Seconds()*float64(v.Requests)
		out = append(out, racer{view: v, room: room, used: used, cost: step * max(e.Kinds[v.Kind].Pace, 0.01) / float64(max(e.Layers, 1))})
	}
	return out
}

// holders returns the targets that may run a part of a generation, by the version of their weights.
func (c *Chooser) holders(views []assessor.View, d Demand, avoid map[string]bool, load loadFunc) map[string][]pathfinder.Holder {
	racers := c.racers(views, d, avoid, load)
	race := c.race(racers)
	out := map[string][]pathfinder.Holder{}
	for _, r := range racers {
		first, end, version := r.view.ReadyLayers()
		entry := r.view.Faults * faultCost.Seconds()
		if c.DataCentre != "" && r.view.DataCentre != c.DataCentre {
			entry += awayCost.Seconds()
		}
		if out[version] == nil {
			out[version] = make([]pathfinder.Holder, 0, len(racers))
		}
		fill := (r.used + d.Tokens*float64(end-first)) / r.room
		out[version] = append(out[version], pathfinder.Holder{
			Target: r.view.Name, Address: r.view.Address, DataCentre: r.view.DataCentre, First: first, End: end,
			LayerCost: race(r) * (1 + fullWeight*fill*fill*fill*fill), HopCost: hopCost.Seconds(), EntryCost: entry,
		})
	}
	return out
}

// Path returns the cheapest path for a generation; false where none has room, or its prompt would wait for the pipes between data
// centres until its client has gone.
func (c *Chooser) Path(d Demand, avoid map[string]bool) ([]cataloger.Stage, bool) {
	path, ok := c.cheapest(d, avoid)
	if ok && !d.Precedence.Begun && c.transfer(d, nil, path) > mostTransfer {
		return nil, false
	}
	return path, ok
}

// viewBuffers hold the views of a choice, of which there are hundreds.
var viewBuffers = sync.Pool{New: func() any { return new([]assessor.View) }}

// cheapest returns the cheapest path for a generation; false where none has room.
func (c *Chooser) cheapest(d Demand, avoid map[string]bool) ([]cataloger.Stage, bool) {
	e := d.Engine
	buffer := viewBuffers.Get().(*[]assessor.View)
	defer viewBuffers.Put(buffer)
	*buffer = c.Targets.AppendService((*buffer)[:0], d.Service)
	views := *buffer
	if e.Layers == 0 {
		return whole(views, avoid)
	}
	path, ok := c.find(e, c.holders(views, d, avoid, c.load(views, d)))
	if !ok && !c.HasFleetLoads() {
		// A load that is guessed keeps requests off targets that may be full, where others are left; whether they are, they know.
		path, ok = c.find(e, c.holders(views, d, avoid, ownLoad))
	}
	return path, ok
}

// find returns the cheapest path over the holders of one version.
func (c *Chooser) find(e *matcher.Engine, holders map[string][]pathfinder.Holder) ([]cataloger.Stage, bool) {
	var best []cataloger.Stage
	bestCost := 0.0
	for _, hs := range holders {
		p := pathfinder.Problem{End: e.Layers, Holders: hs, CrossingCost: c.crossing(e), MaxStages: maxStages}
		if stages, cost, ok := p.Find(); ok && (best == nil || cost < bestCost) {
			best, bestCost = stages, cost
		}
	}
	return best, best != nil
}

// Shortage says why there is no path: the first layers that no target holds at all, that none takes work for, or that none
// has memory for.
func (c *Chooser) NoPathReason(d Demand) string {
	e := d.Engine
	views := c.Targets.Service(d.Service)
	checks := []struct {
		what string
		ok   func(assessor.View) bool
	}{
		{"held by no target", func(assessor.View) bool { return true }},
		{"held only by targets that leave or do not answer", assessor.View.Usable},
		{"held only by targets that want no more for now", func(v assessor.View) bool { return v.Usable() && !v.Refusing }},
		{"held only by targets without memory for it", func(v assessor.View) bool {
			first, end, _ := v.ReadyLayers()
			return v.Usable() && !v.Refusing && d.fits(v.TokenLayers, placer.MemoryOf(e, v.Kind).TokenLayers(end-first), end-first)
		}},
	}
	for _, check := range checks {
		if first, end, ok := uncovered(views, e.Layers, check.ok); ok {
			return fmt.Sprintf("layers %d to %d are %s", first, end, check.what)
		}
	}
	if path, ok := c.cheapest(d, nil); ok {
		return fmt.Sprintf("a prompt would wait for %s for the pipes between data centres", c.transfer(d, nil, path).Round(time.Millisecond))
	}
	return "the targets that have room do not make a path"
}

// Whole tells whether targets that may be used hold every layer.
func (c *Chooser) CoversAllLayers(d Demand) bool {
	_, _, missing := uncovered(c.Targets.Service(d.Service), d.Engine.Layers, assessor.View.Usable)
	return !missing
}

// Back returns how long it takes until there may be a path again: until targets that asked for a pause make the layers whole that
// the others hold in part, or the pipes between data centres have drained; 0 where it is something else that is missing.
func (c *Chooser) RetryAfter(d Demand) time.Duration {
	if d.Engine.Layers == 0 {
		return c.Targets.PauseRemaining(d.Service)
	}
	views := c.Targets.Service(d.Service)
	var pauses []time.Duration
	for _, v := range views {
		if v.Usable() && v.Paused > 0 {
			pauses = append(pauses, v.Paused)
		}
	}
	slices.Sort(pauses)
	for _, pause := range append([]time.Duration{0}, pauses...) {
		here := func(v assessor.View) bool { return v.Usable() && v.Paused <= pause }
		if _, _, missing := uncovered(views, d.Engine.Layers, here); !missing {
			return max(pause, c.drained(d))
		}
	}
	return 0
}

// drained returns how long it takes until the pipes have drained so far that the cheapest path is worth its wait.
func (c *Chooser) drained(d Demand) time.Duration {
	path, ok := c.cheapest(d, nil)
	if !ok {
		return 0
	}
	return max(c.transfer(d, nil, path)-mostTransfer, 0)
}

// uncovered returns the first range of layers that none of the targets that are ok holds.
func uncovered(views []assessor.View, layers uint32, ok func(assessor.View) bool) (first, end uint32, found bool) {
	held := make([]bool, layers)
	for _, v := range views {
		if from, to, _ := v.ReadyLayers(); to > from && ok(v) {
			for l := from; l < min(to, layers); l++ {
				held[l] = true
			}
		}
	}
	for l, is := range held {
		if !is && !found {
			first, found = uint32(l), true
		}
		if is && found {
			return first, uint32(l), true
		}
	}
	return first, layers, found
}

// whole returns the target with the least work, where each holds the whole model.
func whole(views []assessor.View, avoid map[string]bool) ([]cataloger.Stage, bool) {
	best := -1
	for i, v := range views {
		if v.Usable() && !v.Refusing && !avoid[v.Name] && (best < 0 || v.TokenLayers < views[best].TokenLayers) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return []cataloger.Stage{{Target: views[best].Name, Address: views[best].Address, EndLayer: 1}}, true
}

// Replace returns the path with other targets in place of those that were lost; false where the first one was, or no other
// targets hold the layers.
func (c *Chooser) Replace(d Demand, path []cataloger.Stage, lost map[string]bool) ([]cataloger.Stage, bool) {
	e := d.Engine
	if lost[path[0].Target] || e.Layers == 0 {
		return nil, false
	}
	avoid := map[string]bool{}
	for _, s := range path {
		avoid[s.Target] = true
	}
	views := c.Targets.Service(d.Service)
	first, ok := c.Targets.Get(path[0].Target)
	if !ok {
		return nil, false
	}
	_, _, version := first.ReadyLayers()
	spare := c.holders(views, d, avoid, c.load(views, d))[version]
	var out []cataloger.Stage
	for i, s := range path {
		if !lost[s.Target] {
			out = append(out, s)
			continue
		}
		p := pathfinder.Problem{
			First: s.FirstLayer, End: s.EndLayer, Holders: spare, CrossingCost: c.crossing(e),
			PreviousDataCentre: c.place(path[i-1]),
		}
		if i+1 < len(path) {
			p.NextDataCentre = c.place(path[i+1])
		}
		stages, _, ok := p.Find()
		if !ok {
			return nil, false
		}
		out = append(out, stages...)
		for _, used := range stages {
			spare = without(spare, used.Target)
		}
	}
	return out, len(out) <= maxStages
}

// place returns the data centre of a stage, empty where its target is forgotten.
func (c *Chooser) place(s cataloger.Stage) cataloger.DataCentre {
	v, _ := c.Targets.Get(s.Target)
	return v.DataCentre
}

func without(holders []pathfinder.Holder, target string) []pathfinder.Holder {
	var out []pathfinder.Holder
	for _, h := range holders {
		if h.Target != target {
			out = append(out, h)
		}
	}
	return out
}
