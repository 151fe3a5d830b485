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
	// megabyte is in bytes.
	megabyte = 1e6
	// warmUp is the time for the first loads, before any request.
	warmUp = 10 * time.Second
	// askAfter is the silence after which the first stage of a stream is asked, and look the time between two looks.
	askAfter = 300 * time.Millisecond
	look     = 50 * time.Millisecond
	// retryAfter is when refused clients are told to come back, and retrySpread how far they are spread.
	retryAfter  = time.Second
	retrySpread = 500 * time.Millisecond
)

// play is one seed under one policy.
type play struct {
	scenario *Scenario
	policy   policy
	fleet    *modeler.Fleet
	random   *rand.Rand
	engine   *matcher.Engine
	targets  *assessor.Assessor
	chooser  *chooser.Chooser
	result   *Result

	names     []string
	pipelines [][]cataloger.Stage
	turn      int
	streams   map[string]*client
	askedAt   map[string]time.Duration
	sent      int
	// awayUntil is when processes that restart take requests again.
	awayUntil time.Duration
}

// client is one request of a client over its tries.
type client struct {
	id     string
	prompt int
	answer int
	asked  time.Duration
	tries  int
	// sending numbers the sendings of all tries, moves counts those over another pipeline, and made the tokens of the present
	// one.
	sending int
	moves   int
	made    int
	abuses  bool
	path    []cataloger.Stage
	release func()
	// last is when the present sending last progressed, delivered when the client last got an event.
	last      time.Duration
	delivered time.Duration
	repairAt  time.Duration
	first     time.Duration
	gap       time.Duration
	events    int
	over      bool
}

var epoch = time.Unix(0, 0)

// newPlay lays the targets out and lets them load.
func newPlay(s *Scenario, name string, seed uint64) *play {
	p := &play{
		scenario: s, policy: policies[name], fleet: modeler.New(s.spec()), random: rand.New(rand.NewPCG(seed, 1)),
		engine: s.engine(), result: &Result{Policy: name, Seed: seed}, streams: map[string]*client{}, askedAt: map[string]time.Duration{},
	}
	p.startProcesses()
	for _, group := range s.Targets {
		for range group.Count {
			t := fmt.Sprintf("%s-%s-%d", group.DataCentre, group.Kind, len(p.names))
			p.names = append(p.names, t)
			p.fleet.Add(t, group.DataCentre, group.Kind)
			p.targets.Put(cataloger.Target{
				Name: t, Address: t, Service: service, DataCentre: cataloger.DataCentre(group.DataCentre), Kind: group.Kind,
				State: cataloger.StateLive, Incarnation: 1,
			})
		}
	}
	p.place(true)
	p.fleet.Run(warmUp)
	p.layPipelines()
	return p
}

// startProcesses begins with processes that know nothing.
func (p *play) startProcesses() {
	now := func() time.Time { return epoch.Add(p.fleet.Now()) }
	p.targets = assessor.New(now)
	p.chooser = chooser.New(p.targets, now)
	p.chooser.Draw = p.random.ExpFloat64
	clear(p.askedAt)
}

// spec returns the engines of the model.
func (s *Scenario) spec() modeler.Spec {
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

// engine returns the same as the product's decisions know it.
func (s *Scenario) engine() *matcher.Engine {
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

func (p *play) demand(read, written int) chooser.Demand {
	return chooser.Demand{Service: service, Engine: p.engine, Tokens: float64(read + written), PrefillTokens: float64(read)}
}

// place gives the orders that the product's placer wants; quick loads come before the first request.
func (p *play) place(quick bool) {
	e := p.engine
	problem := placer.Problem{Layers: e.Layers, KeepHeld: !quick}
	reserve := placer.Reserve(e)
	for _, v := range p.targets.Service(service) {
		t := placer.Target{Name: v.Name, DataCentre: v.DataCentre, Leaving: !v.Usable(), Capacity: placer.MemoryOf(e, v.Kind).Capacity(reserve)}
		t.First, t.End, _ = v.ReadyLayers()
		problem.Targets = append(problem.Targets, t)
	}
	for _, m := range problem.NextMoves(0) {
		p.load(m, quick)
	}
}

func (p *play) load(m placer.Move, quick bool) {
	v, _ := p.targets.Get(m.Target)
	p.targets.Put(v.WithHoldings(nil))
	p.fleet.LoadLayers(m.Target, m.First, m.End, quick, func() {
		held := []cataloger.Holding{{Version: "1", FirstLayer: m.First, EndLayer: m.End, Ready: true}}
		p.targets.Put(v.WithHoldings(held))
	})
}

// layPipelines fixes the pipelines that a static policy uses: each takes targets that no other one has.
func (p *play) layPipelines() {
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

// run plays the load and the troubles.
func (p *play) run() *Result {
	p.arrive()
	for _, t := range p.scenario.Disruptions {
		p.fleet.At(warmUp+t.At, func() { p.trouble(t) })
	}
	p.fleet.After(look, p.watch)
	p.fleet.Run(warmUp + p.scenario.Length)
	for _, c := range p.streams {
		p.result.note(p.second(c.asked), OutcomeOpen)
	}
	p.result.sum()
	return p.result
}

func (p *play) second(at time.Duration) int { return int((at - warmUp) / time.Second) }

// rate returns the requests a second now.
func (p *play) rate() float64 {
	rate := p.scenario.Load.Rate
	for _, b := range p.scenario.Load.Bursts {
		if at := p.fleet.Now() - warmUp; at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// arrive has the next client come after a time that fits the rate.
func (p *play) arrive() {
	wait := p.random.ExpFloat64() / p.rate()
	p.fleet.After(time.Duration(wait*float64(time.Second)), func() {
		load := p.scenario.Load
		p.sent++
		c := &client{
			id: fmt.Sprint("r", p.sent), prompt: p.draw(load.Prompt), answer: p.draw(load.Answer), asked: p.fleet.Now(),
			abuses: p.random.Float64() < load.AbusiveShare,
		}
		p.heat(c)
		leaves := p.random.Float64() < load.LeavingShare
		c.tries = 1
		p.send(c)
		if leaves {
			p.fleet.After(load.Objective/2, func() { p.leave(c) })
		}
		p.arrive()
	})
}

// heat gives a request the sizes of a hot key, by chance.
func (p *play) heat(c *client) {
	at := p.fleet.Now() - warmUp
	for _, k := range p.scenario.Load.HotKeys {
		if at >= k.At && at < k.At+k.Duration && p.random.Float64() < k.Share {
			c.prompt, c.answer = k.Prompt, k.Answer
		}
	}
}

func (p *play) draw(s Size) int {
	n := s.Mean * math.Exp(p.random.NormFloat64()*s.Spread-s.Spread*s.Spread/2)
	if s.Max > 0 {
		n = min(n, s.Max)
	}
	return max(int(n), 1)
}

// send makes one try of a client.
func (p *play) send(c *client) {
	c.sending++
	if p.fleet.Now() < p.awayUntil {
		p.refused(c)
		return
	}
	d := p.demand(c.prompt, c.answer)
	path, ok := p.policy.path(p, d)
	if !ok {
		p.refused(c)
		return
	}
	c.path, c.last = path, p.fleet.Now()
	c.release = p.targets.Reserve(path, d.Tokens)
	p.chooser.RecordCrossings(d, nil, path)
	p.streams[c.id] = c
	sending := c.sending
	p.fleet.Send(modeler.Request{ID: c.id, PromptTokens: c.prompt, AnswerTokens: c.answer}, stages(path), modeler.Observer{
		Event: func(tokens int) {
			c.made = tokens
			p.event(c)
		},
		End: func(o modeler.Outcome, at string) {
			if c.sending == sending {
				p.end(c, o, at)
			}
		},
	})
}

func stages(path []cataloger.Stage) []modeler.Stage {
	var out []modeler.Stage
	for _, s := range path {
		out = append(out, modeler.Stage{Target: s.Target, First: s.FirstLayer, End: s.EndLayer})
	}
	return out
}

func (p *play) event(c *client) {
	now := p.fleet.Now()
	if c.first == 0 {
		c.first = now - c.asked
		p.result.firsts = append(p.result.firsts, c.first)
	} else {
		c.gap = max(c.gap, now-c.delivered)
	}
	c.last, c.delivered = now, now
	c.events++
}

// end takes the end of one try.
func (p *play) end(c *client, o modeler.Outcome, at string) {
	p.finish(c)
	switch o {
	case modeler.OutcomeDone:
		p.result.gaps = append(p.result.gaps, c.gap)
		if c.events > 1 {
			p.result.steps = append(p.result.steps, (c.delivered-c.asked-c.first)/time.Duration(c.events-1))
		}
		outcome := OutcomeOnTime
		if c.first > p.scenario.Load.Objective || c.gap > p.scenario.Load.MaxGap {
			outcome = OutcomeLate
		}
		p.close(c, outcome)
	case modeler.OutcomeRefused:
		p.targets.RecordRefusal(at)
		p.refused(c)
	default:
		p.close(c, OutcomeFailed)
	}
}

func (p *play) finish(c *client) {
	delete(p.streams, c.id)
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

func (p *play) close(c *client, o Outcome) {
	if !c.over {
		c.over = true
		p.result.note(p.second(c.asked), o)
	}
}

// refused has a client come back as it was told, or at once where it does not listen.
func (p *play) refused(c *client) {
	if c.over {
		return
	}
	if c.first > 0 {
		p.close(c, OutcomeFailed)
		return
	}
	if c.tries > p.scenario.Load.MaxRetries {
		p.close(c, OutcomeRefused)
		return
	}
	wait := retryAfter + time.Duration(p.random.Float64()*float64(retrySpread))
	if c.abuses {
		wait = time.Millisecond
	}
	p.fleet.After(wait, func() {
		if !c.over {
			c.tries++
			p.send(c)
		}
	})
}

// leave has a client go before its first event.
func (p *play) leave(c *client) {
	if c.first > 0 || c.over {
		return
	}
	c.sending++
	p.fleet.Cancel(c.id)
	p.finish(c)
	p.close(c, OutcomeLeft)
}
