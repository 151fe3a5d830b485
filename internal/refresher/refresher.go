package refresher

import (
	"slices"
	"sync"
	"time"
)

const (
	// levelDelay is the time between the reads of two levels of daemons, within which a copy that the first level has read reaches the
	// next one.
	levelDelay = 250 * time.Millisecond
	// deepestLevel is the last level that waits for the one before.
	deepestLevel = 2
	// agingShare is the share of the bound during which a copy may age. The rest is for the check of the age, the pause before the read,
	// the read from a slow store and its application.
	agingShare = 2.0 / 3
	// minAge keeps a short bound from causing reads without a pause.
	minAge = 400 * time.Millisecond
	// renewals is how many times the owner of an object renews it while a copy ages. An object lapses after more missed renewals, so
	// every daemon that is to hold back lapsed objects has noticed the outage by then.
	renewals = 1.4
	// maxPending bounds the confirmations of versions that a copy lacks.
	maxPending = 32
)

// Bounds are the times that limit the age of a copy.
type Bounds struct {
	// Apply is how long a change in the store may take to be applied by all daemons.
	Apply time.Duration
	// Renewal is how often the owners of the objects renew them; 0 is unknown.
	Renewal time.Duration
}

// MaxAge returns the age at which a daemon reads the store itself. Level 0 reads the store anyway, and each further level reads from
// the one before.
func (b Bounds) MaxAge(level int) time.Duration {
	last := time.Duration(agingShare * float64(b.Apply))
	if b.Renewal > 0 {
		last = min(last, b.MaxGap())
	}
	return max(last-time.Duration(max(deepestLevel-level, 0))*levelDelay, minAge)
}

// confirmation says that the store held nothing newer than version at a time.
type confirmation struct {
	version uint64
	at      time.Time
}

// Copy tracks the time up to which a copy is known to be complete. It is safe for concurrent use.
type Copy struct {
	mu sync.Mutex
	// asOf is that time; zero until the copy was first read.
	asOf time.Time
	// pending holds the confirmations of versions that the copy lacks, by version.
	pending []confirmation
}

// Confirm records that the store held nothing newer than version at a time.
func (c *Copy) Confirm(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.After(c.asOf) {
		return
	}
	i, found := slices.BinarySearchFunc(c.pending, version, func(p confirmation, version uint64) int {
		switch {
		case p.version < version:
			return -1
		case p.version > version:
			return 1
		}
		return 0
	})
	switch {
	case found && at.After(c.pending[i].at):
		c.pending[i].at = at
	case !found && len(c.pending) < maxPending:
		c.pending = slices.Insert(c.pending, i, confirmation{version, at})
	}
}

// Reach records that the copy holds everything up to version, and returns the time up to which it is known to be complete and whether
// it lacks a confirmed version.
func (c *Copy) Reach(version uint64) (asOf time.Time, lacking bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.version <= version && p.at.After(c.asOf) {
			c.asOf = p.at
		}
	}
	c.pending = slices.DeleteFunc(c.pending, func(p confirmation) bool { return p.version <= version || !p.at.After(c.asOf) })
	return c.asOf, len(c.pending) > 0
}
