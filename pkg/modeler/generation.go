package modeler

import (
	"slices"
	"time"
)

// Observer hears of a generation's events and of its end.
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
	// part counts the paths; a job of an earlier one is dropped.
	part int
	// read is how many tokens of the prompt, or of what was preempted, have passed all stages, of toRead.
	read   int
	toRead int
	made   int
	// again is how many of the made tokens are among those to read, after the generation gave way to others.
	again int
	// held is how many tokens the targets of the path count as held.
	held  int
	ended bool
	// at is the stage at which the work is.
	at      int
	stalled bool
}

// Send begins a generation over a path. It is refused where a stage is lost, does not hold its layers or has no room; the
// outcome names that target.
func (f *Fleet) Send(r Request, path []Stage, o Observer) {
	g := &generation{fleet: f, request: r, observer: o, path: slices.Clone(path), toRead: r.PromptTokens}
	if at := g.obstacle(); at != "" {
		if f.targets[at].lost {
			// Nobody says that a target is lost; the first stage waits for it.
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
	g.readMore()
}

// obstacle returns the first target that does not take the generation, empty where all do.
func (g *generation) obstacle() string {
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

func (g *generation) passes(target string) bool {
	return slices.ContainsFunc(g.path, func(s Stage) bool { return s.Target == target })
}

// tokens returns how many tokens the generation holds in memory.
func (g *generation) tokens() int { return g.read + g.made - g.again }

// hold has the targets of the path count the tokens that the generation holds now.
func (g *generation) hold() { g.count(g.tokens()) }

func (g *generation) count(tokens int) {
	for _, s := range g.path {
		g.fleet.targets[s.Target].inUse += float64(tokens-g.held) * float64(s.End-s.First)
	}
	g.held = tokens
}

func (g *generation) target(stage int) *target { return g.fleet.targets[g.path[stage].Target] }

// readMore has the next chunk of the prompt enter the path.
func (g *generation) readMore() {
	g.at = 0
	tokens := min(g.toRead-g.read, g.fleet.Spec.ChunkTokens)
	g.target(0).enqueue(job{generation: g, stage: 0, tokens: max(tokens, 1), part: g.part})
}

// advance takes the end of a job: to the next stage, or out of the path.
func (g *generation) advance(j job) {
	if j.stage+1 < len(g.path) {
		from, to := g.target(j.stage), g.target(j.stage+1)
		arrive := g.fleet.transfer(from, to, max(j.tokens, 1))
		g.at = j.stage + 1
		next := job{generation: g, stage: j.stage + 1, tokens: j.tokens, part: j.part}
		g.fleet.At(arrive, func() {
			if next.current() {
				to.enqueue(next)
			}
		})
		return
	}
	if j.tokens > 0 {
		g.read = min(g.read+j.tokens, g.toRead)
		g.hold()
		if g.read < g.toRead {
			g.readMore()
			return
		}
	}
	g.token()
}

// token takes one token that the path has made.
func (g *generation) token() {
	g.made++
	g.hold()
	if g.made%g.fleet.Spec.EventTokens == 0 || g.made >= g.request.AnswerTokens {
		g.observer.Event(g.made)
	}
	if g.ended {
		return
	}
	if g.made >= g.request.AnswerTokens {
		g.end(OutcomeDone, "")
		return
	}
	g.makeRoom()
	if g.ended || g.read < g.toRead {
		return
	}
	g.at = 0
	arrive := g.fleet.transfer(g.target(len(g.path)-1), g.target(0), 1)
	part := g.part
	g.fleet.At(arrive, func() {
		if !g.ended && g.part == part {
			g.target(0).enqueue(job{generation: g, part: part})
		}
	})
}

// makeRoom preempts the newest generations of each target that has run out of memory.
func (g *generation) makeRoom() {
	for i := range g.path {
		t := g.target(i)
		for t.used() > t.room() {
			newest := t.newest()
			if newest == nil {
				break
			}
			newest.preempt()
		}
	}
}

// newest returns the generation that came last among those that hold memory; nil where there is only one.
func (t *target) newest() *generation {
	var holding []*generation
	for _, g := range t.generations {
		if g.held > 0 {
			holding = append(holding, g)
		}
	}
	if len(holding) < 2 {
		return nil
	}
	return holding[len(holding)-1]
}

// retryPause is the time between two looks whether a preempted generation has room again.
const retryPause = 10 * time.Millisecond

// preempt has a generation give its memory up; all tokens so far are read again once there is room for them.
func (g *generation) preempt() {
	g.toRead, g.read, g.again = g.request.PromptTokens+g.made, 0, g.made
	g.hold()
	g.part++
	g.retry(g.part)
}

func (g *generation) retry(part int) {
	g.fleet.After(retryPause, func() {
		if g.ended || g.part != part {
			return
		}
		for _, s := range g.path {
			if !g.fleet.targets[s.Target].fits(s, g.toRead) {
				g.retry(part)
				return
			}
		}
		g.readMore()
	})
}

// silentStage returns the lost target that the generation waits for.
func (g *generation) silentStage() string {
	for _, s := range g.path {
		if g.fleet.targets[s.Target].lost {
			return s.Target
		}
	}
	return ""
}

// stallAt has the generation wait for a lost target, and be cut off after the stall time.
func (g *generation) stallAt(t *target) {
	if g.stalled || g.ended {
		return
	}
	g.stalled = true
	part := g.part
	g.fleet.After(g.fleet.Spec.StallTime, func() {
		if g.ended || g.part != part || !t.lost {
			return
		}
		if g.made == 0 {
			g.end(OutcomeRefused, t.name)
			return
		}
		g.end(OutcomeCut, t.name)
	})
}

// Repath has a generation go on over another path with the same first stage. New stages read all tokens so far; false says
// that the request is gone, its first target lost, or a stage not there.
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
	arrive, fresh := f.now, 0.0
	for i, s := range path {
		if slices.Contains(g.path, s) {
			continue
		}
		if i > 0 {
			arrive = max(arrive, f.transfer(f.targets[path[i-1].Target], f.targets[s.Target], g.tokens()))
		}
		fresh += float64(s.End-s.First) / float64(f.Spec.Layers) / f.Spec.PrefillRate * f.targets[s.Target].kind.PrefillFactor
	}
	g.detach()
	g.path, g.stalled = slices.Clone(path), false
	g.part++
	for _, s := range path {
		t := f.targets[s.Target]
		t.generations = append(t.generations, g)
	}
	g.hold()
	part := g.part
	f.At(arrive+time.Duration(fresh*float64(g.tokens())*float64(time.Second)), func() {
		if g.ended || g.part != part {
			return
		}
		if g.read < g.toRead {
			g.readMore()
			return
		}
		g.target(0).enqueue(job{generation: g, part: part})
	})
	return true
}

// Cancel ends a generation whose client has left.
func (f *Fleet) Cancel(id string) {
	if g, ok := f.running[id]; ok {
		g.end(OutcomeCanceled, "")
	}
}

func (g *generation) detach() {
	g.count(0)
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
