package forecaster

import (
	"time"

	"github.com/rattantray/rattantray/internal/repairer"
)

const (
	// minEvents is the number of events after which the mean gap of a stream is known.
	minEvents = 8
	// hintReach is the share of the expected events after which an answer is taken to be longer than expected.
	hintReach = 0.9
	// usableShare is the share of the remaining time that the rest of a stream may take; its gaps vary.
	usableShare = 0.8
	// SlowPace is the pace of a stage from which it is slow; 1 is the usual pace.
	SlowPace = 2
	// slowGapFactor is how many typical gaps a mean gap must reach, and knownAfter how long a stream must be late, before it is moved
	// though no stage is slow. The paces of its stages are known by then.
	slowGapFactor = 2
	knownAfter    = 3 * time.Second
	// restartTime is the time that another pipeline takes to prefill a stream.
	restartTime = time.Second
	// minClientPatience is the shortest silence after which clients leave a stream. They wait longer where an objective is: firstObjectives
	// of those for the first event, or gapObjectives of those for pauses.
	minClientPatience = 2 * time.Second
	firstObjectives   = 4
	gapObjectives     = 8
	// stallShare is the share of the client's patience after which a silent stream is moved; the rest is for the other pipeline to begin.
	// Sound targets are silent for up to a second.
	stallShare = 0.65
	// stallFactor is how many times as long as usual a stream must be silent, so that none is moved where all are slow.
	stallFactor = 3
	// spreadTime is the time over which streams that turn slow together continue elsewhere, as each is prefilled there.
	spreadTime = 2 * time.Second
	// retryInterval is the minimum time between two decisions to change a stream, within which its mean gap follows the last one.
	retryInterval = 2 * time.Second
)

// Action is how a stream continues.
type Action int

// Actions for a stream.
const (
	// Keep means that the stream stays where it is.
	Keep Action = iota
	// Replace means that other targets take over its slow stages.
	Replace
	// Move means that the stream is sent again over another pipeline, as it is slow.
	Move
	// Resend means that the stream is sent again over another pipeline, as it has stalled.
	Resend
)

var actionNames = map[Action]string{Keep: "keep", Replace: "replace", Move: "move", Resend: "resend"}

// String returns the kebab-case name of the action.
func (a Action) String() string { return actionNames[a] }

// ClientPatience returns the silence after which clients leave a stream, given the objectives for its first event and its pauses.
func ClientPatience(first, gap time.Duration) time.Duration {
	return max(minClientPatience, firstObjectives*first, gapObjectives*gap)
}

// Stream is a stream in progress whose events are numbered.
type Stream struct {
	ID       string
	Deadline time.Time
	// Silence is how long nothing has arrived, UsualSilence how long that usually takes at this point of a stream, and ClientPatience the
	// silence after which the client leaves; 0 means unknown.
	Silence, UsualSilence, ClientPatience time.Duration
	// Events is the number of events that this daemon has delivered, and Delivered that which the client has.
	Events, Delivered int
	// Expected is the expected number of events of the answer, and Max the maximum; 0 means unknown.
	Expected, Max float64
	// Gap is the mean time between two events of the stream, and TypicalGap that of all streams.
	Gap, TypicalGap time.Duration
	// Paces returns those of its stages, the first stage first; 1 is the usual pace and a larger value is slower. It returns none if a stage
	// is gone.
	Paces func() []float64
	// Movable reports whether the stream may be sent again.
	Movable func() bool
}

// remaining returns how many events are expected to follow, or 0 if that is unknown.
func (s Stream) remaining() float64 {
	total := s.Expected
	if total == 0 || float64(s.Delivered) >= hintReach*total {
		total = max(s.Max, total)
	}
	return max(total-float64(s.Delivered), 0)
}

// isStalled reports whether the stream is silent for so long that its client will leave, while other streams go on.
func (s Stream) isStalled() bool {
	return s.ClientPatience > 0 && s.Silence.Seconds() >= stallShare*s.ClientPatience.Seconds() && s.Silence >= stallFactor*s.UsualSilence
}

// isLate reports whether the rest of the stream, at a gap, takes longer than a time.
func (s Stream) isLate(gap, left time.Duration) bool {
	return s.remaining()*gap.Seconds() > usableShare*left.Seconds()
}

// hasSlowStage reports whether any of some stages is slow.
func hasSlowStage(paces []float64) bool {
	for _, pace := range paces {
		if pace >= SlowPace {
			return true
		}
	}
	return false
}

// Forecaster follows one stream; its zero value is ready to use.
type Forecaster struct {
	// lateSince is when the stream was first expected to miss its deadline; zero if it is not.
	lateSince time.Time
	// nextAt is when the stream may be changed again.
	nextAt time.Time
}

// Decide returns how a stream continues at a time. A stream that is expected to miss its deadline leaves its slow stages, or goes to another
// pipeline if its first stage is slow or the others do not explain its gaps. One that has stalled goes to another pipeline as well.
func (f *Forecaster) Decide(now time.Time, s Stream) Action {
	left := s.Deadline.Sub(now)
	if s.isStalled() && left > restartTime && !now.Before(f.nextAt) && s.Movable() {
		f.nextAt = now.Add(retryInterval)
		return Resend
	}
	if s.Events < minEvents || left <= 0 || !s.isLate(s.Gap, left) {
		f.lateSince = time.Time{}
		return Keep
	}
	if f.lateSince.IsZero() {
		f.lateSince = now
	}
	if now.Before(f.nextAt) || now.Sub(f.lateSince) < s.turn(left) {
		return Keep
	}
	action := s.action(left, now.Sub(f.lateSince))
	if action != Keep {
		f.lateSince, f.nextAt = time.Time{}, now.Add(retryInterval)
	}
	return action
}

// IsLate reports whether the stream was expected to miss its deadline at the last decision.
func (f *Forecaster) IsLate() bool { return !f.lateSince.IsZero() }

// action returns what gives a stream that has been late for a time the best prospect of its deadline.
func (s Stream) action(left, late time.Duration) Action {
	paces := s.Paces()
	if len(paces) == 0 {
		return Keep
	}
	mayMove := s.Movable() && !s.isLate(s.TypicalGap, left-restartTime)
	switch {
	case mayMove && paces[0] >= SlowPace:
		return Move
	case hasSlowStage(paces[1:]):
		return Replace
	case mayMove && late >= knownAfter && s.Gap >= slowGapFactor*s.TypicalGap:
		return Move
	}
	return Keep
}

// turn returns how long a late stream waits while others that turned late at the same time change.
func (s Stream) turn(left time.Duration) time.Duration {
	return time.Duration(repairer.Share(s.ID) * float64(min(spreadTime, left/4)))
}
