package meter

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// Names of the histograms, in microseconds.
const (
	FirstToken = "request-first-token"
	InterToken = "request-inter-token"
	Total      = "request-total"
	QueueWait  = "request-queue-wait"
)

const (
	// DefaultMaxWorkspaces is how many workspaces have series of their own.
	DefaultMaxWorkspaces = 2048
	// OtherWorkspace collects the workspaces past the bound.
	OtherWorkspace = "other"

	workspaceReservoir = 100
	classReservoir     = 1028
	decayAlpha         = 0.015
)

// Histograms names the histograms kept for each workspace and each class.
var Histograms = []string{FirstToken, InterToken, Total, QueueWait}

// Meter holds the metrics of one daemon.
type Meter struct {
	// MaxWorkspaces bounds the workspaces with series of their own.
	MaxWorkspaces int
	// Registry holds the counters and gauges of every package of the daemon.
	Registry metrics.Registry

	mu         sync.RWMutex
	workspaces map[string]*set
	classes    map[string]*set
	results    map[refuser.Code]metrics.Counter
}

// set is the histograms of one workspace or class.
type set struct {
	histograms map[string]metrics.Histogram
	requests   metrics.Counter
	tokens     metrics.Counter
}

// New returns a meter without series.
func New() *Meter {
	return &Meter{
		MaxWorkspaces: DefaultMaxWorkspaces,
		Registry:      metrics.NewRegistry(),
		workspaces:    map[string]*set{},
		classes:       map[string]*set{},
		results:       map[refuser.Code]metrics.Counter{},
	}
}

// Request is what one request adds to the metrics.
type Request struct {
	Workspace string
	// Class is the service that was asked.
	Service string
	Code    refuser.Code
	// First, Total and QueueWait are left out where they are negative.
	FirstToken time.Duration
	Total      time.Duration
	QueueWait  time.Duration
	Tokens     int64
}

// Observe adds a request that has ended.
func (m *Meter) Observe(r Request) {
	for _, s := range []*set{m.workspace(r.Workspace), m.class(r.Service)} {
		s.requests.Inc(1)
		s.tokens.Inc(r.Tokens)
		s.update(FirstToken, r.FirstToken)
		s.update(Total, r.Total)
		s.update(QueueWait, r.QueueWait)
	}
	m.result(r.Code).Inc(1)
}

// Result counts the result of a request that belongs to no workspace or class.
func (m *Meter) CountResult(code refuser.Code) { m.result(code).Inc(1) }

// Gap adds the time between two tokens.
func (m *Meter) ObserveTokenGap(workspace, class string, d time.Duration) {
	m.workspace(workspace).update(InterToken, d)
	m.class(class).update(InterToken, d)
}

// Gauge registers a gauge that is read when the metrics are written.
func (m *Meter) RegisterGauge(name string, read func() float64) {
	_ = m.Registry.Register(name, metrics.NewFunctionalGaugeFloat64(read))
}

// Set sets the gauge of that name.
func (m *Meter) SetGauge(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name, m.Registry).Update(value)
}

// Counter returns the counter of that name.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.Registry)
}

func (s *set) update(name string, d time.Duration) {
	if d >= 0 {
		s.histograms[name].Update(d.Microseconds())
	}
}

func (m *Meter) workspace(name string) *set {
	if s := m.lookup(m.workspaces, name); s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.workspaces[name]; ok {
		return s
	}
	if len(m.workspaces) >= m.MaxWorkspaces {
		name = OtherWorkspace
	}
	return add(m.workspaces, name, workspaceReservoir)
}

func (m *Meter) class(name string) *set {
	if s := m.lookup(m.classes, name); s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return add(m.classes, name, classReservoir)
}

func (m *Meter) lookup(sets map[string]*set, name string) *set {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sets[name]
}

func add(sets map[string]*set, name string, reservoir int) *set {
	if s, ok := sets[name]; ok {
		return s
	}
	s := &set{
		histograms: make(map[string]metrics.Histogram, len(Histograms)),
		requests:   metrics.NewCounter(),
		tokens:     metrics.NewCounter(),
	}
	for _, h := range Histograms {
		s.histograms[h] = metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decayAlpha))
	}
	sets[name] = s
	return s
}

func (m *Meter) result(code refuser.Code) metrics.Counter {
	m.mu.RLock()
	c := m.results[code]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.results[code]; c != nil {
		return c
	}
	c = metrics.NewCounter()
	m.results[code] = c
	return c
}
