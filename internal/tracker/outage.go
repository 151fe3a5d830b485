package tracker

import "time"

const (
	// firstReminder is the time from the first failure to the next one that is told, and maxReminder the longest time between two.
	firstReminder = 10 * time.Second
	maxReminder   = 10 * time.Minute
)

// outage tells which failures in a row are worth a line in the log: the first, then ever fewer; its zero value knows of none.
type outage struct {
	failing bool
	since   time.Duration
	next    time.Duration
	wait    time.Duration
}

// fail notes a failure and tells whether to log it.
func (o *outage) fail(now time.Duration) bool {
	if !o.failing {
		o.failing = true
		o.since = now
		o.wait = firstReminder
		o.next = now + o.wait
		return true
	}
	if now < o.next {
		return false
	}
	o.wait = min(2*o.wait, maxReminder)
	o.next = now + o.wait
	return true
}

// end notes a success and tells whether it ends an outage.
func (o *outage) end() bool {
	failing := o.failing
	o.failing = false
	return failing
}
