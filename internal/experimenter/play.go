package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/placer"
	"github.com/rattantray/rattantray/pkg/modeler"
)

const (
	service = "model"
	// megabyte is a megabyte in bytes.
	megabyte = 1e6
	// warmUp is the time for the initial loads, before the first request.
	warmUp = 10 * time.Second
	// queryAfter is the silence after which the first stage of a stream is queried, and watchInterval the time between checks.
	queryAfter    = 300 * time.Millisecond
	watchInterval = 50 * time.Millisecond
	// retryAfter is the delay after which refused clients retry, and retryJitter the maximum random delay added to it.
	retryAfter  = time.Second
	retryJitter = 500 * time.Millisecond
)

// simulation is the run of one seed under one policy.
type simulation struct {
	scenario *Scenario
	policy   policy
	fleet    *modeler.Fleet
	random   *rand.Rand
	engine   *matcher.Engine
	targets  *assessor.Assessor
	chooser  *chooser.Chooser
	result   *Result

	targetNames  []string
	pipelines    [][]cataloger.Stage
	nextPipeline int
	streams      map[string]*client
	queriedAt    map[string]time.Duration
	requestCount int
	// downUntil is when restarted processes accept requests again.
	downUntil time.Duration
}

// client is one request of a client over its attempts.
type client struct {
	id        string
	prompt    int
	answer    int
	arrivedAt time.Duration
	attempts  int
	// sendNumber numbers the sends of all attempts, moves counts those to another pipeline, and generated counts the tokens of
	// the present send.
	sendNumber int
	moves      int
	generated  int
	abusive    bool
	path       []cataloger.Stage
	release    func()
	// lastProgress is when the present send started or last progressed, lastEvent when the client last received an event.
	lastProgress time.Duration
	lastEvent    time.Duration
	repairAt     time.Duration
	timeToFirst  time.Duration
	maxGap       time.Duration
	events       int
	closed       bool
}

var epoch = time.Unix(0, 0)

// newSimulation adds the targets and runs until the end of the warm-up, in which they load.
func newSimulation(s *Scenario, name string, seed uint64) *simulation {
	p := &simulation{
		scenario: s, policy: policies[name], fleet: modeler.New(s.modelSpec()), random: rand.New(rand.NewPCG(seed, 1)),
		engine: s.matcherEngine(), result: &Result{Policy: name, Seed: seed}, streams: map[string]*client{}, queriedAt: map[string]time.Duration{},
	}
	p.resetProcesses()
	for _, group := range s.Targets {
		for range group.Count {
			t := fmt.Sprintf("%s-%s-%d", group.DataCentre, group.Kind, len(p.targetNames))
			p.targetNames = append(p.targetNames, t)
			p.fleet.Add(t, group.DataCentre, group.Kind)
			p.targets.Put(cataloger.Target{
				Name: t, Address: t, Service: service, DataCentre: cataloger.DataCentre(group.DataCentre), Kind: group.Kind,
				State: cataloger.StateLive, Incarnation: 1,
			})
		}
	}
	p.applyPlacement(true)
	p.fleet.Run(warmUp)
	p.fixPipelines()
	return p
}

// resetProcesses replaces the product's processes by new ones without any state.
func (p *simulation) resetProcesses() {
	now := func() time.Time { return epoch.Add(p.fleet.Now()) }
	p.targets = assessor.New(now)
	p.chooser = chooser.New(p.targets, now)
	p.chooser.Draw = p.random.ExpFloat64
	clear(p.queriedAt)
}

// modelSpec returns the engines as the simulated fleet has them.
func (s *Scenario) modelSpec() modeler.Spec {
	m := s.Model
	kinds := map[string]modeler.Kind{}
	for _, k := range s.Kinds {
		kinds[k.Name] = modeler.Kind{MemoryBytes: k.MemoryMB * megabyte, Pace: k.Pace, PrefillFactor: k.PrefillFactor}
	}
	return modeler.Spec{
		Layers: m.Layers, LayerBytes: m.LayerMB * megabyte, TokenBytes: m.TokenBytes, StepTime: m.StepTime, SequenceTime: m.SequenceTime,
		ContextTime: m.ContextTime, PrefillRate: m.PrefillRate, ChunkTokens: m.ChunkTokens, Slots: m.Slots, Queue: m.Queue, EventTokens: m.EventTokens,
		OneWayDelay: m.OneWayDelay, PipeBytesPerSecond: m.PipeMbps * megabyte / 8, ActivationBytes: m.ActivationBytes, LoadTime: m.LoadTime,
		MaxConcurrentLoads: m.MaxConcurrentLoads, StallTime: m.StallTime, ReportLag: m.ReportLag, Kinds: kinds,
	}
}

// matcherEngine returns the same engines as the product's decisions see them.
func (s *Scenario) matcherEngine() *matcher.Engine {
	m := s.Model
	e := &matcher.Engine{
		Slots: m.Slots, Layers: m.Layers, LayerBytes: m.LayerMB * megabyte, TokenBytes: m.TokenBytes, StepTime: m.StepTime,
		SequenceTime: m.SequenceTime, ContextTime: m.ContextTime, PrefillRate: m.PrefillRate, ActivationBytes: m.ActivationBytes,
		PipeBytesPerSecond: m.PipeMbps * megabyte / 8, LoadTime: m.LoadTime, MaxConcurrentLoads: m.MaxConcurrentLoads,
		UsualPrompt: s.Load.Prompt.Mean, UsualAnswer: s.Load.Answer.Mean, Kinds: map[string]matcher.Accelerator{},
	}
	for _, k := range s.Kinds {
		e.Kinds[k.Name] = matcher.Accelerator{MemoryBytes: k.MemoryMB * megabyte, Pace: k.Pace, PrefillFactor: k.PrefillFactor}
	}
	return e
}

func (p *simulation) demand(read, written int) chooser.Demand {
	return chooser.Demand{Service: service, Engine: p.engine, Tokens: float64(read + written), PrefillTokens: float64(read)}
}

// applyPlacement runs the loads that the product's placer proposes; quick loads are those before the first request.
func (p *simulation) applyPlacement(quick bool) {
	e := p.engine
	problem := placer.Problem{Layers: e.Layers, KeepHeld: !quick}
	reserve := placer.Reserve(e)
	for _, v := range p.targets.Service(service) {
		t := placer.Target{Name: v.Name, DataCentre: v.DataCentre, Leaving: !v.Usable(), Capacity: placer.MemoryOf(e, v.Kind).Capacity(reserve)}
		t.First, t.End, _ = v.ReadyLayers()
		problem.Targets = append(problem.Targets, t)
	}
	for _, m := range problem.NextMoves(0) {
		p.applyMove(m, quick)
	}
}

func (p *simulation) applyMove(m placer.Move, quick bool) {
	v, _ := p.targets.Get(m.Target)
	p.targets.Put(v.WithHoldings(nil))
	p.fleet.LoadLayers(m.Target, m.First, m.End, quick, func() {
		held := []cataloger.Holding{{Version: "1", FirstLayer: m.First, EndLayer: m.End, Ready: true}}
		p.targets.Put(v.WithHoldings(held))
	})
}

// fixPipelines sets the pipelines of the static policy; no two of them share a target.
func (p *simulation) fixPipelines() {
	avoid := map[string]bool{}
	for {
		path, ok := p.chooser.Path(p.demand(1, 0), avoid)
		if !ok {
			return
		}
		p.pipelines = append(p.pipelines, path)
		for _, s := range path {
			avoid[s.Target] = true
		}
	}
}

// run simulates the load and the disruptions and returns the result.
func (p *simulation) run() *Result {
	p.scheduleArrival()
	for _, t := range p.scenario.Disruptions {
		p.fleet.At(warmUp+t.At, func() { p.disrupt(t) })
	}
	p.fleet.After(watchInterval, p.watch)
	p.fleet.Run(warmUp + p.scenario.Length)
	for _, c := range p.streams {
		p.result.record(p.secondOf(c.arrivedAt), OutcomeOpen)
	}
	p.result.summarize()
	return p.result
}

func (p *simulation) secondOf(at time.Duration) int { return int((at - warmUp) / time.Second) }

// currentRate returns the present rate in requests per second, bursts included.
func (p *simulation) currentRate() float64 {
	rate := p.scenario.Load.Rate
	for _, b := range p.scenario.Load.Bursts {
		if at := p.fleet.Now() - warmUp; at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// scheduleArrival schedules the next client after a random time for the present rate.
func (p *simulation) scheduleArrival() {
	wait := p.random.ExpFloat64() / p.currentRate()
	p.fleet.After(time.Duration(wait*float64(time.Second)), func() {
		load := p.scenario.Load
		p.requestCount++
		c := &client{
			id: fmt.Sprint("r", p.requestCount), prompt: p.drawSize(load.Prompt), answer: p.drawSize(load.Answer), arrivedAt: p.fleet.Now(),
			abusive: p.random.Float64() < load.AbusiveShare,
		}
		p.applyHotKeys(c)
		leaves := p.random.Float64() < load.LeavingShare
		c.attempts = 1
		p.send(c)
		if leaves {
			p.fleet.After(load.Objective/2, func() { p.disconnect(c) })
		}
		p.scheduleArrival()
	})
}

// applyHotKeys gives a request the sizes of an active hot key, with the probability of its share.
func (p *simulation) applyHotKeys(c *client) {
	at := p.fleet.Now() - warmUp
	for _, k := range p.scenario.Load.HotKeys {
		if at >= k.At && at < k.At+k.Duration && p.random.Float64() < k.Share {
			c.prompt, c.answer = k.Prompt, k.Answer
		}
	}
}

func (p *simulation) drawSize(s Size) int {
	n := s.Mean * math.Exp(p.random.NormFloat64()*s.Spread-s.Spread*s.Spread/2)
	if s.Max > 0 {
		n = min(n, s.Max)
	}
	return max(int(n), 1)
}

// send sends a client's request once over a path of the policy.
func (p *simulation) send(c *client) {
	c.sendNumber++
	if p.fleet.Now() < p.downUntil {
		p.handleRefusal(c)
		return
	}
	d := p.demand(c.prompt, c.answer)
	path, ok := p.policy.path(p, d)
	if !ok {
		p.handleRefusal(c)
		return
	}
	c.path, c.lastProgress = path, p.fleet.Now()
	c.release = p.targets.Reserve(path, d.Tokens)
	p.chooser.RecordCrossings(d, nil, path)
	p.streams[c.id] = c
	sendNumber := c.sendNumber
	p.fleet.Send(modeler.Request{ID: c.id, PromptTokens: c.prompt, AnswerTokens: c.answer}, modelStages(path), modeler.Observer{
		Event: func(tokens int) {
			c.generated = tokens
			p.recordEvent(c)
		},
		End: func(o modeler.Outcome, at string) {
			if c.sendNumber == sendNumber {
				p.handleEnd(c, o, at)
			}
		},
	})
}

func modelStages(path []cataloger.Stage) []modeler.Stage {
	var out []modeler.Stage
	for _, s := range path {
		out = append(out, modeler.Stage{Target: s.Target, First: s.FirstLayer, End: s.EndLayer})
	}
	return out
}

func (p *simulation) recordEvent(c *client) {
	now := p.fleet.Now()
	if c.timeToFirst == 0 {
		c.timeToFirst = now - c.arrivedAt
		p.result.firsts = append(p.result.firsts, c.timeToFirst)
	} else {
		c.maxGap = max(c.maxGap, now-c.lastEvent)
	}
	c.lastProgress, c.lastEvent = now, now
	c.events++
}

// handleEnd handles the end of one send.
func (p *simulation) handleEnd(c *client, o modeler.Outcome, at string) {
	p.removeStream(c)
	switch o {
	case modeler.OutcomeDone:
		p.result.gaps = append(p.result.gaps, c.maxGap)
		if c.events > 1 {
			p.result.steps = append(p.result.steps, (c.lastEvent-c.arrivedAt-c.timeToFirst)/time.Duration(c.events-1))
		}
		outcome := OutcomeOnTime
		if c.timeToFirst > p.scenario.Load.Objective || c.maxGap > p.scenario.Load.MaxGap {
			outcome = OutcomeLate
		}
		p.recordOutcome(c, outcome)
	case modeler.OutcomeRefused:
		p.targets.RecordRefusal(at)
		p.handleRefusal(c)
	default:
		p.recordOutcome(c, OutcomeFailed)
	}
}

func (p *simulation) removeStream(c *client) {
	delete(p.streams, c.id)
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

func (p *simulation) recordOutcome(c *client, o Outcome) {
	if !c.closed {
		c.closed = true
		p.result.record(p.secondOf(c.arrivedAt), o)
	}
}

// handleRefusal schedules a client's retry after the delay it was given, or almost immediately if the client is abusive.
func (p *simulation) handleRefusal(c *client) {
	if c.closed {
		return
	}
	if c.timeToFirst > 0 {
		p.recordOutcome(c, OutcomeFailed)
		return
	}
	if c.attempts > p.scenario.Load.MaxRetries {
		p.recordOutcome(c, OutcomeRefused)
		return
	}
	wait := retryAfter + time.Duration(p.random.Float64()*float64(retryJitter))
	if c.abusive {
		wait = time.Millisecond
	}
	p.fleet.After(wait, func() {
		if !c.closed {
			c.attempts++
			p.send(c)
		}
	})
}

// disconnect ends a client's request if it has received no event yet.
func (p *simulation) disconnect(c *client) {
	if c.timeToFirst > 0 || c.closed {
		return
	}
	c.sendNumber++
	p.fleet.Cancel(c.id)
	p.removeStream(c)
	p.recordOutcome(c, OutcomeLeft)
}
