package chooser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/pacer"
	"github.com/rattantray/rattantray/internal/pathfinder"
	"github.com/rattantray/rattantray/internal/placer"
	"github.com/rattantray/rattantray/internal/throttler"
)

const (
	// maxStages is the maximum number of stages that targets accept in one path.
	maxStages = 32
	// idleCrossingCost is the cost per token of a hop between data centres while the pipe is idle. It grows as the pipe fills,
	// since a token queues there behind whole prompts.
	idleCrossingCost = 5 * time.Millisecond
	// firstEventWeight is how much more the time to the first event counts than the same time spread over an answer, since
	// clients wait for the first event.
	firstEventWeight = 4
	// minFreePipe is the minimum free share of a pipe in the cost of a crossing, so that a full pipe keeps a finite cost.
	minFreePipe = 0.02
	// remoteEntryCost is the cost per token of a first stage in another data centre than the daemon's: its events cross between
	// the two, and a link that loses packets delays them.
	remoteEntryCost = 1500 * time.Microsecond
	// hopCost is the time that each further stage adds to a token: the wait for the target's next pass.
	hopCost = 300 * time.Microsecond
	// faultCost is the cost per token of a first stage on a target that fails every request sent to it first: a request that
	// is lost there costs half a second and a retry.
	faultCost = 50 * time.Millisecond
	// limitCost is the cost per token of a first stage on a target whose limit of requests is used up, so that others are chosen
	// before the limit refuses requests.
	limitCost = 20 * time.Millisecond
	// memoryFillWeight scales how much the cost of a layer grows as the memory of its target fills. The growth is small at
	// first, since targets batch.
	memoryFillWeight = 4
	// maxCandidates is how many targets, drawn at random, are candidates for a path in a larger fleet. All of them are if these make
	// no path.
	maxCandidates = 512
	// heldBackFactor scales the cost of a layer on a target that is held back, so that it is used only where others have hardly any
	// room.
	heldBackFactor = 10
	// hintMargin scales the hinted length of an answer, in case the answer is longer.
	hintMargin = 1.25
)

// Demand describes the resources that a generation needs from its pipeline.
type Demand struct {
	Service string
	Engine  *matcher.Engine
	// Tokens is the number of tokens kept in memory at the end of the generation.
	Tokens float64
	// PrefillTokens is the number of tokens that its first path prefills at the start.
	PrefillTokens float64
	// GapObjective is the maximum pause between two events of a stream that is on time; 0 is none.
	GapObjective time.Duration
	// SharesLoads means that the daemons share their loads of the service's targets.
	SharesLoads bool
	// Precedence decides how much of a target's memory the generation may fill when memory is scarce.
	Precedence Precedence
}

// EstimateTokens returns how many tokens a generation prefills at the start and how many it keeps in memory at its end. Its
// inputs, in tokens, are the length of the prompt, the maximum length of the answer and a hint of it; 0 means unknown.
func EstimateTokens(e *matcher.Engine, prompt, maxAnswer, hint float64) (read, tokens float64) {
	answer := e.UsualAnswer
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	if hint > 0 {
		answer = hint * hintMargin
	}
	if maxAnswer > 0 {
		answer = min(answer, maxAnswer)
	}
	return prompt, prompt + answer
}

// Chooser chooses paths; set its exported fields before use. It is safe for concurrent use.
type Chooser struct {
	Targets *assessor.Assessor
	Now     func() time.Time
	// DataCentre is the data centre of the daemon; empty means that none is preferred.
	DataCentre cataloger.DataCentre
	// Daemons returns the number of daemons, this one included, that send about as much load as this one.
	Daemons func() int

	// HasFleetLoads reports whether the tracked loads of targets include those of the other daemons.
	HasFleetLoads func() bool
	// HasTally reports whether they do for services whose loads are shared.
	HasTally func() bool
	// AnswerTime returns the typical time of an answer.
	AnswerTime func() time.Duration
	// Limits returns the use of the limits of targets, by the name of the target.
	Limits func() map[string]throttler.State
	// Pace returns the targets of a service that have started or come back and are not open to new requests.
	Pace func(service string) map[string]pacer.Verdict
	// Draw returns a sample of the exponential distribution with mean 1.
	Draw func() float64

	pipes pipes
}

// New returns a chooser for a single daemon over the tracked targets.
func New(targets *assessor.Assessor, now func() time.Time) *Chooser {
	return &Chooser{
		Targets: targets, Now: now, Daemons: func() int { return 1 }, HasFleetLoads: func() bool { return true },
		HasTally: func() bool { return false }, AnswerTime: func() time.Duration { return 0 },
		Limits: func() map[string]throttler.State { return nil }, Draw: rand.ExpFloat64,
		Pace: func(string) map[string]pacer.Verdict { return nil },
	}
}

// knowsLoads reports whether the tracked loads are those of the full fleet.
func (c *Chooser) knowsLoads(d Demand) bool {
	return c.HasFleetLoads() || d.SharesLoads && c.HasTally()
}

// candidates returns the targets that can run a part of a generation, with their memory for requests.
func (c *Chooser) candidates(views []assessor.View, d Demand, avoid map[string]bool, load loadFunc) []candidate {
	e := d.Engine
	memory := map[string]placer.Memory{}
	pace := c.paceFor(d)
	out := make([]candidate, 0, len(views))
	for i := range views {
		v := &views[i]
		first, end, _ := v.ReadyLayers()
		if !v.Usable() || v.Refusing || avoid[v.Name] || end <= first || pace[v.Name] == pacer.Full {
			continue
		}
		m, ok := memory[v.Kind]
		if !ok {
			m = placer.MemoryOf(e, v.Kind)
			memory[v.Kind] = m
		}
		capacity := m.TokenLayers(end - first)
		used := load(v, capacity, end-first)
		capacity = d.paceCapacity(v, capacity, end-first)
		if !d.fits(used, capacity, end-first) {
			continue
		}
		step := e.StepTime.Seconds() + e.SequenceTime.Seconds()*float64(v.Requests)
		cand := candidate{view: v, capacity: capacity, used: used, cost: step * max(e.Kinds[v.Kind].Pace, 0.01) / float64(max(e.Layers, 1))}
		cand.heldBack = pace[v.Name] == pacer.HeldBack
		out = append(out, cand)
	}
	return out
}

// paceFor returns the targets that are not open to a generation as they have started or come back. Streams that have begun go before all
// others, so that all are open to these.
func (c *Chooser) paceFor(d Demand) map[string]pacer.Verdict {
	if d.Precedence.Begun {
		return nil
	}
	return c.Pace(d.Service)
}

// holders returns the targets that can run a part of a generation, keyed by the version of their weights.
func (c *Chooser) holders(views []assessor.View, d Demand, avoid map[string]bool, load loadFunc) map[string][]pathfinder.Holder {
	candidates := c.candidates(views, d, avoid, load)
	layerCost := c.layerCosts(candidates)
	limits := c.Limits()
	out := map[string][]pathfinder.Holder{}
	for _, cand := range candidates {
		first, end, version := cand.view.ReadyLayers()
		entryCost := cand.view.Faults*faultCost.Seconds() + limitEntryCost(limits[cand.view.Name])
		if c.DataCentre != "" && cand.view.DataCentre != c.DataCentre {
			entryCost += remoteEntryCost.Seconds()
		}
		if out[version] == nil {
			out[version] = make([]pathfinder.Holder, 0, len(candidates))
		}
		fill := (cand.used + d.Tokens*float64(end-first)) / cand.capacity
		cost := layerCost(cand) * (1 + memoryFillWeight*fill*fill*fill*fill)
		if cand.heldBack {
			cost *= heldBackFactor
		}
		out[version] = append(out[version], pathfinder.Holder{
			Target: cand.view.Name, Address: cand.view.Address, DataCentre: cand.view.DataCentre, First: first, End: end,
			LayerCost: cost, HopCost: hopCost.Seconds(), EntryCost: entryCost,
		})
	}
	return out
}

// limitEntryCost returns the cost per token, in seconds, of a first stage on a target with a limit. It is infinite while the limit is
// used up; the target can still run other stages, whose requests it gets from other targets.
func limitEntryCost(s throttler.State) float64 {
	if s.Wait > 0 {
		return math.Inf(1)
	}
	return s.Fill * s.Fill * limitCost.Seconds()
}

// Path returns the cheapest path for a generation. It returns false if no path has the capacity, or if the prompt would wait for
// the pipes between data centres until the client has left.
func (c *Chooser) Path(d Demand, avoid map[string]bool) ([]cataloger.Stage, bool) {
	path, ok := c.cheapestPath(d, avoid)
	if ok && !d.Precedence.Begun && c.transferWait(d, nil, path) > maxTransferWait {
		return nil, false
	}
	return path, ok
}

// viewBuffers reuses the slices of views, since each choice reads hundreds.
var viewBuffers = sync.Pool{New: func() any { return new([]assessor.View) }}

// views returns the listed targets of a service, which may be used until release is called.
func (c *Chooser) views(service string) (views []assessor.View, release func()) {
	buffer := viewBuffers.Get().(*[]assessor.View)
	*buffer = c.Targets.AppendService((*buffer)[:0], service)
	return *buffer, func() { viewBuffers.Put(buffer) }
}

// cheapestPath returns the cheapest path for a generation, or false if no path has the capacity.
func (c *Chooser) cheapestPath(d Demand, avoid map[string]bool) ([]cataloger.Stage, bool) {
	e := d.Engine
	buffer := viewBuffers.Get().(*[]assessor.View)
	defer viewBuffers.Put(buffer)
	if *buffer = c.Targets.AppendHolding((*buffer)[:0], d.Service, maxCandidates); len(*buffer) > 0 {
		if path, ok := c.cheapestOver(d, c.holders(*buffer, d, avoid, c.loadEstimate(*buffer, d))); ok {
			return path, true
		}
	}
	*buffer = c.Targets.AppendService((*buffer)[:0], d.Service)
	views := *buffer
	if e.Layers == 0 {
		return leastLoadedTarget(views, avoid, c.Limits())
	}
	path, ok := c.cheapestOver(d, c.holders(views, d, avoid, c.loadEstimate(views, d)))
	if !ok && !c.knowsLoads(d) {
		// Estimated loads only steer requests towards other targets. They refuse none: a target itself knows whether it is full.
		path, ok = c.cheapestOver(d, c.holders(views, d, avoid, trackedLoad))
	}
	return path, ok
}

// cheapestOver returns the cheapest path whose holders all have the same version of the weights.
func (c *Chooser) cheapestOver(d Demand, holders map[string][]pathfinder.Holder) ([]cataloger.Stage, bool) {
	e := d.Engine
	var best []cataloger.Stage
	bestCost := 0.0
	for _, versionHolders := range holders {
		p := pathfinder.Problem{End: e.Layers, Holders: versionHolders, CrossingCost: c.crossingCosts(d), MaxStages: maxStages}
		if stages, cost, ok := p.Find(); ok && !math.IsInf(cost, 1) && (best == nil || cost < bestCost) {
			best, bestCost = stages, cost
		}
	}
	return best, best != nil
}

// NoPathReason explains why there is no path: the first layers that no target holds, that no target accepts work for, or that
// no target has the memory for.
func (c *Chooser) NoPathReason(d Demand) string {
	e := d.Engine
	views, pace := c.Targets.Service(d.Service), c.paceFor(d)
	mostUrgent := d
	mostUrgent.Precedence.Ahead = 0
	accepts := func(v *assessor.View) bool { return v.Usable() && !v.Refusing && pace[v.Name] != pacer.Full }
	checks := []struct {
		what string
		ok   func(*assessor.View) bool
	}{
		{"held by no target", func(*assessor.View) bool { return true }},
		{"held only by targets that leave or do not answer", (*assessor.View).Usable},
		{"held only by targets that want no more for now", func(v *assessor.View) bool { return v.Usable() && !v.Refusing }},
		{"held only by targets that have just started or come back and get no more for now", accepts},
		{"held only by targets without memory for it", func(v *assessor.View) bool {
			first, end, _ := v.ReadyLayers()
			return accepts(v) && mostUrgent.fits(v.TokenLayers, d.room(v, end-first), end-first)
		}},
		{"held only by targets whose room is left to more urgent requests", func(v *assessor.View) bool {
			first, end, _ := v.ReadyLayers()
			return accepts(v) && d.fits(v.TokenLayers, d.room(v, end-first), end-first)
		}},
	}
	limits := c.Limits()
	for _, check := range checks {
		if first, end, ok := firstUncovered(views, e.Layers, check.ok); ok {
			return fmt.Sprintf("layers %d to %d are %s", first, end, check.what)
		}
	}
	if _, _, ok := firstUncovered(views, 1, func(v *assessor.View) bool { return v.Usable() && !v.Refusing && limits[v.Name].Wait == 0 }); ok {
		return "the first layer is held only by targets at their limits of requests"
	}
	if path, ok := c.cheapestPath(d, nil); ok {
		return fmt.Sprintf("a prompt would wait for %s for the pipes between data centres", c.transferWait(d, nil, path).Round(time.Millisecond))
	}
	return "the targets that have room do not make a path"
}

// CoversAllLayers reports whether usable targets hold every layer of the model.
func (c *Chooser) CoversAllLayers(d Demand) bool {
	views, release := c.views(d.Service)
	defer release()
	_, _, missing := firstUncovered(views, d.Engine.Layers, (*assessor.View).Usable)
	return !missing
}

// WaitForTarget returns the time until a usable target of a service may get a request, if all are paused or at their limits. It
// returns 0 if one may get it now, or if none is usable.
func (c *Chooser) WaitForTarget(service string) time.Duration {
	limits := c.Limits()
	var shortest time.Duration
	views, release := c.views(service)
	defer release()
	for i := range views {
		v := &views[i]
		if !v.Usable() {
			continue
		}
		wait := max(v.Paused, limits[v.Name].Wait)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// RetryAfter returns how long it takes until there may be a path again: until enough pauses and waits for limits of targets have ended
// for all layers to be held, or until the pipes between data centres have drained. It returns 0 if neither is what is missing.
func (c *Chooser) RetryAfter(d Demand) time.Duration {
	if d.Engine.Layers == 0 {
		return c.WaitForTarget(d.Service)
	}
	views, release := c.views(d.Service)
	defer release()
	limits := c.Limits()
	wait := func(v *assessor.View) time.Duration {
		if first, _, _ := v.ReadyLayers(); first == 0 {
			return max(v.Paused, limits[v.Name].Wait)
		}
		return v.Paused
	}
	var pauses []time.Duration
	for i := range views {
		if v := &views[i]; v.Usable() && wait(v) > 0 {
			pauses = append(pauses, wait(v))
		}
	}
	slices.Sort(pauses)
	pauses = append([]time.Duration{0}, pauses...)
	// The longer the pause, the more targets are available.
	enough := sort.Search(len(pauses), func(i int) bool {
		available := func(v *assessor.View) bool { return v.Usable() && wait(v) <= pauses[i] }
		_, _, missing := firstUncovered(views, d.Engine.Layers, available)
		return !missing
	})
	if enough == len(pauses) {
		return 0
	}
	return max(pauses[enough], c.timeToDrain(d))
}

// timeToDrain returns how long it takes until the wait for the pipes on the cheapest path is short enough for a client.
func (c *Chooser) timeToDrain(d Demand) time.Duration {
	path, ok := c.cheapestPath(d, nil)
	if !ok {
		return 0
	}
	return max(c.transferWait(d, nil, path)-maxTransferWait, 0)
}

// firstUncovered returns the first range of layers held by none of the targets that ok accepts.
func firstUncovered(views []assessor.View, layers uint32, ok func(*assessor.View) bool) (first, end uint32, found bool) {
	coverage := make([]bool, layers)
	left := layers
	for i := 0; i < len(views) && left > 0; i++ {
		v := &views[i]
		if from, to, _ := v.ReadyLayers(); to > from && ok(v) {
			for l := from; l < min(to, layers); l++ {
				if !coverage[l] {
					coverage[l] = true
					left--
				}
			}
		}
	}
	for l, covered := range coverage {
		if !covered && !found {
			first, found = uint32(l), true
		}
		if covered && found {
			return first, uint32(l), true
		}
	}
	return first, layers, found
}

// leastLoadedTarget returns the target with the least load as a path of one stage, for a service whose targets each hold the
// full model.
func leastLoadedTarget(views []assessor.View, avoid map[string]bool, limits map[string]throttler.State) ([]cataloger.Stage, bool) {
	best := -1
	for i, v := range views {
		if v.Usable() && !v.Refusing && !avoid[v.Name] && limits[v.Name].Wait == 0 && (best < 0 || v.TokenLayers < views[best].TokenLayers) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return []cataloger.Stage{{Target: views[best].Name, Address: views[best].Address, EndLayer: 1}}, true
}

// Replace returns the path with the lost targets replaced by others. It returns false if the first target was lost, or if no other
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
	spare := c.holders(views, d, avoid, c.loadEstimate(views, d))[version]
	var out []cataloger.Stage
	for i, s := range path {
		if !lost[s.Target] {
			out = append(out, s)
			continue
		}
		p := pathfinder.Problem{
			First: s.FirstLayer, End: s.EndLayer, Holders: spare, CrossingCost: c.crossingCosts(d),
			PreviousDataCentre: c.dataCentreOf(path[i-1]),
		}
		if i+1 < len(path) {
			p.NextDataCentre = c.dataCentreOf(path[i+1])
		}
		stages, _, ok := p.Find()
		if !ok {
			return nil, false
		}
		out = append(out, stages...)
		for _, used := range stages {
			spare = withoutTarget(spare, used.Target)
		}
	}
	return out, len(out) <= maxStages
}

// dataCentreOf returns the data centre of a stage, or an empty one if its target is no longer tracked.
func (c *Chooser) dataCentreOf(s cataloger.Stage) cataloger.DataCentre {
	v, _ := c.Targets.Get(s.Target)
	return v.DataCentre
}

func withoutTarget(holders []pathfinder.Holder, target string) []pathfinder.Holder {
	var out []pathfinder.Holder
	for _, h := range holders {
		if h.Target != target {
			out = append(out, h)
		}
	}
	return out
}
