package selector

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	firstSuspicion = 500 * time.Millisecond
	// maxSuspicion bounds the wait for the next try of a target that is back without any daemon having seen it down.
	maxSuspicion = 3 * time.Second
	// reportFade is the age at which a load report counts for 1/e.
	reportFade = 500 * time.Millisecond
	// reportLife is the age at which it no longer counts.
	reportLife = 4 * reportFade
	// healthyRatio is what still counts as a link at its stated speed.
	healthyRatio = 1.05
	// linkGain is the share of a new reading in a link's estimate.
	linkGain = 0.2
	// linkForget is the time without readings in which a bad estimate halves its excess.
	linkForget = 10 * time.Second
	// minRamp is the share that a target starts with.
	minRamp = 0.1
	// kvFull is the share of KV memory in use beyond which a target is avoided.
	kvFull = 0.9
)

// target is the live state of one engine.
type target struct {
	name string
	info cataloger.Target
	// streams counts this router's streams, decodeLayers their layers on the target.
	streams      float64
	decodeLayers float64
	// prefillWork is the layer-tokens of this router's unfinished prefills.
	prefillWork float64
	// othersRunning is the streams of other routers at reportAt.
	othersRunning float64
	reportAt      time.Time
	// usual is shared by the targets of a model.
	usual           *usual
	kvShare         float64
	reportedLeaving bool
	// rampFrom is when the target joined or returned.
	rampFrom time.Time
	// downSince is when the target last stopped being usable.
	downSince    time.Time
	suspectUntil time.Time
	failures     int
	// blame is the target's part in chains that went silent, halved by each success.
	blame float64
	// out is the mean of the target's links to others, for those that were not used yet.
	out link
}

func usableState(s cataloger.State) bool {
	return s == cataloger.StateLive || s == cataloger.StateSuspect
}

// brief is the time out of use after which a target is as warm as before.
const brief = 2 * time.Second

// enter takes on the state that the fleet gives the target.
func (t *target) enter(info cataloger.Target, now time.Time) {
	before, after := usableState(t.info.State), usableState(info.State)
	switch {
	case before && !after:
		t.downSince = now
	case !before && after:
		if now.Sub(t.downSince) >= brief {
			t.rampFrom = now
		}
		// The probes that found it live again know more than the streams that it lost.
		t.suspectUntil = time.Time{}
		t.failures = 0
		// What was reported of it before is over.
		t.othersRunning, t.reportAt = 0, time.Time{}
	}
	t.info = info
}

// usable tells whether the target may get new work at all.
func (t *target) usable() bool { return usableState(t.info.State) && !t.reportedLeaving }

// trusted tells whether the target is not suspected.
func (t *target) trusted(now time.Time) bool {
	if !t.usable() || t.info.State == cataloger.StateSuspect || now.Before(t.suspectUntil) {
		return false
	}
	// After a failure one stream at a time tries the target until a token comes back.
	return t.failures == 0 || t.streams == 0
}

// ramp returns the share of its rate that the target gets, from minRamp to 1.
func (t *target) ramp(now time.Time, slowStart time.Duration) float64 {
	since := now.Sub(t.rampFrom)
	if since >= slowStart {
		return 1
	}
	return math.Max(minRamp, since.Seconds()/slowStart.Seconds())
}

func (t *target) fail(now time.Time, jitter float64) {
	if now.Before(t.suspectUntil) {
		return
	}
	pause := min(firstSuspicion<<min(t.failures, 10), maxSuspicion)
	t.failures++
	t.suspectUntil = now.Add(time.Duration(float64(pause) * (0.75 + jitter/2)))
	t.rampFrom = t.suspectUntil
}

func (t *target) succeed(now time.Time) {
	t.blame /= 2
	if !now.Before(t.suspectUntil) {
		t.failures = 0
	}
}

// load returns the layers of all streams on the target: this router's now, and the others' as last reported and, the
// older the report, as is usual. A target without news is not an idle one: all entries would turn to it at once.
func (t *target) load(now time.Time) float64 {
	fade := 0.0
	if age := now.Sub(t.reportAt); age < reportLife {
		fade = math.Exp(-age.Seconds() / reportFade.Seconds())
	}
	return t.decodeLayers + fade*t.othersRunning*t.streamLayers() + (1-fade)*t.usual.wait*t.decodeRate()
}

// streamLayers returns the layers of one stream on the target.
func (t *target) streamLayers() float64 {
	if t.streams > 0 {
		return t.decodeLayers / t.streams
	}
	return float64(t.span())
}

func (t *target) decodeRate() float64 { return rateOr(t.info.DecodeRate, t.info.PrefillRate) }

// usual is what is usual among the targets of a model.
type usual struct {
	// targets counts them.
	targets int
	// wait is the mean time that the streams of other routers make a token wait, in seconds, over the last report of each.
	wait float64
}

// observe takes the wait on one target into the mean.
func (u *usual) observe(wait float64) {
	u.wait += (wait - u.wait) / float64(max(1, u.targets))
}

func (t *target) span() uint32 {
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
	// ratio is the measured transfer time over the nominal one, at least 1.
	ratio float64
	seen  time.Time
}

func (l *link) setNominal(n cataloger.Link) {
	l.nominal = n
	l.listed = true
}

// observe takes in one transfer.
func (l *link) observe(now time.Time, took, nominal float64) {
	if nominal <= 0 {
		return
	}
	r := math.Max(1, took/nominal)
	l.ratio = l.current(now)
	l.ratio += linkGain * (r - l.ratio)
	l.seen = now
}

// current returns the transfer time over the nominal one, with waiting.
func (l *link) current(now time.Time) float64 { return l.faded(l.ratio, now) }

// faded returns a ratio, less what has been forgotten since the last reading.
func (l *link) faded(ratio float64, now time.Time) float64 {
	if ratio <= 1 {
		return 1
	}
	age := now.Sub(l.seen)
	if age < time.Second {
		return ratio
	}
	faded := 1 + (ratio-1)*math.Exp2(-age.Seconds()/linkForget.Seconds())
	if faded < healthyRatio {
		return 1
	}
	return faded
}
