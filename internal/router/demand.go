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
	// demandIdleTime is the time without tokens after which a rate is measured anew, and minDemandAge the shortest time over
	// which one is measured.
	demandIdleTime = 3 * demandWindow
	minDemandAge   = time.Second
	// minDemandInterval is the time between reports of a daemon in a small fleet.
	minDemandInterval = 2 * time.Second
	// minDemandSpacing is the mean time between reports that reach the planner of a model in a large fleet.
	minDemandSpacing = 25 * time.Millisecond
	// demandLifetimeIntervals is the number of intervals after which a report expires.
	demandLifetimeIntervals = 5
	// loadKnownIntervals is the number of intervals in which a new planner hears from every daemon, though a report is lost.
	loadKnownIntervals = 2
	// minReportedDemand is the rate, in tokens a second, below which a daemon does not report.
	minReportedDemand = 0.01
)

// demandInterval returns the time between reports of a daemon. It grows with the number of daemons, as the planner of a
// model receives reports from all of them.
func demandInterval(members int) time.Duration {
	return max(minDemandInterval, time.Duration(members)*minDemandSpacing)
}

// demandTracker tracks the tokens that this daemon delivers of each model, and the rates that other daemons reported.
type demandTracker struct {
	clock timer.Clock

	mu        sync.Mutex
	delivered map[string]*decayingRate
	reported  map[string]map[string]demandReport
}

type demandReport struct {
	rate float64
	at   time.Time
}

func newDemandTracker(clock timer.Clock) *demandTracker {
	return &demandTracker{clock: clock, delivered: map[string]*decayingRate{}, reported: map[string]map[string]demandReport{}}
}

// recordDelivered counts delivered tokens of a model.
func (d *demandTracker) recordDelivered(model string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.delivered[model]
	if r == nil {
		r = &decayingRate{}
		d.delivered[model] = r
	}
	r.add(d.clock.Now(), float64(tokens))
}

// deliveredRates returns the tokens a second that this daemon delivers, by model.
func (d *demandTracker) deliveredRates() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[string]float64, len(d.delivered))
	for model, r := range d.delivered {
		rates[model] = r.valueAt(d.clock.Now())
	}
	return rates
}

// recordReport stores the reported rate of a daemon, in tokens a second.
func (d *demandTracker) recordReport(member, model string, rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported[model] == nil {
		d.reported[model] = map[string]demandReport{}
	}
	d.reported[model][member] = demandReport{rate: rate, at: d.clock.Now()}
}

// total returns the tokens a second that the fleet delivers of a model, from the reports no older than lifetime.
func (d *demandTracker) total(model string, lifetime time.Duration) float64 {
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

// decayingRate is a rate, in units a second, that is averaged over demandWindow with exponential decay, or over the time since it
// began if that is shorter.
type decayingRate struct {
	rate      float64
	startedAt time.Time
	updatedAt time.Time
}

func (r *decayingRate) add(now time.Time, count float64) {
	if now.Sub(r.updatedAt) > demandIdleTime {
		*r = decayingRate{startedAt: now}
	}
	r.rate = r.decayed(now) + count/demandWindow.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) valueAt(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(r.startedAt), minDemandAge)
	return r.decayed(now) / (1 - math.Exp(-age.Seconds()/demandWindow.Seconds()))
}

func (r *decayingRate) decayed(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.updatedAt).Seconds()/demandWindow.Seconds())
}

// handleDemand records the report of a daemon; it is a linker.Handler.
func (p *placement) handleDemand(_ context.Context, peer string, body []byte) (proto.Message, error) {
	var msg peerv1.Demand
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if msg.Rate >= 0 && !math.IsInf(msg.Rate, 0) {
		p.demands.recordReport(peer, msg.Model, msg.Rate)
	}
	return &peerv1.Demand{}, nil
}

// reportDemand periodically sends the rate that this daemon delivers to the planner of each model.
func (p *placement) reportDemand(ctx context.Context) {
	for p.router.Clock.Sleep(ctx, p.demandInterval()) == nil {
		for model, rate := range p.demands.deliveredRates() {
			if rate < minReportedDemand {
				continue
			}
			owner := p.router.tracker.Owner(dutyPlacement, model)
			if owner.Name == p.router.local.Name {
				p.demands.recordReport(owner.Name, model, rate)
				continue
			}
			// The next report makes up for a lost one.
			_ = p.router.peer.Link().Notify(owner.PeerAddress, methodDemand, &peerv1.Demand{Model: model, Rate: rate})
		}
	}
}

func (p *placement) demandInterval() time.Duration {
	return demandInterval(len(tracker.Live(p.router.tracker.Fleet().Members)))
}

// offeredLoad returns the tokens a second that the fleet delivers of a model that this daemon plans.
func (p *placement) offeredLoad(model string) float64 {
	return p.demands.total(model, demandLifetimeIntervals*p.demandInterval())
}

// loadKnownAfter returns the time after which the planner of a model knows its load: the daemons have reported to it, and their
// rates include the requests that an entry which has just left served before.
func (p *placement) loadKnownAfter() time.Duration {
	return demandWindow + loadKnownIntervals*p.demandInterval()
}
