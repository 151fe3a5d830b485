package router

import (
	"context"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	methodDemand = "placement-demand"
	demandWindow = 5 * time.Second
	// leastDemandInterval is the time between reports of a daemon in a small fleet.
	leastDemandInterval = 2 * time.Second
	// demandSpacing is the mean time between reports that reach the planner of a model in a large fleet.
	demandSpacing = 25 * time.Millisecond
	// demandLife is the number of intervals for which a report counts.
	demandLife = 5
	// leastDemand is the rate, in tokens a second, below which a daemon has nothing to report.
	leastDemand = 0.01
)

// demandInterval is the time between reports of a daemon. The planner of a model hears every daemon, so that it grows
// with their number.
func demandInterval(members int) time.Duration {
	return max(leastDemandInterval, time.Duration(members)*demandSpacing)
}

// demands holds what this daemon delivers of each model, and what other daemons reported.
type demands struct {
	clock timer.Clock

	mu       sync.Mutex
	own      map[string]*movingRate
	reported map[string]map[string]report
}

type report struct {
	rate float64
	at   time.Time
}

func newDemands(clock timer.Clock) *demands {
	return &demands{clock: clock, own: map[string]*movingRate{}, reported: map[string]map[string]report{}}
}

// delivered counts tokens of a model.
func (d *demands) delivered(model string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.own[model]
	if r == nil {
		r = &movingRate{}
		d.own[model] = r
	}
	r.add(d.clock.Now(), float64(tokens))
}

// rates returns what this daemon delivers, in tokens a second by model.
func (d *demands) rates() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[string]float64, len(d.own))
	for model, r := range d.own {
		rates[model] = r.at(d.clock.Now())
	}
	return rates
}

// take keeps the report of a daemon.
func (d *demands) take(member, model string, rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported[model] == nil {
		d.reported[model] = map[string]report{}
	}
	d.reported[model][member] = report{rate: rate, at: d.clock.Now()}
}

// total returns what the whole fleet delivers of a model, by the reports that are no older than a lifetime.
func (d *demands) total(model string, lifetime time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0.0
	for member, r := range d.reported[model] {
		if d.clock.Now().Sub(r.at) > lifetime {
			delete(d.reported[model], member)
			continue
		}
		sum += r.rate
	}
	return sum
}

// movingRate is a rate whose past fades over demandWindow.
type movingRate struct {
	rate float64
	last time.Time
}

func (r *movingRate) add(now time.Time, count float64) {
	r.rate = r.at(now) + count/demandWindow.Seconds()
	r.last = now
}

func (r *movingRate) at(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.last).Seconds()/demandWindow.Seconds())
}

// handleDemand takes the report of a daemon; it is a linker.Handler.
func (p *placement) handleDemand(_ context.Context, peer string, body []byte) (proto.Message, error) {
	var msg peerv1.Demand
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if msg.Rate >= 0 && !math.IsInf(msg.Rate, 0) {
		p.demands.take(peer, msg.Model, msg.Rate)
	}
	return &peerv1.Demand{}, nil
}

// reportDemand tells the planner of each model what this daemon delivers.
func (p *placement) reportDemand(ctx context.Context) {
	for p.router.Clock.Sleep(ctx, p.demandInterval()) == nil {
		for model, rate := range p.demands.rates() {
			if rate < leastDemand {
				continue
			}
			owner := p.router.tracker.Owner(dutyPlacement, model)
			if owner.Name == p.router.local.Name {
				p.demands.take(owner.Name, model, rate)
				continue
			}
			// A report that is lost is made up for by the next one.
			_ = p.router.peer.Link().Notify(owner.PeerAddress, methodDemand, &peerv1.Demand{Model: model, Rate: rate})
		}
	}
}

func (p *placement) demandInterval() time.Duration {
	return demandInterval(len(tracker.Live(p.router.tracker.Fleet().Members)))
}

// offered returns the tokens a second that the fleet delivers of a model that this daemon plans.
func (p *placement) offered(model string) float64 {
	return p.demands.total(model, demandLife*p.demandInterval())
}
