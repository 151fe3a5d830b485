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
	// DefaultMaxWorkspaces is the default max number of workspaces with their own series.
	DefaultMaxWorkspaces = 2048
	// OtherWorkspace is the name under which all workspaces over the bound share series.
	OtherWorkspace = "other"

	workspaceReservoir = 100
	serviceReservoir   = 1028
	decayAlpha         = 0.015
)

// Histograms lists the names of the histograms kept for each workspace and each service.
var Histograms = []string{FirstToken, InterToken, Total, QueueWait}

// Meter holds the metrics of one daemon.
type Meter struct {
	// MaxWorkspaces bounds the number of workspaces with their own series.
	MaxWorkspaces int
	// Registry holds the counters and gauges of every package of the daemon.
	Registry metrics.Registry

	mu         sync.RWMutex
	workspaces map[string]*series
	services   map[string]*series
	results    map[refuser.Code]metrics.Counter
}

// series holds the histograms and counters of one workspace or service.
type series struct {
	histograms map[string]metrics.Histogram
	requests   metrics.Counter
	tokens     metrics.Counter
}

// New returns a meter without series.
func New() *Meter {
	return &Meter{
		MaxWorkspaces: DefaultMaxWorkspaces,
		Registry:      metrics.NewRegistry(),
		workspaces:    map[string]*series{},
		services:      map[string]*series{},
		results:       map[refuser.Code]metrics.Counter{},
	}
}

// Request is the contribution of one request to the metrics.
type Request struct {
	Workspace string
	// Service is the name of the requested service; it is written as the label class.
	Service string
	Code    refuser.Code
	// FirstToken, Total and QueueWait are not observed if they are negative.
	FirstToken time.Duration
	Total      time.Duration
	QueueWait  time.Duration
	Tokens     int64
}

// Observe records a request that has ended.
func (m *Meter) Observe(r Request) {
	for _, s := range []*series{m.workspaceSeries(r.Workspace), m.serviceSeries(r.Service)} {
		s.requests.Inc(1)
		s.tokens.Inc(r.Tokens)
		s.observe(FirstToken, r.FirstToken)
		s.observe(Total, r.Total)
		s.observe(QueueWait, r.QueueWait)
	}
	m.resultCounter(r.Code).Inc(1)
}

// CountResult counts the result of a request that belongs to no workspace or service.
func (m *Meter) CountResult(code refuser.Code) { m.resultCounter(code).Inc(1) }

// ObserveTokenGap records the time between two tokens.
func (m *Meter) ObserveTokenGap(workspace, service string, d time.Duration) {
	m.workspaceSeries(workspace).observe(InterToken, d)
	m.serviceSeries(service).observe(InterToken, d)
}

// RegisterGauge registers a gauge whose value read returns each time the metrics are written.
func (m *Meter) RegisterGauge(name string, read func() float64) {
	_ = m.Registry.Register(name, metrics.NewFunctionalGaugeFloat64(read))
}

// SetGauge sets the gauge of that name, which it registers if needed.
func (m *Meter) SetGauge(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name, m.Registry).Update(value)
}

// Counter returns the counter of that name, which it registers if needed.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.Registry)
}

func (s *series) observe(name string, d time.Duration) {
	if d >= 0 {
		s.histograms[name].Update(d.Microseconds())
	}
}

func (m *Meter) workspaceSeries(name string) *series {
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
	return addSeries(m.workspaces, name, workspaceReservoir)
}

func (m *Meter) serviceSeries(name string) *series {
	if s := m.lookup(m.services, name); s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return addSeries(m.services, name, serviceReservoir)
}

func (m *Meter) lookup(group map[string]*series, name string) *series {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return group[name]
}

func addSeries(group map[string]*series, name string, reservoir int) *series {
	if s, ok := group[name]; ok {
		return s
	}
	s := &series{
		histograms: make(map[string]metrics.Histogram, len(Histograms)),
		requests:   metrics.NewCounter(),
		tokens:     metrics.NewCounter(),
	}
	for _, h := range Histograms {
		s.histograms[h] = metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decayAlpha))
	}
	group[name] = s
	return s
}

func (m *Meter) resultCounter(code refuser.Code) metrics.Counter {
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
