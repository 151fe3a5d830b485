package selector

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const (
	// fullyObservedTokens is the number of first tokens of a stream that are all observed; of the later ones, only every
	// observeEvery-th is.
	fullyObservedTokens = 4
	observeEvery        = 8
)

// Permit accounts for one attempt on a route; a nil Permit does nothing.
type Permit struct {
	s          *Selector
	legs       [maxStages]leg
	n          int
	tokens     int
	prefill    bool
	done       bool
	firstToken time.Duration
	// prefixes are those that the targets will have cached after the prefill.
	prefixes []uint64
}

// leg is the work of the attempt on one target.
type leg struct {
	t       *target
	layers  float64
	prefill float64
	link    *link
	nominal float64
}

// grant requires s.mu and counts the route that a walker found as outstanding work.
func (s *Selector) grant(w *walker) *Permit {
	p := &Permit{s: s, n: w.n, prefill: true, prefixes: w.req.Prefixes}
	for i := range w.n {
		st := w.steps[i]
		h := &w.g.holders[st.holder]
		layers := float64(st.end - st.first)
		l := leg{t: h.t, layers: layers, prefill: layers * w.prefillTokens(h.t), link: st.link}
		if st.edge != nil {
			l.nominal = st.edge.nominal + st.edge.latency
		}
		p.firstToken += time.Duration((l.t.load(w.now)/h.decode + (l.t.prefillWork+l.prefill)/h.prefill) * float64(time.Second))
		l.t.streams++
		l.t.decodeLayers += layers
		l.t.prefillWork += l.prefill
		p.legs[i] = l
	}
	return p
}

// Adopt counts a stream that is already running as outstanding work, such as one that another router started.
func (s *Selector) Adopt(req Request, route cataloger.Route) *Permit {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Permit{s: s, prefill: true, prefixes: req.Prefixes}
	var model Model
	if g := s.graphs[req.key()]; g != nil {
		model = g.model
	}
	for _, st := range route.Stages {
		t := s.targets[st.Target]
		if t == nil || p.n == maxStages {
			// The stage's target is gone, but the others still have the work. Links aren't looked up by their position in the route.
			continue
		}
		l := leg{t: t, layers: float64(st.EndLayer - st.FirstLayer)}
		if p.n > 0 {
			l.link = s.linkOf(p.legs[p.n-1].t.name, t.name)
			l.nominal = s.hopTime(model, p.legs[p.n-1].t, t)
		}
		t.streams++
		t.decodeLayers += l.layers
		p.legs[p.n] = l
		p.n++
	}
	return p
}

// hopTime requires s.mu and returns the time in seconds that one activation takes between two targets at nominal speed.
func (s *Selector) hopTime(m Model, from, to *target) float64 {
	link := s.defaultLink(&from.info, &to.info)
	if l := s.links[linkKey{from.name, to.name}]; l != nil && l.listed {
		link = l.nominal
	}
	if link.Bandwidth <= 0 {
		return link.LatencySeconds
	}
	return link.LatencySeconds + float64(m.ActivationBytes)/link.Bandwidth
}

// Observe records the receipt of the next token.
func (p *Permit) Observe(r *commonv1.Receipt) {
	if p == nil {
		return
	}
	p.tokens++
	if p.tokens > fullyObservedTokens && p.tokens%observeEvery != 0 {
		return
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	now := p.s.Clock.Now()
	if p.prefill {
		p.endPrefill(now)
		return
	}
	if r == nil || len(r.Stages) != p.n {
		return
	}
	for i, st := range r.Stages {
		if l := p.legs[i].link; l != nil && st.Transfer != nil {
			elapsed := st.Transfer.AsDuration().Seconds()
			l.observe(now, elapsed, p.legs[i].nominal)
			p.legs[i-1].t.meanOutLink.observeGeometric(now, elapsed, p.legs[i].nominal)
		}
	}
}

// endPrefill releases the prefill work and assumes that the targets now have the prefixes cached.
func (p *Permit) endPrefill(now time.Time) {
	if !p.prefill {
		return
	}
	p.prefill = false
	for i := range p.n {
		l := &p.legs[i]
		l.t.prefillWork = max(l.t.prefillWork-l.prefill, 0)
		l.t.recordSuccess(now)
		for _, prefix := range p.prefixes {
			p.s.prefixes.add(prefix, l.t.name, now, assumedHit)
		}
	}
}

// Done releases the outstanding work; it may be called more than once.
func (p *Permit) Done() {
	if p == nil {
		return
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	if p.prefill {
		p.prefixes = nil
		for i := range p.n {
			l := &p.legs[i]
			l.t.prefillWork = max(l.t.prefillWork-l.prefill, 0)
		}
	}
	for i := range p.n {
		l := &p.legs[i]
		l.t.streams = max(l.t.streams-1, 0)
		l.t.decodeLayers = max(l.t.decodeLayers-l.layers, 0)
	}
}

// ExpectedFirstToken returns the expected time to the first token, from the work outstanding when the permit was granted.
func (p *Permit) ExpectedFirstToken() time.Duration {
	if p == nil {
		return 0
	}
	return p.firstToken
}
