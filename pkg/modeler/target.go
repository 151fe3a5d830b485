package modeler

import (
	"math"
	"time"
)

// job is the work of one generation at one stage: tokens to read, or one token step.
type job struct {
	generation *generation
	stage      int
	// tokens are read; 0 is a token step.
	tokens int
	// part is the number of the path that the job belongs to; jobs of an earlier path are dropped.
	part int
}

// target is an engine in the model.
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
	// inUse is their memory, in tokens times layers.
	inUse float64
}

// room returns the tokens times layers of requests that fit beside the layers held.
func (t *target) room() float64 {
	free := t.kind.MemoryBytes - float64(t.end-t.first)*t.fleet.Spec.LayerBytes
	return math.Max(free, 0) / (t.fleet.Spec.TokenBytes / float64(t.fleet.Spec.Layers))
}

// used returns the tokens times layers of the requests that hold memory.
func (t *target) used() float64 { return t.inUse }

// fits tells whether a generation finds room for tokens over a stage.
func (t *target) fits(s Stage, tokens int) bool {
	return t.used()+float64(tokens)*float64(s.End-s.First) <= t.room()
}

func (t *target) enqueue(j job) {
	t.jobs = append(t.jobs, j)
	t.start()
}

// start begins a pass over all waiting work, up to a chunk of tokens to read.
func (t *target) start() {
	if t.busy || t.lost || len(t.jobs) == 0 {
		return
	}
	var pass, rest []job
	read := 0
	for _, j := range t.jobs {
		if !j.current() {
			continue
		}
		if j.tokens > 0 && read > 0 && read+j.tokens > t.fleet.Spec.ChunkTokens {
			rest = append(rest, j)
			continue
		}
		read += j.tokens
		pass = append(pass, j)
	}
	t.jobs = rest
	if len(pass) == 0 {
		return
	}
	t.busy = true
	t.fleet.After(t.duration(pass), func() { t.finish(pass) })
}

// duration returns how long a pass takes.
func (t *target) duration(pass []job) time.Duration {
	s := t.fleet.Spec
	share, steps, reads := 0.0, 0.0, 0.0
	for _, j := range pass {
		stage := j.generation.path[j.stage]
		part := float64(stage.End-stage.First) / float64(s.Layers)
		if j.tokens > 0 {
			reads += part * float64(j.tokens) / s.PrefillRate * t.kind.PrefillFactor
			continue
		}
		share = math.Max(share, part)
		context := float64(j.generation.tokens()) / 1000 * s.ContextTime.Seconds()
		steps += part * (s.SequenceTime.Seconds() + context) * t.kind.Pace
	}
	seconds := (share*s.StepTime.Seconds()*t.kind.Pace + steps + reads) * t.pace
	return time.Duration(seconds * float64(time.Second))
}

func (t *target) finish(pass []job) {
	t.busy = false
	if t.lost {
		return
	}
	for _, j := range pass {
		if j.current() {
			j.generation.advance(j)
		}
	}
	t.start()
}

// current tells whether the job still belongs to a generation's path.
func (j job) current() bool { return !j.generation.ended && j.part == j.generation.part }
