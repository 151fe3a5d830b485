package tracker

import (
	"time"
)

const (
	// strainedTicks is the gap, in ticks, from which on a daemon counts as short of processor time.
	strainedTicks = 2
	// strainedTime is for how long after such a gap, and strainedFactor how much more patient it is.
	strainedTime   = 5 * time.Second
	strainedFactor = 2
)

// advance moves the machine's time on and tells whether the clock has made a jump, as after a pause.
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
	if gap > strainedTicks*m.options.TickInterval {
		m.strainedUntil = m.now + strainedTime
	}
	return false
}

// silence returns how long a member may be silent: longer while this daemon gets too little processor time to judge.
func (m *Machine) silence() time.Duration {
	if m.now < m.strainedUntil {
		return strainedFactor * m.options.SilenceTimeout
	}
	return m.options.SilenceTimeout
}

// resumeAfterPause keeps the daemon's own pause from being taken for the silence of others.
func (m *Machine) resumeAfterPause() {
	for _, d := range m.watched {
		*d = doubt{graceFrom: m.now}
	}
	clear(m.votes)
}
