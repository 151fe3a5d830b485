package router

import (
	"math"
	"time"
)

const demandWindow = 10 * time.Second

// demand is the rate of tokens that this daemon delivers for one model, as a moving mean.
type demand struct {
	rate float64
	last time.Time
}

func (d *demand) add(now time.Time, tokens float64) {
	d.rate = d.at(now) + tokens/demandWindow.Seconds()
	d.last = now
}

// at returns the rate in tokens a second.
func (d *demand) at(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.last).Seconds()/demandWindow.Seconds())
}

// delivered counts the tokens of a model.
func (p *placement) delivered(model string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.demand[model]
	if d == nil {
		d = &demand{}
		p.demand[model] = d
	}
	d.add(p.router.Clock.Now(), float64(tokens))
}

// offered estimates the load of the whole fleet: callers are spread evenly over the entries.
func (p *placement) offered(model string) float64 {
	p.mu.Lock()
	rate := 0.0
	if d := p.demand[model]; d != nil {
		rate = d.at(p.router.Clock.Now())
	}
	p.mu.Unlock()
	return rate * float64(max(1, len(p.router.LiveMembers()))) * offeredMargin
}
