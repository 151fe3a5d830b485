package chooser

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

const (
	// maxPipeUse is the share of a pipe that new generations may fill where the daemons share their loads: each event of a stream waits
	// there behind whole prompts.
	maxPipeUse = 0.5
	// maxPipePrompts is the number of usual prompts that one daemon may send over a pipe at once.
	maxPipePrompts = 2
)

// daemonsPerPrompt is the number of daemons of a large fleet that are assumed to send a prompt when this one does.
const daemonsPerPrompt = 8

// crossing is the direction from one data centre to another; each crossing has its own pipe.
type crossing struct{ from, to cataloger.DataCentre }

// pipe tracks the traffic over one crossing.
type pipe struct {
	// sendRate is the traffic of this daemon's generations, in bytes a second.
	sendRate rateMeter
	// backlog is the estimated traffic of all daemons that the pipe has still to carry.
	backlog backlog
	// ownBacklog is the same of this daemon alone, over its part of the pipe.
	ownBacklog backlog
}

// pipes holds the pipes between all data centres; its zero value is ready to use.
type pipes struct {
	mu  sync.Mutex
	all map[crossing]*pipe
	// others is the traffic of all other daemons by CrossingKey, in bytes a second, where they report it.
	others map[uint32]float64
}

// get returns the pipe of a crossing, which it creates if needed.
func (p *pipes) get(cr crossing) *pipe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = map[crossing]*pipe{}
	}
	if p.all[cr] == nil {
		p.all[cr] = &pipe{}
	}
	return p.all[cr]
}

// crossingCosts returns the current cost of crossings between data centres, in seconds a token.
func (c *Chooser) crossingCosts(d Demand) func(from, to cataloger.DataCentre) float64 {
	e := d.Engine
	sendRate := c.fleetSendRates(d)
	idle := idleCrossingCost.Seconds()
	if e.PipeBytesPerSecond > 0 {
		idle += firstEventWeight * e.UsualPrompt * e.ActivationBytes / e.PipeBytesPerSecond / max(e.UsualAnswer, 1)
	}
	return func(from, to cataloger.DataCentre) float64 {
		if e.PipeBytesPerSecond <= 0 {
			return idleCrossingCost.Seconds()
		}
		used := sendRate(crossing{from, to}) / e.PipeBytesPerSecond
		if d.SharesLoads && !d.Precedence.Begun && !c.mayCross(crossing{from, to}, d) {
			return math.Inf(1)
		}
		free := max(1-used, minFreePipe)
		return idle / (free * free)
	}
}

// mayCross reports whether a new generation may cross between data centres: each daemon sends no more prompts than its part of the
// pipe carries, as what others report of their traffic comes too late to keep a pipe from filling.
func (c *Chooser) mayCross(cr crossing, d Demand) bool {
	part := c.ownPart(d.Engine)
	wait := c.pipes.get(cr).ownBacklog.Wait(c.Now(), part)
	return wait.Seconds()*part <= maxPipePrompts*max(d.Engine.UsualPrompt*d.Engine.ActivationBytes, 1)
}

// ownPart returns the part of a pipe that this daemon may fill with new generations, in bytes a second.
func (c *Chooser) ownPart(e *matcher.Engine) float64 {
	return maxPipeUse * e.PipeBytesPerSecond / float64(max(c.Daemons(), 1))
}

// fleetSendRates returns the estimated traffic of all daemons over a crossing, in bytes a second: this daemon's rate times the
// number of daemons. Without the loads of the other daemons, its rate is shrunk towards the mean over all crossings.
func (c *Chooser) fleetSendRates(d Demand) func(cr crossing) float64 {
	e, now, daemons := d.Engine, c.Now(), float64(c.Daemons())
	if d.SharesLoads && c.HasTally() {
		return func(cr crossing) float64 { return c.pipes.get(cr).sendRate.Rate(now) + c.pipes.otherRate(cr) }
	}
	if c.HasFleetLoads() {
		return func(cr crossing) float64 { return daemons * c.pipes.get(cr).sendRate.Rate(now) }
	}
	mean := c.pipes.meanRate(now)
	weight := meanWeightRequests * (e.UsualPrompt + e.UsualAnswer) * e.ActivationBytes / rateWindow.Seconds()
	return func(cr crossing) float64 {
		if mean == 0 {
			return 0
		}
		return daemons * mean * (weight + c.pipes.get(cr).sendRate.Rate(now)) / (weight + mean)
	}
}

// meanRate returns the mean traffic of this daemon over all crossings, in bytes a second.
func (p *pipes) meanRate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, one := range p.all {
		sum += one.sendRate.Rate(now)
	}
	return sum / float64(max(len(p.all), 1))
}

// concurrentSenders returns the estimated number of daemons that send a prompt over a crossing at about the same time as this one.
// For a repair it is all of them, as many streams lose a stage together. For a new generation of a fleet without shared loads it
// grows with this daemon's own recent traffic over the crossing.
func (c *Chooser) concurrentSenders(cr crossing, d Demand, repair bool) float64 {
	e, daemons := d.Engine, float64(max(c.Daemons(), 1))
	if repair || c.HasFleetLoads() {
		return daemons
	}
	promptBytes := max(e.UsualPrompt*e.ActivationBytes, 1)
	ownPrompts := c.pipes.get(cr).sendRate.Rate(c.Now()) * rateWindow.Seconds() / promptBytes
	return 1 + (daemons-1)*ownPrompts/(ownPrompts+daemons/daemonsPerPrompt)
}

// crossings returns the crossings that the full generation passes over: those that lead to stages whose targets were not in the
// path before.
func (c *Chooser) crossings(before, path []cataloger.Stage) []crossing {
	var out []crossing
	for i := 1; i < len(path); i++ {
		isNew := !slices.ContainsFunc(before, func(s cataloger.Stage) bool { return s.Target == path[i].Target })
		if cr := (crossing{c.dataCentreOf(path[i-1]), c.dataCentreOf(path[i])}); isNew && cr.from != cr.to {
			out = append(out, cr)
		}
	}
	return out
}

// RecordCrossings records the bytes that a generation sends between data centres when it changes from the path before to another;
// before is nil at its start.
func (c *Chooser) RecordCrossings(d Demand, before, path []cataloger.Stage) {
	now, rate := c.Now(), d.Engine.PipeBytesPerSecond
	for _, cr := range c.crossings(before, path) {
		p := c.pipes.get(cr)
		if rate > 0 {
			p.backlog.Add(now, d.PrefillTokens*d.Engine.ActivationBytes*c.concurrentSenders(cr, d, before != nil), rate)
		}
		p.sendRate.Add(now, d.Tokens*d.Engine.ActivationBytes)
		if rate > 0 && d.SharesLoads {
			p.ownBacklog.Add(now, d.PrefillTokens*d.Engine.ActivationBytes, c.ownPart(d.Engine))
		}
	}
}

// transferWait returns how long new stages of a path would wait for the pipes between data centres until they have received the
// generation so far. Many streams that lose a stage together fill a pipe for seconds.
func (c *Chooser) transferWait(d Demand, before, path []cataloger.Stage) time.Duration {
	now, rate := c.Now(), d.Engine.PipeBytesPerSecond
	if rate <= 0 {
		return 0
	}
	var wait time.Duration
	for _, cr := range c.crossings(before, path) {
		transferSeconds := d.PrefillTokens * d.Engine.ActivationBytes / rate
		wait += c.pipes.get(cr).backlog.Wait(now, rate) + time.Duration(transferSeconds*float64(time.Second))
	}
	return wait
}

// CrossingKey returns the key under which daemons report their traffic over a crossing to each other.
func CrossingKey(from, to cataloger.DataCentre) uint32 {
	return uint32(xxhash.Sum64String("crossing/" + string(from) + "/" + string(to)))
}

// CrossingRates returns the traffic of this daemon's generations over each crossing, in bytes a second, by CrossingKey.
func (c *Chooser) CrossingRates() map[uint32]float64 {
	now := c.Now()
	c.pipes.mu.Lock()
	defer c.pipes.mu.Unlock()
	out := make(map[uint32]float64, len(c.pipes.all))
	for cr, p := range c.pipes.all {
		out[CrossingKey(cr.from, cr.to)] = p.sendRate.Rate(now)
	}
	return out
}

// SetOtherCrossingRates stores the traffic of all other daemons over crossings, in bytes a second, by CrossingKey.
func (c *Chooser) SetOtherCrossingRates(rates map[uint32]float64) {
	c.pipes.mu.Lock()
	defer c.pipes.mu.Unlock()
	c.pipes.others = rates
}

// otherRate returns the traffic of all other daemons over a crossing, in bytes a second.
func (p *pipes) otherRate(cr crossing) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.others[CrossingKey(cr.from, cr.to)]
}
