package pacer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// minRate is the number of requests a second for a service over the fleet from which its targets are paced.
const minRate = 1

// maxPacedShare is the share of the targets of a service up to which they are paced: it takes peers to compare with and to use instead.
const maxPacedShare = 0.5

// Reason says why a target is paced.
type Reason string

// Reasons.
const (
	ReasonStarted   Reason = "started"
	ReasonNewLayers Reason = "new-layers"
	ReasonSuspected Reason = "suspected"
)

// pacedTarget is a target with its ramp.
type pacedTarget struct {
	*ramp
	target cataloger.Target
	keys   rampKeys
	// hasSettled is true once the end of the ramp was logged.
	hasSettled bool
}

// Pacer paces targets. It is safe for concurrent use; set its exported fields before use.
type Pacer struct {
	// Now returns the current time.
	Now func() time.Time
	// Enabled reports whether the targets of a service are paced.
	Enabled func(service string) bool
	// Daemons returns the number of daemons, this one included.
	Daemons func() int
	// HasSums reports whether the sums that Apply gets are recent.
	HasSums func() bool
	// Lag returns how old these sums may be.
	Lag func() time.Duration
	// Listed returns the number of listed targets of a service.
	Listed func(service string) int
	// InitialWindow returns how many requests a target that works as its engine is described may have waiting for a first event.
	InitialWindow func(target cataloger.Target) float64
	// Usable reports whether a target may get requests, apart from its pace.
	Usable func(target string) bool
	// Draw returns a sample that is uniform in [0,1).
	Draw func() float64
	Log  zerolog.Logger

	mu      sync.Mutex
	targets map[string]*pacedTarget
	// count is the size of targets, which is mostly 0.
	count atomic.Int64
	// demands are the recent requests by service.
	demands map[string]*demand
	// others are the last counts of all other daemons.
	others Counts
	// lag is how old the sums may be, as of the last report.
	lag time.Duration
}

// New returns a pacer for a single daemon that paces nothing.
func New(now func() time.Time) *Pacer {
	return &Pacer{
		Now: now, Enabled: func(string) bool { return false }, Daemons: func() int { return 1 }, HasSums: func() bool { return false },
		Lag:    func() time.Duration { return minSumLag },
		Listed: func(string) int { return 0 }, Usable: func(string) bool { return true },
		InitialWindow: func(cataloger.Target) float64 { return minInitialWindow }, Draw: rand.Float64, Log: zerolog.Nop(),
		targets: map[string]*pacedTarget{}, demands: map[string]*demand{}, lag: minSumLag,
	}
}

// Update paces a target that has started or has got layers since it was last listed; known is false if it was not.
func (p *Pacer) Update(before cataloger.Target, known bool, after cataloger.Target) {
	switch {
	case after.State != cataloger.StateLive:
	case !known || before.Incarnation != after.Incarnation:
		p.Begin(after, ReasonStarted)
	case gainsLayers(before, after):
		p.Begin(after, ReasonNewLayers)
	}
}

// gainsLayers reports whether a target holds ready layers that it did not hold before.
func gainsLayers(before, after cataloger.Target) bool {
	first, end, version := before.ReadyLayers()
	newFirst, newEnd, newVersion := after.ReadyLayers()
	return newEnd > newFirst && (end == first || version != newVersion || newFirst < first || newEnd > end)
}

// Begin starts to pace a target, unless its service gets hardly any requests, as where the whole fleet starts.
func (p *Pacer) Begin(target cataloger.Target, why Reason) {
	if !p.Enabled(target.Service) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	p.removeObsolete(now)
	t, ok := p.targets[target.Name]
	if ok && t.target.Incarnation != target.Incarnation {
		p.remove(target.Name)
		ok = false
	}
	switch {
	case p.HasSums() && p.fleetRate(target.Service, now) < minRate:
		return
	case ok:
		t.restart(now, p.InitialWindow(target))
		t.hasSettled = false
	default:
		p.targets[target.Name] = &pacedTarget{ramp: newRamp(now, p.InitialWindow(target)), target: target, keys: keysOf(target)}
		p.count.Store(int64(len(p.targets)))
	}
	p.Log.Info().Str("target", target.Name).Uint64("incarnation", target.Incarnation).Str("reason", string(why)).Msg("target is paced")
}

// Forget stops to pace a target that is gone.
func (p *Pacer) Forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(name)
}

// remove removes a target; the caller holds mu.
func (p *Pacer) remove(name string) {
	delete(p.targets, name)
	p.count.Store(int64(len(p.targets)))
}

// Paced returns the number of targets that are paced now.
func (p *Pacer) Paced() int {
	if p.count.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, n := p.Now(), 0
	for _, t := range p.targets {
		if !t.hasEnded(now) {
			n++
		}
	}
	return n
}

// RecordRequest counts a new request for a service.
func (p *Pacer) RecordRequest(service string) {
	if !p.Enabled(service) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.demands[service]
	if !ok {
		d = &demand{}
		p.demands[service] = d
	}
	d.record(p.Now())
}

// Verdicts decides which targets of a service may get a new request; those that it does not name are Open.
func (p *Pacer) Verdicts(service string) map[string]Verdict {
	if p.count.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	var paced []*pacedTarget
	for _, t := range p.targets {
		if t.target.Service == service && !t.hasEnded(now) {
			paced = append(paced, t)
		}
	}
	if float64(len(paced)) > maxPacedShare*float64(p.Listed(service)) {
		return nil
	}
	out := make(map[string]Verdict, len(paced))
	for _, t := range paced {
		if v := t.verdict(p.loadOf(t, now), p.Draw()); v != Open {
			out[t.target.Name] = v
		}
	}
	return out
}

// loadOf returns the load of a target over the fleet. Without sums, the other daemons are taken to do what this one does. The caller
// holds mu.
func (p *Pacer) loadOf(t *pacedTarget, now time.Time) load {
	l := load{waiting: float64(t.own.waiting), rate: p.fleetRate(t.target.Service, now), lag: p.lag}
	if p.HasSums() {
		l.waiting += float64(t.others.waiting)
	} else {
		l.waiting *= float64(max(p.Daemons(), 1))
	}
	return l
}

// fleetRate returns the requests a second for a service over the fleet. Without sums, the other daemons are taken to get as many as this
// one. The caller holds mu.
func (p *Pacer) fleetRate(service string, now time.Time) float64 {
	own := 0.0
	if d, ok := p.demands[service]; ok {
		own = d.rate(now)
	}
	if p.HasSums() {
		return own + float64(p.others[demandKey(service)])*rateUnit
	}
	return own * float64(max(p.Daemons(), 1))
}

// Send records that a request is sent to targets, given the typical wait for a first event; it returns nil if none of them is paced.
func (p *Pacer) Send(names []string, typical time.Duration) *Sending {
	if p.count.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out *Sending
	for _, name := range names {
		if t, ok := p.targets[name]; ok {
			if out == nil {
				out = &Sending{pacer: p, sentAt: p.Now(), typical: typical, waiting: map[string]*pacedTarget{}}
			}
			t.own.waiting++
			out.waiting[name] = t
		}
	}
	return out
}

// removeObsolete removes the ramps that no daemon needs any more; the caller holds mu.
func (p *Pacer) removeObsolete(now time.Time) {
	for name, t := range p.targets {
		if t.hasEnded(now) && !t.hasSettled {
			t.hasSettled = true
			p.Log.Info().Str("target", name).Dur("after", now.Sub(t.beganAt)).Int("answered", t.own.inTime+t.others.inTime).
				Int("troubled", t.own.troubled+t.others.troubled).Msg("target is no longer paced")
		}
		if t.isObsolete(now) {
			p.remove(name)
		}
	}
}

// Sending is a request that waits for its first event at paced targets; a nil Sending is one that does not.
type Sending struct {
	pacer   *Pacer
	sentAt  time.Time
	typical time.Duration
	waiting map[string]*pacedTarget
}

// RecordAnswer records that the first event has arrived.
func (s *Sending) RecordAnswer() {
	s.end(func(_ string, t *pacedTarget, now time.Time) {
		t.recordAnswer(now, now.Sub(s.sentAt), s.typical)
	})
}

// RecordTrouble records that a target rejected the request, or could not be reached.
func (s *Sending) RecordTrouble(at string) {
	s.end(func(name string, t *pacedTarget, now time.Time) {
		if name == at {
			t.recordTrouble(now)
		} else {
			t.own.neutral++
		}
	})
}

// Close ends the wait for a first event that did not come; it does nothing if the request has been answered or rejected.
func (s *Sending) Close() {
	s.end(func(_ string, t *pacedTarget, now time.Time) {
		if isLate(now.Sub(s.sentAt), s.typical) {
			t.recordTrouble(now)
		} else {
			t.own.neutral++
		}
	})
}

// end ends the wait of the request, once, and passes each of its paced targets to record.
func (s *Sending) end(record func(name string, t *pacedTarget, now time.Time)) {
	if s == nil {
		return
	}
	s.pacer.mu.Lock()
	defer s.pacer.mu.Unlock()
	now := s.pacer.Now()
	for name, t := range s.waiting {
		t.own.waiting--
		record(name, t, now)
	}
	clear(s.waiting)
}
