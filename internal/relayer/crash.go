package relayer

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/quarantiner"
)

const (
	// crashCheckWait is how long a request waits to learn whether its target crashed, before it is sent elsewhere.
	crashCheckWait = 50 * time.Millisecond
	// crashCheckInterval is how long the result that a target runs holds.
	crashCheckInterval = 250 * time.Millisecond
	// evidenceDelay is how long evidence is collected before other daemons are told of it, as a crash ends many streams at once.
	evidenceDelay = 5 * time.Millisecond
	// maxCrashChecks bounds the results that are kept.
	maxCrashChecks = 1024
)

// crashCheck is a check whether a target has crashed.
type crashCheck struct {
	incarnation uint64
	startedAt   time.Time
	// done is closed once crashed is known.
	done    chan struct{}
	crashed bool
}

// result returns whether the target crashed; known is false while the check runs.
func (c *crashCheck) result() (crashed, known bool) {
	select {
	case <-c.done:
		return c.crashed, true
	default:
		return false, false
	}
}

// checkCrash returns the check whether a target whose connection broke has crashed, and starts it if there is no recent one.
// A target that crashed refuses connections, while one that only reset some still accepts them, and one that can't be reached
// does not answer.
func (r *Relayer) checkCrash(t cataloger.Target) *crashCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if c := r.crashChecks[t.Name]; c != nil && c.incarnation == t.Incarnation {
		if crashed, known := c.result(); !known || crashed || now.Sub(c.startedAt) < crashCheckInterval {
			return c
		}
	}
	if len(r.crashChecks) >= maxCrashChecks {
		clear(r.crashChecks)
	}
	c := &crashCheck{incarnation: t.Incarnation, startedAt: now, done: make(chan struct{})}
	r.crashChecks[t.Name] = c
	go func() {
		defer close(c.done)
		c.crashed = r.Backend.Refuses(context.Background(), t)
		if c.crashed {
			r.markLost(t, "it refuses connections after one broke")
		}
	}()
	return c
}

// hasCrashed reports whether a target is known to have crashed.
func (r *Relayer) hasCrashed(t cataloger.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.crashChecks[t.Name]
	if c == nil || c.incarnation != t.Incarnation {
		return false
	}
	crashed, _ := c.result()
	return crashed
}

// handleBrokenConnection checks whether a target whose connection broke has crashed, and waits for the result for up to
// crashCheckWait. It calls record with the incarnation that crashed.
func (r *Relayer) handleBrokenConnection(t cataloger.Target, record func(target uint32) (urgent bool)) {
	check := r.checkCrash(t)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		<-check.done
		if check.crashed {
			r.recordCrash(t, record)
		}
	}()
	expired := make(chan struct{})
	stop := r.Clock.AfterFunc(crashCheckWait, func() { close(expired) })
	defer stop()
	select {
	case <-recorded:
	case <-expired:
	}
}

// admit decides how a request with keys may be sent, and tells other daemons of a trial.
func (r *Relayer) admit(keys []quarantiner.Key) quarantiner.Decision {
	d := r.Quarantiner.Admit(keys)
	if d.Trial {
		r.OnEvidence()
	}
	return d
}

// recordCrash records the crash of a target, unless it was leaving, and tells other daemons if that is urgent.
func (r *Relayer) recordCrash(t cataloger.Target, record func(target uint32) (urgent bool)) {
	if v, ok := r.Targets.Get(t.Name); ok && v.Incarnation == t.Incarnation && v.SinceLeaving > 0 {
		return
	}
	if !record(quarantiner.TargetID(t.Name, t.Incarnation)) || r.reporting.Swap(true) {
		return
	}
	r.Clock.AfterFunc(evidenceDelay, func() {
		r.reporting.Store(false)
		r.OnEvidence()
		r.EndQuarantined()
	})
}

// awaitsCrashCheck reports whether it is still to be found out, for up to crashCheckWait, whether the lost first target of a stream
// has crashed that it had not answered. If it has, that is recorded against the stream, whose connection may break later.
func (r *Relayer) awaitsCrashCheck(g *generation, lost map[string]bool, now time.Time) bool {
	g.mu.Lock()
	l, harmless, started := g.current, g.harmless, g.started
	g.mu.Unlock()
	if l == nil || harmless || !lost[l.first.Name] {
		return false
	}
	check := r.checkCrash(l.first)
	crashed, known := check.result()
	if crashed {
		r.recordCrash(l.first, func(target uint32) bool { return g.recordCrash(target, l.hasBegun() && !started) })
	}
	return !known && now.Sub(check.startedAt) < crashCheckWait
}

// EndQuarantined ends the sends that would crash their targets; call it once there is new evidence.
func (r *Relayer) EndQuarantined() {
	for _, g := range r.inProgress() {
		g.endQuarantined()
	}
}
