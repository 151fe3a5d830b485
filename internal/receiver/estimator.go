package receiver

import (
	"math"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// estimateGain is the share of a new answer in the estimate of its service.
	estimateGain = 0.05
	// estimateHalfLife is the time without answers in which an estimate halves, so that one that refuses all cannot last.
	estimateHalfLife = 10 * time.Second
	// maxExpected bounds what is expected of one answer.
	maxExpected = time.Hour
	// maxEstimates bounds the services that are known.
	maxEstimates = 4096
)

// Generated is how a generation went.
type GenerationStats struct {
	// First is the time from the grant to the first token.
	TimeToFirstToken time.Duration
	// Rest is the time from the first token to the last.
	DecodeTime time.Duration
	// Tokens were delivered, of at most Asked.
	Tokens, RequestedTokens int
	// Whole is true where the answer reached its end.
	Complete bool
}

// Estimator expects the time of generations from how those before went, for each service; it is safe for concurrent use.
type Estimator struct {
	Clock timer.Clock

	mu       sync.Mutex
	services map[string]*estimate
}

// estimate holds moving means in seconds.
type estimate struct {
	first, gap mean
	// share is the part of the tokens asked for that an answer has.
	share mean
	last  time.Time
}

// NewEstimator returns an estimator that expects nothing of any service.
func NewEstimator(clock timer.Clock) *Estimator {
	return &Estimator{Clock: clock, services: map[string]*estimate{}}
}

// Observe takes in the end of a generation; one that was cut short says how fast it was, but not how long answers are.
func (e *Estimator) Observe(service string, g GenerationStats) {
	if g.Tokens <= 0 || g.RequestedTokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil {
		s = e.add(service)
	}
	s.first.observe(g.TimeToFirstToken.Seconds())
	if g.Tokens > 1 {
		s.gap.observe(g.DecodeTime.Seconds() / float64(g.Tokens-1))
	}
	if g.Complete {
		s.share.observe(math.Min(1, float64(g.Tokens)/float64(g.RequestedTokens)))
	}
	s.last = e.Clock.Now()
}

// add makes room for a service, for which any other may be forgotten.
func (e *Estimator) add(service string) *estimate {
	for name := range e.services {
		if len(e.services) < maxEstimates {
			break
		}
		delete(e.services, name)
	}
	s := &estimate{}
	e.services[service] = s
	return s
}

// Expected returns how long an answer of up to maxTokens takes from its grant; zero where no whole answer was seen.
func (e *Estimator) ExpectedDuration(service string, _, maxTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil || !s.share.known {
		return 0
	}
	tokens := math.Max(1, float64(maxTokens)*s.share.value)
	fade := math.Exp2(-e.Clock.Now().Sub(s.last).Seconds() / estimateHalfLife.Seconds())
	seconds := (s.first.value + (tokens-1)*s.gap.value) * fade
	return time.Duration(math.Min(seconds, maxExpected.Seconds()) * float64(time.Second))
}

// mean is a moving mean whose first values count in full.
type mean struct {
	value float64
	seen  float64
	known bool
}

func (m *mean) observe(v float64) {
	m.known = true
	m.seen++
	m.value += math.Max(estimateGain, 1/m.seen) * (v - m.value)
}
