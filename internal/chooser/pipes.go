package chooser

import (
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// promptWeight is of how many daemons' prompts one of this daemon's own is a sign, in a large fleet.
const promptWeight = 8

// hop is the way from one data centre to another; each has a pipe of its own.
type hop struct{ from, to cataloger.DataCentre }

// pipe is what passes over one hop.
type pipe struct {
	// sent is what the generations of this daemon send, in bytes.
	sent rateMeter
	// waiting is what those of all daemons leave to be sent, taken that they send as much.
	waiting backlog
}

// pipes are those between all data centres; the zero value is ready to use.
type pipes struct {
	mu  sync.Mutex
	all map[hop]*pipe
}

// of returns the pipe of a hop.
func (p *pipes) of(h hop) *pipe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = map[hop]*pipe{}
	}
	if p.all[h] == nil {
		p.all[h] = &pipe{}
	}
	return p.all[h]
}

// crossing returns what hops between data centres cost now, in seconds a token.
func (c *Chooser) crossing(e *matcher.Engine) func(from, to cataloger.DataCentre) float64 {
	sent := c.sent(e)
	idle := crossingCost.Seconds()
	if e.PipeBytesPerSecond > 0 {
		idle += firstWeight * e.UsualPrompt * e.ActivationBytes / e.PipeBytesPerSecond / max(e.UsualAnswer, 1)
	}
	return func(from, to cataloger.DataCentre) float64 {
		if e.PipeBytesPerSecond <= 0 {
			return crossingCost.Seconds()
		}
		used := sent(hop{from, to}) / e.PipeBytesPerSecond
		free := max(1-used, leastPipe)
		return idle / (free * free)
	}
}

// sent returns what the generations of all daemons send over a hop, in bytes a second: this daemon's own rate times the fleet, in
// a fleet that does not know the others' loads drawn towards the mean over all hops.
func (c *Chooser) sent(e *matcher.Engine) func(h hop) float64 {
	now, daemons := c.Now(), float64(c.Daemons())
	if c.HasFleetLoads() {
		return func(h hop) float64 { return daemons * c.pipes.of(h).sent.Rate(now) }
	}
	mean := c.pipes.meanRate(now)
	weight := meanRequests * (e.UsualPrompt + e.UsualAnswer) * e.ActivationBytes / rateTime.Seconds()
	return func(h hop) float64 {
		if mean == 0 {
			return 0
		}
		return daemons * mean * (weight + c.pipes.of(h).sent.Rate(now)) / (weight + mean)
	}
}

// meanRate returns the mean rate over all hops, in bytes a second.
func (p *pipes) meanRate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, one := range p.all {
		sum += one.sent.Rate(now)
	}
	return sum / float64(max(len(p.all), 1))
}

// likely returns how many daemons send a prompt over a hop at about the time when this one does: all where many streams lose a
// stage together; for a new generation as many as send as much over the hop, as far as this daemon's own count tells.
func (c *Chooser) likely(h hop, e *matcher.Engine, repair bool) float64 {
	daemons := float64(max(c.Daemons(), 1))
	if repair || c.HasFleetLoads() {
		return daemons
	}
	prompt := max(e.UsualPrompt*e.ActivationBytes, 1)
	own := c.pipes.of(h).sent.Rate(c.Now()) * rateTime.Seconds() / prompt
	return 1 + (daemons-1)*own/(own+daemons/promptWeight)
}

// crossings returns the hops over which stages of a path read a whole generation: those to stages that were not in the path
// before.
func (c *Chooser) crossings(before, path []cataloger.Stage) []hop {
	var out []hop
	for i := 1; i < len(path); i++ {
		fresh := !slices.ContainsFunc(before, func(s cataloger.Stage) bool { return s.Target == path[i].Target })
		if h := (hop{c.place(path[i-1]), c.place(path[i])}); fresh && h.from != h.to {
			out = append(out, h)
		}
	}
	return out
}

// Cross counts the bytes that a generation sends between data centres as it takes a path in place of one before, which is nil
// at its start.
func (c *Chooser) RecordCrossings(d Demand, before, path []cataloger.Stage) {
	now, rate := c.Now(), d.Engine.PipeBytesPerSecond
	for _, h := range c.crossings(before, path) {
		p := c.pipes.of(h)
		if rate > 0 {
			p.waiting.Add(now, d.PrefillTokens*d.Engine.ActivationBytes*c.likely(h, d.Engine, before != nil), rate)
		}
		p.sent.Add(now, d.Tokens*d.Engine.ActivationBytes)
	}
}

// transfer returns how long new stages of a path would wait for the pipes between data centres before they have read what a
// generation has so far. Many streams that lose a stage together fill a pipe for seconds.
func (c *Chooser) transfer(d Demand, before, path []cataloger.Stage) time.Duration {
	now, rate := c.Now(), d.Engine.PipeBytesPerSecond
	if rate <= 0 {
		return 0
	}
	var wait time.Duration
	for _, h := range c.crossings(before, path) {
		own := d.PrefillTokens * d.Engine.ActivationBytes / rate
		wait += c.pipes.of(h).waiting.Wait(now, rate) + time.Duration(own*float64(time.Second))
	}
	return wait
}
