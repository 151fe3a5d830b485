package modeler

import (
	"slices"
	"time"
)

// Observer receives a generation's events and its end; End gets the outcome and the target that caused it, if any.
type Observer struct {
	Event func(tokens int)
	End   func(Outcome, string)
}

// generation is a request in progress.
type generation struct {
	fleet    *Fleet
	request  Request
	observer Observer
	path     []Stage
	// pathNumber numbers the paths and restarts; a job with an earlier number is dropped.
	pathNumber int
	// prefilled is how many of the toPrefill tokens, of the prompt or of a preempted generation, have passed all stages.
	prefilled int
	toPrefill int
	generated int
	// generatedToPrefill is how many generated tokens are included in toPrefill after a preemption.
	generatedToPrefill int
	// countedTokens is how many tokens the targets of the path count as used by this generation.
	countedTokens int
	ended         bool
	// stage is the stage that the work has reached.
	stage   int
	stalled bool
}

// Send starts a generation over a path. It is refused if a stage is lost, does not hold its layers or has no capacity; the
// observer's End names that target.
func (f *Fleet) Send(r Request, path []Stage, o Observer) {
	g := &generation{fleet: f, request: r, observer: o, path: slices.Clone(path), toPrefill: r.PromptTokens}
	if at := g.refusingTarget(); at != "" {
		if f.targets[at].lost {
			// A target is lost without notice; the first stage waits for it.
			f.running[r.ID] = g
			g.stalled = true
			f.After(f.Spec.StallTime, func() { g.end(OutcomeRefused, at) })
			return
		}
		o.End(OutcomeRefused, at)
		return
	}
	for _, s := range g.path {
		t := f.targets[s.Target]
		t.generations = append(t.generations, g)
	}
	f.running[r.ID] = g
	g.prefillNextChunk()
}

// refusingTarget returns the first target that refuses the generation; empty if all accept it.
func (g *generation) refusingTarget() string {
	first := g.fleet.targets[g.path[0].Target]
	received := 0
	for _, other := range g.fleet.running {
		if other.path[0].Target == first.name {
			received++
		}
	}
	if received >= g.fleet.Spec.Slots+g.fleet.Spec.Queue {
		return first.name
	}
	for _, s := range g.path {
		t := g.fleet.targets[s.Target]
		if t.lost || t.loading || s.First < t.first || s.End > t.end || !t.fits(s, g.request.PromptTokens) {
			return s.Target
		}
	}
	return ""
}

func (g *generation) uses(target string) bool {
	return slices.ContainsFunc(g.path, func(s Stage) bool { return s.Target == target })
}

// heldTokens returns how many tokens the generation holds in memory.
func (g *generation) heldTokens() int { return g.prefilled + g.generated - g.generatedToPrefill }

// updateUsage updates the memory usage of the path's targets to the tokens that the generation holds now.
func (g *generation) updateUsage() { g.setUsage(g.heldTokens()) }

func (g *generation) setUsage(tokens int) {
	for _, s := range g.path {
		g.fleet.targets[s.Target].usedTokenLayers += float64(tokens-g.countedTokens) * float64(s.End-s.First)
	}
	g.countedTokens = tokens
}

func (g *generation) target(stage int) *target { return g.fleet.targets[g.path[stage].Target] }

// prefillNextChunk sends the next chunk of the prompt into the path.
func (g *generation) prefillNextChunk() {
	g.stage = 0
	tokens := min(g.toPrefill-g.prefilled, g.fleet.Spec.ChunkTokens)
	g.target(0).enqueue(job{generation: g, stage: 0, tokens: max(tokens, 1), pathNumber: g.pathNumber})
}

// advance handles the end of a job: it sends the work to the next stage, or out of the path after the last one.
func (g *generation) advance(j job) {
	if j.stage+1 < len(g.path) {
		from, to := g.target(j.stage), g.target(j.stage+1)
		arrive := g.fleet.transfer(from, to, max(j.tokens, 1))
		g.stage = j.stage + 1
		next := job{generation: g, stage: j.stage + 1, tokens: j.tokens, pathNumber: j.pathNumber}
		g.fleet.At(arrive, func() {
			if next.current() {
				to.enqueue(next)
			}
		})
		return
	}
	if j.tokens > 0 {
		g.prefilled = min(g.prefilled+j.tokens, g.toPrefill)
		g.updateUsage()
		if g.prefilled < g.toPrefill {
			g.prefillNextChunk()
			return
		}
	}
	g.recordToken()
}

// recordToken records one token that the path has generated and starts the next.
func (g *generation) recordToken() {
	g.generated++
	g.updateUsage()
	if g.generated%g.fleet.Spec.EventTokens == 0 || g.generated >= g.request.AnswerTokens {
		g.observer.Event(g.generated)
	}
	if g.ended {
		return
	}
	if g.generated >= g.request.AnswerTokens {
		g.end(OutcomeDone, "")
		return
	}
	g.preemptUntilFits()
	if g.ended || g.prefilled < g.toPrefill {
		return
	}
	g.stage = 0
	arrive := g.fleet.transfer(g.target(len(g.path)-1), g.target(0), 1)
	pathNumber := g.pathNumber
	g.fleet.At(arrive, func() {
		if !g.ended && g.pathNumber == pathNumber {
			g.target(0).enqueue(job{generation: g, pathNumber: pathNumber})
		}
	})
}

// preemptUntilFits preempts the newest generations of each target of the path that has run out of memory.
func (g *generation) preemptUntilFits() {
	for i := range g.path {
		t := g.target(i)
		for t.used() > t.capacity() {
			newest := t.newest()
			if newest == nil {
				break
			}
			newest.preempt()
		}
	}
}

// newest returns the latest of the generations that hold memory; nil if fewer than two do.
func (t *target) newest() *generation {
	var holding []*generation
	for _, g := range t.generations {
		if g.countedTokens > 0 {
			holding = append(holding, g)
		}
	}
	if len(holding) < 2 {
		return nil
	}
	return holding[len(holding)-1]
}

// retryPause is the interval between checks whether a preempted generation fits again.
const retryPause = 10 * time.Millisecond

// preempt releases a generation's memory; all its tokens are prefilled again once they fit.
func (g *generation) preempt() {
	g.toPrefill, g.prefilled, g.generatedToPrefill = g.request.PromptTokens+g.generated, 0, g.generated
	g.updateUsage()
	g.pathNumber++
	g.retryWhenFits(g.pathNumber)
}

func (g *generation) retryWhenFits(pathNumber int) {
	g.fleet.After(retryPause, func() {
		if g.ended || g.pathNumber != pathNumber {
			return
		}
		for _, s := range g.path {
			if !g.fleet.targets[s.Target].fits(s, g.toPrefill) {
				g.retryWhenFits(pathNumber)
				return
			}
		}
		g.prefillNextChunk()
	})
}

// lostStage returns the lost target that the generation waits for; empty if there is none.
func (g *generation) lostStage() string {
	for _, s := range g.path {
		if g.fleet.targets[s.Target].lost {
			return s.Target
		}
	}
	return ""
}

// stallAt makes the generation wait for a lost target, and aborts it after the stall time.
func (g *generation) stallAt(t *target) {
	if g.stalled || g.ended {
		return
	}
	g.stalled = true
	pathNumber := g.pathNumber
	g.fleet.After(g.fleet.Spec.StallTime, func() {
		if g.ended || g.pathNumber != pathNumber || !t.lost {
			return
		}
		if g.generated == 0 {
			g.end(OutcomeRefused, t.name)
			return
		}
		g.end(OutcomeCut, t.name)
	})
}

// Repath continues a generation over another path with the same first stage; new stages prefill all tokens so far. It returns
// false if the request has ended, the first stage is lost or differs, or a stage's layers are not available.
func (f *Fleet) Repath(id string, path []Stage) bool {
	g, ok := f.running[id]
	if !ok || g.ended || f.targets[path[0].Target].lost || path[0] != g.path[0] {
		return false
	}
	for _, s := range path {
		t := f.targets[s.Target]
		if t.lost || t.loading || s.First < t.first || s.End > t.end {
			return false
		}
	}
	arrive, secondsPerToken := f.now, 0.0
	for i, s := range path {
		if slices.Contains(g.path, s) {
			continue
		}
		if i > 0 {
			arrive = max(arrive, f.transfer(f.targets[path[i-1].Target], f.targets[s.Target], g.heldTokens()))
		}
		secondsPerToken += float64(s.End-s.First) / float64(f.Spec.Layers) / f.Spec.PrefillRate * f.targets[s.Target].kind.PrefillFactor
	}
	g.detach()
	g.path, g.stalled = slices.Clone(path), false
	g.pathNumber++
	for _, s := range path {
		t := f.targets[s.Target]
		t.generations = append(t.generations, g)
	}
	g.updateUsage()
	pathNumber := g.pathNumber
	f.At(arrive+time.Duration(secondsPerToken*float64(g.heldTokens())*float64(time.Second)), func() {
		if g.ended || g.pathNumber != pathNumber {
			return
		}
		if g.prefilled < g.toPrefill {
			g.prefillNextChunk()
			return
		}
		g.target(0).enqueue(job{generation: g, pathNumber: pathNumber})
	})
	return true
}

// Cancel ends a generation whose client has disconnected.
func (f *Fleet) Cancel(id string) {
	if g, ok := f.running[id]; ok {
		g.end(OutcomeCanceled, "")
	}
}

func (g *generation) detach() {
	g.setUsage(0)
	for _, s := range g.path {
		t := g.fleet.targets[s.Target]
		if i := slices.Index(t.generations, g); i >= 0 {
			t.generations = slices.Delete(t.generations, i, i+1)
		}
	}
}

func (g *generation) end(o Outcome, at string) {
	if g.ended {
		return
	}
	g.ended = true
	g.detach()
	delete(g.fleet.running, g.request.ID)
	g.observer.End(o, at)
}
