package quarantiner

import "time"

// answeredTimes holds when keys were last answered, for the keys answered latest; its zero value is ready to use.
type answeredTimes struct {
	current  map[Key]time.Time
	previous map[Key]time.Time
}

// get returns when a key was last answered, or the zero time.
func (t *answeredTimes) get(k Key) time.Time {
	if at, ok := t.current[k]; ok {
		return at
	}
	return t.previous[k]
}

// set records when a key was answered. It drops the older half of the keys once there are maxAnswered.
func (t *answeredTimes) set(k Key, at time.Time) {
	if _, ok := t.current[k]; !ok && len(t.current) >= maxAnswered/2 || t.current == nil {
		t.previous, t.current = t.current, map[Key]time.Time{}
	}
	t.current[k] = at
}
