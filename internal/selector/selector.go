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

// Model is a model version, with at most one adapter, that requests may name.
type Model struct {
	Name    string
	Version string
	Adapter string
	Layers  uint32
	// ActivationBytes is the size of one token's activation on a link; 0 means that transfers cost only the link's latency.
	ActivationBytes uint64
}

// Key identifies a model version with at most one adapter.
type Key struct{ Name, Version, Adapter string }

// Key returns the key by which requests name the model.
func (m Model) Key() Key { return Key{m.Name, m.Version, m.Adapter} }

// Defaults of a Selector.
const (
	DefaultFanOut           = 32
	DefaultDraws            = 4
	DefaultExplorationShare = 0.002
	DefaultSlowStart        = 10 * time.Second
	DefaultOutputTokens     = 64
)

// Selector picks routes. Set the exported fields before the first Update.
type Selector struct {
	Clock  timer.Clock
	Random *rand.Rand
	// SameDataCentre and BetweenDataCentres are the defaults for links that the fleet does not list.
	SameDataCentre     cataloger.Link
	BetweenDataCentres cataloger.Link
	// FanOut is the maximum number of links considered out of a target at one layer.
	FanOut int
	// Draws is the number of targets that are drawn at random by weight and compared at each step.
	Draws int
	// ExplorationShare is the share of steps that follow the weights alone, so that a recovered target or link is found.
	ExplorationShare float64
	// SlowStart is the time over which a target that joins or returns ramps up to its full share.
	SlowStart time.Duration

	// updateMu serializes Update without blocking Pick.
	updateMu sync.Mutex

	mu         sync.Mutex
	graphs     map[Key]*graph
	targets    map[string]*target
	links      map[linkKey]*link
	modelWaits map[string]*modelWait
	prefixes   *prefixIndex
	fleet      cataloger.Fleet
	models     []Model
	updated    bool
	// firstUpdateAt is when the first view of the fleet was applied.
	firstUpdateAt time.Time
	// promptRatios is the moving average of prompt tokens per generated token.
	promptRatios map[Key]float64
}

// New returns a selector with the default settings.
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
		promptRatios:       make(map[Key]float64),
	}
}

// Update applies a view of the fleet and the models in force. It may take a second on a large fleet and does not block Pick.
func (s *Selector) Update(fleet cataloger.Fleet, models []Model) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	s.applyFleet(fleet, models)
	graphs := make(map[Key]*graph, len(models))
	for _, m := range models {
		if _, done := graphs[m.Key()]; !done {
			graphs[m.Key()] = s.buildGraph(m, fleet)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, g := range graphs {
		g.blendWeights(s.graphs[key])
	}
	s.graphs = graphs
}

// Refresh applies the states of targets immediately and leaves the weights as they are: a target that is gone or
// suspected gets no new work, and one that joins waits for the next Update.
func (s *Selector) Refresh(fleet cataloger.Fleet) {
	s.mu.Lock()
	models, ok := s.models, s.updated
	s.mu.Unlock()
	if ok {
		s.applyFleet(fleet, models)
	}
}

// RecomputeWeights recomputes the weights from the link speeds measured so far; call it every few seconds.
func (s *Selector) RecomputeWeights() {
	s.mu.Lock()
	fleet, models, ok := s.fleet, s.models, s.updated
	s.mu.Unlock()
	if ok {
		s.Update(fleet, models)
	}
}

// settlingTime is the time after the first view in which a new target skips the slow start: a daemon that has just
// started learns of the existing targets one after another.
const settlingTime = 3 * time.Second

// applyFleet updates the states of targets and links and removes those that are gone.
func (s *Selector) applyFleet(fleet cataloger.Fleet, models []Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !s.updated {
		s.firstUpdateAt = now
	}
	s.fleet, s.models, s.updated = fleet, models, true
	targets := make(map[string]*target, len(fleet.Targets))
	waits := make(map[string]*modelWait)
	for _, info := range fleet.Targets {
		if info.Type == cataloger.TypeService {
			continue
		}
		t := s.targets[info.Name]
		if t == nil {
			t = &target{name: info.Name, info: info, rampStart: now}
			if now.Sub(s.firstUpdateAt) < settlingTime {
				t.rampStart = now.Add(-s.SlowStart)
			}
		}
		t.applyInfo(info, now)
		t.modelWait = s.joinModelWait(waits, info)
		targets[info.Name] = t
	}
	s.targets, s.modelWaits = targets, waits
	links := make(map[linkKey]*link, len(fleet.Links))
	for k, l := range s.links {
		if targets[k.from] != nil && targets[k.to] != nil && l.differsFromDefault(now) {
			links[k] = l
		}
	}
	s.links = links
	for _, l := range fleet.Links {
		s.linkOf(l.From, l.To).setNominal(l)
	}
}

// joinModelWait requires s.mu. It counts a target in the mean wait of its model, which carries over from the previous view.
func (s *Selector) joinModelWait(waits map[string]*modelWait, info cataloger.Target) *modelWait {
	model := ""
	if len(info.Holdings) > 0 {
		model = info.Holdings[0].Model
	}
	w := waits[model]
	if w == nil {
		w = s.modelWaits[model]
		if w == nil {
			w = &modelWait{}
		}
		w.targets = 0
		waits[model] = w
	}
	w.targets++
	return w
}

// promptGain is the weight of one request in the moving average of prompt tokens per generated token.
const promptGain = 0.01

// promptRatio requires s.mu and returns the moving average of prompt tokens per generated token.
func (s *Selector) promptRatio(k Key) float64 { return s.promptRatios[k] }

// observeRequest requires s.mu and adds a request to the moving average.
func (s *Selector) observeRequest(k Key, prompt, generated float64) {
	ratio := prompt / generated
	if mean, ok := s.promptRatios[k]; ok {
		ratio = mean + promptGain*(ratio-mean)
	}
	s.promptRatios[k] = ratio
}

// linkOf requires s.mu and returns the state of a link, which it creates on first use.
func (s *Selector) linkOf(from, to string) *link {
	k := linkKey{from, to}
	l := s.links[k]
	if l == nil {
		l = &link{slowdown: 1}
		s.links[k] = l
	}
	return l
}

// differsFromDefault reports whether a link is listed or was measured to be slower than nominal.
func (l *link) differsFromDefault(now time.Time) bool { return l.listed || l.currentSlowdown(now) > 1 }

// defaultLink returns the bandwidth and latency assumed for a link that is not listed.
func (s *Selector) defaultLink(from, to *cataloger.Target) cataloger.Link {
	if from.DataCentre == to.DataCentre {
		return s.SameDataCentre
	}
	return s.BetweenDataCentres
}

// Bound returns the tokens per second that the fleet can generate with a model, by maximum flow; 0 for an unknown model.
func (s *Selector) Bound(key Key) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.graphs[key]; g != nil {
		return g.bound
	}
	return 0
}

// Leaving reports whether a target is leaving or gone.
func (s *Selector) Leaving(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t == nil || t.info.State == cataloger.StateLeaving || t.reportedLeaving
}

// Degraded reports whether the link between two targets was measured to be much slower than stated.
func (s *Selector) Degraded(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[linkKey{from, to}]
	return l != nil && l.currentSlowdown(s.Clock.Now()) >= minSplitSlowdown
}

// reportSmoothing is the time constant of the moving average of a target's reports: it follows a change by 1-1/e.
const reportSmoothing = time.Second

// ObserveLoad records a load report of a target.
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
	// Every router reads the same reports; following each one directly would send all routers to the same target.
	gain := -math.Expm1(-at.Sub(t.reportAt).Seconds() / reportSmoothing.Seconds())
	t.othersRunning += math.Max(0, gain) * (others - t.othersRunning)
	if at.After(t.reportAt) {
		t.reportAt = at
		t.modelWait.observe(t.othersRunning * t.streamLayers() / t.decodeRate())
	}
	t.reportedLeaving = r.Leaving
	t.kvUsedShare = 0
	if r.KvTotalBytes > 0 {
		t.kvUsedShare = float64(r.KvUsedBytes) / float64(r.KvTotalBytes)
	}
}

// ObserveCache records that a target cached a prefix, or removed it from its cache.
func (s *Selector) ObserveCache(name string, prefix uint64, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		s.prefixes.remove(prefix, name)
		return
	}
	s.prefixes.add(prefix, name, s.Clock.Now(), confirmedHit)
}

// ObserveCacheGap records that cache events of a target may have been missed.
func (s *Selector) ObserveCacheGap(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefixes.recordGap(name, s.Clock.Now())
}

// ReportFailed marks a target as failed: it gets no work for a time that doubles with each consecutive failure.
func (s *Selector) ReportFailed(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		t.markFailed(s.Clock.Now(), s.Random.Float64())
	}
}

// maxFaultShare is the accumulated fault share at which a target counts as failed.
const maxFaultShare = 0.6

// ReportSuspects splits the fault for a silent chain equally among its targets. A target whose shares add up to
// maxFaultShare counts as failed.
func (s *Selector) ReportSuspects(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		t := s.targets[name]
		if t == nil {
			continue
		}
		t.faultShare += 1 / float64(len(names))
		if t.faultShare >= maxFaultShare {
			t.faultShare = 0
			t.markFailed(s.Clock.Now(), s.Random.Float64())
		}
	}
}

// Outstanding returns the number of streams of this router that run on a target.
func (s *Selector) Outstanding(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		return int(t.streams)
	}
	return 0
}
