package tracker

import (
	"time"
)

const (
	// starvedTicks is the gap, in ticks, above which a daemon counts as short of processor time.
	starvedTicks = 2
	// starvedPeriod is how long a daemon counts as starved after such a gap; starvedSilenceFactor lengthens its silence
	// timeout meanwhile.
	starvedPeriod        = 5 * time.Second
	starvedSilenceFactor = 2
)

// advance moves the machine's time forward and reports whether the clock has jumped ahead, as after a pause.
func (m *Machine) advance(now time.Duration) bool {
	gap := now + m.offset - m.now
	jumped := gap > m.options.PauseThreshold
	if jumped || gap < 0 {
		next := m.now
		if jumped {
			next += m.options.TickInterval
		}
		m.offset = next - now
		m.now = next
		return jumped
	}
	m.now += gap
	if gap > starvedTicks*m.options.TickInterval {
		m.starvedUntil = m.now + starvedPeriod
	}
	return false
}

// silenceTimeout returns how long a member may be silent: longer while this daemon is too short of processor time to judge.
func (m *Machine) silenceTimeout() time.Duration {
	if m.now < m.starvedUntil {
		return starvedSilenceFactor * m.options.SilenceTimeout
	}
	return m.options.SilenceTimeout
}

// resumeAfterPause resets all checks and pending votes, so that the daemon's own pause does not count as silence of others.
func (m *Machine) resumeAfterPause() {
	for _, check := range m.watched {
		*check = livenessCheck{graceFrom: m.now}
	}
	clear(m.pendingVotes)
}
