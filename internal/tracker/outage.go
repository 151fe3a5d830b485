package tracker

import "time"

const (
	// firstReminder is the time from the first logged failure to the next one, and maxReminder the maximum time between two.
	firstReminder = 10 * time.Second
	maxReminder   = 10 * time.Minute
)

// outage selects which consecutive failures to log: the first, then ones at growing intervals. Its zero value has no outage.
type outage struct {
	failing   bool
	since     time.Duration
	nextLogAt time.Duration
	interval  time.Duration
}

// recordFailure records a failure and reports whether to log it.
func (o *outage) recordFailure(now time.Duration) bool {
	if !o.failing {
		o.failing = true
		o.since = now
		o.interval = firstReminder
		o.nextLogAt = now + o.interval
		return true
	}
	if now < o.nextLogAt {
		return false
	}
	o.interval = min(2*o.interval, maxReminder)
	o.nextLogAt = now + o.interval
	return true
}

// recordSuccess records a success and reports whether it ends an outage.
func (o *outage) recordSuccess() bool {
	failing := o.failing
	o.failing = false
	return failing
}
