package selector

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// Model is a model version, with one adapter or none, that requests may name.
type Model struct {
	Name    string
	Version string
	Adapter string
	Layers  uint32
	// ActivationBytes is what one token's activation takes on a link; 0 makes links free.
	ActivationBytes uint64
}

// Key names a model version with one adapter or none.
type Key struct{ Name, Version, Adapter string }

// Key returns what requests name the model by.
func (m Model) Key() Key { return Key{m.Name, m.Version, m.Adapter} }

// Defaults of a Selector.
const (
	DefaultFanOut           = 32
	DefaultDraws            = 4
	DefaultExplorationShare = 0.002
	DefaultSlowStart        = 10 * time.Second
	DefaultOutputTokens     = 64
)

// Selector picks routes; set the exported fields before the first Update.
type Selector struct {
	Clock  timer.Clock
	Random *rand.Rand
	// SameDataCentre and BetweenDataCentres stand for links that the fleet does not list.
	SameDataCentre     cataloger.Link
	BetweenDataCentres cataloger.Link
	// FanOut bounds the links that are considered out of a target at one layer.
	FanOut int
	// Draws is how many targets are drawn by weight and compared at each step.
	Draws int
	// ProbeShare is the share of steps that follow the weights alone, so that a target or link that got better is found.
	ExplorationShare float64
	// SlowStart is how long a target that joins or returns takes to get its whole share.
	SlowStart time.Duration

	// updating keeps one Update at a time without holding up Pick.
	updating sync.Mutex

	mu       sync.Mutex
	graphs   map[Key]*graph
	targets  map[string]*target
	links    map[linkKey]*link
	usuals   map[string]*usual
	prefixes *prefixIndex
	fleet    cataloger.Fleet
	models   []Model
	updated  bool
	// begun is when the first view of the fleet came.
	begun time.Time
	// prompts is the mean number of prompt tokens per generated one.
	prompts map[Key]float64
}

// New returns a selector with the defaults.
func New(clock timer.Clock, random *rand.Rand) *Selector {
	return &Selector{
		Clock:              clock,
		Random:             random,
		SameDataCentre:     cataloger.Link{Bandwidth: 1.25e9, LatencySeconds: 0.0002},
		BetweenDataCentres: cataloger.Link{Bandwidth: 1.25e8, LatencySeconds: 0.002},
		FanOut:             DefaultFanOut,
		Draws:              DefaultDraws,
		ExplorationShare:   DefaultExplorationShare,
		SlowStart:          DefaultSlowStart,
		graphs:             make(map[Key]*graph),
		targets:            make(map[string]*target),
		links:              make(map[linkKey]*link),
		prefixes:           newPrefixIndex(),
		prompts:            make(map[Key]float64),
	}
}

// Update takes on a view of the fleet and the models in force; it may take a second on a large fleet and does not hold up Pick.
func (s *Selector) Update(fleet cataloger.Fleet, models []Model) {
	s.updating.Lock()
	defer s.updating.Unlock()
	s.takeFleet(fleet, models)
	graphs := make(map[Key]*graph, len(models))
	for _, m := range models {
		if _, done := graphs[m.Key()]; !done {
			graphs[m.Key()] = s.build(m, fleet)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, g := range graphs {
		g.blend(s.graphs[key])
	}
	s.graphs = graphs
}

// Refresh takes on the states of targets at once and leaves the weights as they are: a target that is gone or in doubt
// gets no new work, and one that joins waits for the next Update.
func (s *Selector) Refresh(fleet cataloger.Fleet) {
	s.mu.Lock()
	models, ok := s.models, s.updated
	s.mu.Unlock()
	if ok {
		s.takeFleet(fleet, models)
	}
}

// Reweigh computes the weights anew from the link speeds seen so far; call it every few seconds.
func (s *Selector) Reweigh() {
	s.mu.Lock()
	fleet, models, ok := s.fleet, s.models, s.updated
	s.mu.Unlock()
	if ok {
		s.Update(fleet, models)
	}
}

// settling is the time after the first view in which targets that appear are taken for known ones: a daemon that has
// just started hears of them one after another.
const settling = 3 * time.Second

// takeFleet renews the states of targets and links and forgets those that are gone.
func (s *Selector) takeFleet(fleet cataloger.Fleet, models []Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !s.updated {
		s.begun = now
	}
	s.fleet, s.models, s.updated = fleet, models, true
	targets := make(map[string]*target, len(fleet.Targets))
	usuals := make(map[string]*usual)
	for _, info := range fleet.Targets {
		if info.Type == cataloger.TypeService {
			continue
		}
		t := s.targets[info.Name]
		if t == nil {
			t = &target{name: info.Name, info: info, rampFrom: now}
			if now.Sub(s.begun) < settling {
				t.rampFrom = now.Add(-s.SlowStart)
			}
		}
		t.enter(info, now)
		t.usual = s.usualOf(usuals, info)
		targets[info.Name] = t
	}
	s.targets, s.usuals = targets, usuals
	links := make(map[linkKey]*link, len(fleet.Links))
	for k, l := range s.links {
		if targets[k.from] != nil && targets[k.to] != nil && l.matters(now) {
			links[k] = l
		}
	}
	s.links = links
	for _, l := range fleet.Links {
		s.linkOf(l.From, l.To).setNominal(l)
	}
}

// usualOf requires s.mu and counts a target in the mean of its model, which goes on from the view before.
func (s *Selector) usualOf(usuals map[string]*usual, info cataloger.Target) *usual {
	model := ""
	if len(info.Holdings) > 0 {
		model = info.Holdings[0].Model
	}
	u := usuals[model]
	if u == nil {
		u = s.usuals[model]
		if u == nil {
			u = &usual{}
		}
		u.targets = 0
		usuals[model] = u
	}
	u.targets++
	return u
}

// promptGain is the share of one request in the mean of prompt tokens per generated token.
const promptGain = 0.01

// promptShare requires s.mu and returns the mean number of prompt tokens per generated one.
func (s *Selector) promptShare(k Key) float64 { return s.prompts[k] }

// observeRequest requires s.mu and takes a request into the mean.
func (s *Selector) observeRequest(k Key, prompt, generated float64) {
	ratio := prompt / generated
	if mean, ok := s.prompts[k]; ok {
		ratio = mean + promptGain*(ratio-mean)
	}
	s.prompts[k] = ratio
}

// linkOf requires s.mu and returns the state of a link, made on first use.
func (s *Selector) linkOf(from, to string) *link {
	k := linkKey{from, to}
	l := s.links[k]
	if l == nil {
		l = &link{ratio: 1}
		s.links[k] = l
	}
	return l
}

// matters tells whether anything is known of a link that is not assumed of every other.
func (l *link) matters(now time.Time) bool { return l.listed || l.current(now) > 1 }

// assumed returns the bandwidth and latency of a link that is not listed.
func (s *Selector) assumed(from, to *cataloger.Target) cataloger.Link {
	if from.DataCentre == to.DataCentre {
		return s.SameDataCentre
	}
	return s.BetweenDataCentres
}

// Bound returns how many tokens a second the fleet can generate with a model, by maximum flow.
func (s *Selector) Bound(key Key) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.graphs[key]; g != nil {
		return g.bound
	}
	return 0
}

// Leaving tells whether a target leaves or is gone.
func (s *Selector) Leaving(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t == nil || t.info.State == cataloger.StateLeaving || t.reportedLeaving
}

// Degraded tells whether the link between two targets was measured to be much slower than stated.
func (s *Selector) Degraded(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[linkKey{from, to}]
	return l != nil && l.current(s.Clock.Now()) >= splitRatio
}

// reportSmoothing is the time in which the mean of a target's reports follows a change by 1-1/e.
const reportSmoothing = time.Second

// ObserveLoad takes in a target's own report.
func (s *Selector) ObserveLoad(name string, r *enginev1.LoadResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return
	}
	now := s.Clock.Now()
	at := now.Add(-r.Age.AsDuration())
	others := math.Max(0, float64(r.Running)-t.streams)
	// Every router reads the same reports; following each of them would send all to the same target at once.
	gain := -math.Expm1(-at.Sub(t.reportAt).Seconds() / reportSmoothing.Seconds())
	t.othersRunning += math.Max(0, gain) * (others - t.othersRunning)
	if at.After(t.reportAt) {
		t.reportAt = at
		t.usual.observe(t.othersRunning * t.streamLayers() / t.decodeRate())
	}
	t.reportedLeaving = r.Leaving
	t.kvShare = 0
	if r.KvTotalBytes > 0 {
		t.kvShare = float64(r.KvUsedBytes) / float64(r.KvTotalBytes)
	}
}

// ObserveCache takes in a prefix-cache event of a target.
func (s *Selector) ObserveCache(name string, prefix uint64, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		s.prefixes.remove(prefix, name)
		return
	}
	s.prefixes.add(prefix, name, s.Clock.Now(), confirmedHit)
}

// DoubtCache takes in that cache events of a target may have been missed.
func (s *Selector) ObserveCacheGap(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefixes.doubt(name, s.Clock.Now())
}

// Fail marks a target as failed, so that it gets no work for a time that doubles with each failure in a row.
func (s *Selector) ReportFailed(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		t.fail(s.Clock.Now(), s.Random.Float64())
	}
}

// blameLimit is the blame at which a target counts as failed.
const blameLimit = 0.6

// Blame spreads the fault for a silent chain over its targets; one that is blamed again and again counts as failed.
func (s *Selector) ReportSuspects(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		t := s.targets[name]
		if t == nil {
			continue
		}
		t.blame += 1 / float64(len(names))
		if t.blame >= blameLimit {
			t.blame = 0
			t.fail(s.Clock.Now(), s.Random.Float64())
		}
	}
}

// Outstanding returns how many streams of this router run on a target.
func (s *Selector) Outstanding(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		return int(t.streams)
	}
	return 0
}
