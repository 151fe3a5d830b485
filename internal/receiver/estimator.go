package receiver

import (
	"math"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// estimateGain is the weight of a new answer in the estimate of its service.
	estimateGain = 0.05
	// estimateHalfLife is the time without answers in which an estimate halves, so that one so high that every request
	// is refused cannot last.
	estimateHalfLife = 10 * time.Second
	// maxExpectedDuration is the maximum estimate for one answer.
	maxExpectedDuration = time.Hour
	// maxEstimates is the maximum number of services with an estimate.
	maxEstimates = 4096
)

// GenerationStats holds the timing and the length of one generation.
type GenerationStats struct {
	// TimeToFirstToken counts from the grant.
	TimeToFirstToken time.Duration
	// DecodeTime is the time from the first token to the last.
	DecodeTime time.Duration
	// Tokens is the number of tokens delivered, of at most RequestedTokens.
	Tokens, RequestedTokens int
	// Complete is true if the answer reached its end.
	Complete bool
}

// Estimator estimates the duration of generations from earlier ones of the same service; it is safe for concurrent use.
type Estimator struct {
	Clock timer.Clock

	mu       sync.Mutex
	services map[string]*estimate
}

// estimate holds moving averages; times are in seconds.
type estimate struct {
	timeToFirstToken, tokenGap mean
	// lengthRatio is the number of tokens in an answer divided by the number requested.
	lengthRatio  mean
	lastObserved time.Time
}

// NewEstimator returns an estimator without observations.
func NewEstimator(clock timer.Clock) *Estimator {
	return &Estimator{Clock: clock, services: map[string]*estimate{}}
}

// Observe records a generation that has ended; an incomplete one counts for the speed, but not for the length of answers.
func (e *Estimator) Observe(service string, g GenerationStats) {
	if g.Tokens <= 0 || g.RequestedTokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil {
		s = e.addEstimate(service)
	}
	s.timeToFirstToken.observe(g.TimeToFirstToken.Seconds())
	if g.Tokens > 1 {
		s.tokenGap.observe(g.DecodeTime.Seconds() / float64(g.Tokens-1))
	}
	if g.Complete {
		s.lengthRatio.observe(math.Min(1, float64(g.Tokens)/float64(g.RequestedTokens)))
	}
	s.lastObserved = e.Clock.Now()
}

// addEstimate adds a service and evicts an arbitrary other one if there are too many.
func (e *Estimator) addEstimate(service string) *estimate {
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

// ExpectedDuration returns how long an answer of up to maxTokens takes from its grant, or zero if no complete answer was
// observed.
func (e *Estimator) ExpectedDuration(service string, _, maxTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil || !s.lengthRatio.hasValue {
		return 0
	}
	tokens := math.Max(1, float64(maxTokens)*s.lengthRatio.value)
	decay := math.Exp2(-e.Clock.Now().Sub(s.lastObserved).Seconds() / estimateHalfLife.Seconds())
	seconds := (s.timeToFirstToken.value + (tokens-1)*s.tokenGap.value) * decay
	return time.Duration(math.Min(seconds, maxExpectedDuration.Seconds()) * float64(time.Second))
}

// mean is a moving average whose first values are averaged with equal weight.
type mean struct {
	value    float64
	count    float64
	hasValue bool
}

func (m *mean) observe(v float64) {
	m.hasValue = true
	m.count++
	m.value += math.Max(estimateGain, 1/m.count) * (v - m.value)
}
