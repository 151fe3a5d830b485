package selector

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	initialSuspicion = 500 * time.Millisecond
	// maxSuspicion is the maximum wait before a failed target is tried again. It limits the delay for a target that has
	// recovered before any daemon saw it down.
	maxSuspicion = 3 * time.Second
	// reportDecayTime is the age at which the weight of a load report has decayed to 1/e.
	reportDecayTime = 500 * time.Millisecond
	// maxReportAge is the age at which a load report no longer counts.
	maxReportAge = 4 * reportDecayTime
	// maxHealthySlowdown is the slowdown up to which a recovering link counts as at its stated speed.
	maxHealthySlowdown = 1.05
	// linkGain is the weight of a new measurement in a link's estimate.
	linkGain = 0.2
	// linkHalfLife is the time without measurements in which the part of an estimated slowdown above 1 halves.
	linkHalfLife = 10 * time.Second
	// minRamp is the share of its rate with which a target starts.
	minRamp = 0.1
	// kvAvoidThreshold is the share of KV memory in use above which a target is increasingly avoided.
	kvAvoidThreshold = 0.9
)

// target is the live state of one engine.
type target struct {
	name string
	info cataloger.Target
	// streams is the number of this router's streams, decodeLayers that of their layers on the target.
	streams      float64
	decodeLayers float64
	// prefillWork is the number of layer-tokens in this router's unfinished prefills.
	prefillWork float64
	// othersRunning is the moving average of the streams of other routers, as of reportAt.
	othersRunning float64
	reportAt      time.Time
	// modelWait is shared by the targets of a model.
	modelWait       *modelWait
	kvUsedShare     float64
	reportedLeaving bool
	// rampFrom is when the target joined or returned.
	rampStart time.Time
	// downSince is when the target last stopped being usable.
	downSince    time.Time
	suspectUntil time.Time
	failures     int
	// faultShare is the target's accumulated share of the fault for silent chains, halved by each success.
	faultShare float64
	// meanOutLink is the mean of the target's links to others, which stands in for those that were not used yet.
	meanOutLink link
}

func isUsable(s cataloger.State) bool {
	return s == cataloger.StateLive || s == cataloger.StateSuspect
}

// briefOutage is the time out of use below which a target needs no slow start.
const briefOutage = 2 * time.Second

// applyInfo applies the state that the fleet reports for the target.
func (t *target) applyInfo(info cataloger.Target, now time.Time) {
	before, after := isUsable(t.info.State), isUsable(info.State)
	switch {
	case before && !after:
		t.downSince = now
	case !before && after:
		if now.Sub(t.downSince) >= briefOutage {
			t.rampStart = now
		}
		// The health checks that found it live again are newer than the streams that it lost.
		t.suspectUntil = time.Time{}
		t.failures = 0
		// Its reports from before the outage no longer apply.
		t.othersRunning, t.reportAt = 0, time.Time{}
	}
	t.info = info
}

// usable reports whether the target may get new work at all.
func (t *target) usable() bool { return isUsable(t.info.State) && !t.reportedLeaving }

// trusted reports whether the target is usable and not suspected.
func (t *target) trusted(now time.Time) bool {
	if !t.usable() || t.info.State == cataloger.StateSuspect || now.Before(t.suspectUntil) {
		return false
	}
	// After a failure, only one stream at a time tries the target until a token arrives.
	return t.failures == 0 || t.streams == 0
}

// ramp returns the share of its rate that the target gets, from minRamp to 1.
func (t *target) ramp(now time.Time, slowStart time.Duration) float64 {
	since := now.Sub(t.rampStart)
	if since >= slowStart {
		return 1
	}
	return math.Max(minRamp, since.Seconds()/slowStart.Seconds())
}

func (t *target) markFailed(now time.Time, jitter float64) {
	if now.Before(t.suspectUntil) {
		return
	}
	pause := min(initialSuspicion<<min(t.failures, 10), maxSuspicion)
	t.failures++
	t.suspectUntil = now.Add(time.Duration(float64(pause) * (0.75 + jitter/2)))
	t.rampStart = t.suspectUntil
}

func (t *target) recordSuccess(now time.Time) {
	t.faultShare /= 2
	if !now.Before(t.suspectUntil) {
		t.failures = 0
	}
}

// load returns the layers of all streams on the target: this router's, and those of others as last reported. The older
// the report, the more the mean of the model's targets replaces it. A target without reports must not count as idle, or
// all routers would turn to it together.
func (t *target) load(now time.Time) float64 {
	decay := 0.0
	if age := now.Sub(t.reportAt); age < maxReportAge {
		decay = math.Exp(-age.Seconds() / reportDecayTime.Seconds())
	}
	return t.decodeLayers + decay*t.othersRunning*t.streamLayers() + (1-decay)*t.modelWait.mean*t.decodeRate()
}

// streamLayers returns the layers of one stream on the target.
func (t *target) streamLayers() float64 {
	if t.streams > 0 {
		return t.decodeLayers / t.streams
	}
	return float64(t.heldLayers())
}

func (t *target) decodeRate() float64 { return rateOrDefault(t.info.DecodeRate, t.info.PrefillRate) }

// modelWait is the typical wait on the targets of a model.
type modelWait struct {
	// targets is the number of targets of the model.
	targets int
	// mean is the mean time in seconds that a token waits for the streams of other routers, over the last report of each
	// target.
	mean float64
}

// observe adds the wait on one target to the mean.
func (w *modelWait) observe(wait float64) {
	w.mean += (wait - w.mean) / float64(max(1, w.targets))
}

func (t *target) heldLayers() uint32 {
	if len(t.info.Holdings) == 0 {
		return 0
	}
	h := t.info.Holdings[0]
	return h.EndLayer - h.FirstLayer
}

type linkKey struct{ from, to string }

// link is the live state of the connection between two targets.
type link struct {
	nominal cataloger.Link
	listed  bool
	// slowdown is the measured transfer time divided by the nominal one, at least 1.
	slowdown   float64
	observedAt time.Time
}

func (l *link) setNominal(n cataloger.Link) {
	l.nominal = n
	l.listed = true
}

// observe records one transfer; times are in seconds.
func (l *link) observe(now time.Time, elapsed, nominal float64) {
	if nominal <= 0 {
		return
	}
	r := math.Max(1, elapsed/nominal)
	l.slowdown = l.currentSlowdown(now)
	l.slowdown += linkGain * (r - l.slowdown)
	l.observedAt = now
}

// currentSlowdown returns the transfer time, including queueing, divided by the nominal one.
func (l *link) currentSlowdown(now time.Time) float64 { return l.decayed(l.slowdown, now) }

// decayed returns a slowdown reduced by its decay since the last measurement.
func (l *link) decayed(slowdown float64, now time.Time) float64 {
	if slowdown <= 1 {
		return 1
	}
	age := now.Sub(l.observedAt)
	if age < time.Second {
		return slowdown
	}
	remaining := 1 + (slowdown-1)*math.Exp2(-age.Seconds()/linkHalfLife.Seconds())
	if remaining < maxHealthySlowdown {
		return 1
	}
	return remaining
}
