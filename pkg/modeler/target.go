package modeler

import (
	"math"
	"time"
)

// job is the work of one generation at one stage: tokens to prefill, or one token step.
type job struct {
	generation *generation
	stage      int
	// tokens is the number to prefill; 0 is a token step.
	tokens int
	// pathNumber identifies the path that the job belongs to; jobs of an earlier path are dropped.
	pathNumber int
}

// target simulates one engine.
type target struct {
	fleet      *Fleet
	name       string
	dataCentre string
	kind       Kind
	pace       float64
	first      uint32
	end        uint32
	loading    bool
	lost       bool

	jobs []job
	busy bool
	// generations hold memory here.
	generations []*generation
	// usedTokenLayers is their memory, in tokens times layers.
	usedTokenLayers float64
}

// capacity returns the memory for requests beside the held layers, in tokens times layers.
func (t *target) capacity() float64 {
	free := t.kind.MemoryBytes - float64(t.end-t.first)*t.fleet.Spec.LayerBytes
	return math.Max(free, 0) / (t.fleet.Spec.TokenBytes / float64(t.fleet.Spec.Layers))
}

// used returns the memory that requests use, in tokens times layers.
func (t *target) used() float64 { return t.usedTokenLayers }

// fits reports whether a generation's tokens at a stage fit in the remaining capacity.
func (t *target) fits(s Stage, tokens int) bool {
	return t.used()+float64(tokens)*float64(s.End-s.First) <= t.capacity()
}

func (t *target) enqueue(j job) {
	t.jobs = append(t.jobs, j)
	t.startPass()
}

// startPass starts a pass over all waiting jobs, up to a chunk of tokens to prefill.
func (t *target) startPass() {
	if t.busy || t.lost || len(t.jobs) == 0 {
		return
	}
	var pass, rest []job
	prefillTokens := 0
	for _, j := range t.jobs {
		if !j.current() {
			continue
		}
		if j.tokens > 0 && prefillTokens > 0 && prefillTokens+j.tokens > t.fleet.Spec.ChunkTokens {
			rest = append(rest, j)
			continue
		}
		prefillTokens += j.tokens
		pass = append(pass, j)
	}
	t.jobs = rest
	if len(pass) == 0 {
		return
	}
	t.busy = true
	t.fleet.After(t.passDuration(pass), func() { t.finishPass(pass) })
}

// passDuration returns how long a pass takes.
func (t *target) passDuration(pass []job) time.Duration {
	s := t.fleet.Spec
	maxShare, stepSeconds, prefillSeconds := 0.0, 0.0, 0.0
	for _, j := range pass {
		stage := j.generation.path[j.stage]
		part := float64(stage.End-stage.First) / float64(s.Layers)
		if j.tokens > 0 {
			prefillSeconds += part * float64(j.tokens) / s.PrefillRate * t.kind.PrefillFactor
			continue
		}
		maxShare = math.Max(maxShare, part)
		context := float64(j.generation.heldTokens()) / 1000 * s.ContextTime.Seconds()
		stepSeconds += part * (s.SequenceTime.Seconds() + context) * t.kind.Pace
	}
	seconds := (maxShare*s.StepTime.Seconds()*t.kind.Pace + stepSeconds + prefillSeconds) * t.pace
	return time.Duration(seconds * float64(time.Second))
}

func (t *target) finishPass(pass []job) {
	t.busy = false
	if t.lost {
		return
	}
	for _, j := range pass {
		if j.current() {
			j.generation.advance(j)
		}
	}
	t.startPass()
}

// current reports whether the job still belongs to its generation's present path.
func (j job) current() bool { return !j.generation.ended && j.pathNumber == j.generation.pathNumber }
