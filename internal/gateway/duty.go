package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// dutyName is the lease of the daemon that places layers.
	dutyName = "placement"
	// dutyInterval is the time between two checks of which daemon is the first choice.
	dutyInterval = 200 * time.Millisecond
	// noHolderReadInterval is the time between two reads of the store while nobody holds the lease. A holder's writes
	// reveal changes that watches miss, and a configuration change may take two seconds.
	noHolderReadInterval = 800 * time.Millisecond
)

// duty tracks this daemon's part in the duty of ordering placements.
type duty struct {
	leaser *leaser.Leaser

	mu    sync.Mutex
	lease *leaser.Lease
	// firstChoice is true while this daemon is the first choice among the daemons that it sees.
	firstChoice bool
	// lastHeldOrRead is when the lease last had a known holder, or the store was read instead; only runDuty uses it.
	lastHeldOrRead time.Time
	// cancelAcquire cancels the wait for the lease; nil if there is none.
	cancelAcquire context.CancelFunc
}

// valid reports whether this daemon holds the lease.
func (d *duty) valid() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease != nil && d.lease.Valid()
}

func (d *duty) isFirstChoice() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstChoice
}

// holdsDuty reports whether this daemon orders placements. The lease keeps two daemons from doing so at the same time,
// which would be wasteful but not wrong: a target refuses an order that expects another number of placements. So the
// first choice does not wait for the lease while its holder is unreachable or the store is down.
func (g *Gateway) holdsDuty() bool {
	if g.duty.valid() {
		return true
	}
	if !g.duty.isFirstChoice() {
		return false
	}
	return !g.peerHoldsDuty()
}

// peerHoldsDuty reports whether a reachable daemon holds the lease.
func (g *Gateway) peerHoldsDuty() bool {
	return slices.ContainsFunc(g.others(), hasTrait(traitHoldsDuty))
}

// candidates returns the daemons that may take over the duty: those that reach the store, or all if none does.
func candidates(members []cataloger.Member) []cataloger.Member {
	var reaching, others []cataloger.Member
	for _, m := range members {
		switch {
		case !acceptsRequests(m):
		case hasTrait(traitReachesStore)(m):
			reaching = append(reaching, m)
		default:
			others = append(others, m)
		}
	}
	if len(reaching) > 0 {
		return reaching
	}
	return others
}

// isFirstChoice reports whether this daemon is the first choice for the duty.
func (g *Gateway) isFirstChoice() bool {
	if !g.settled() {
		return false
	}
	m, ok := tracker.Rendezvous(candidates(g.allMembers()), dutyName)
	return ok && m.Name == g.Settings.Name
}

// runDuty holds the lease while this daemon is the first choice.
func (g *Gateway) runDuty(ctx context.Context) error {
	g.duty.lastHeldOrRead = g.Clock.Now()
	for g.Clock.Sleep(ctx, dutyInterval) == nil {
		g.rereadWhileLeaseUnheld()
		first := g.isFirstChoice()
		d := &g.duty
		d.mu.Lock()
		d.firstChoice = first
		lease := d.lease
		if lease != nil && (!first || !lease.Valid()) {
			d.lease = nil
		}
		switch {
		case first && d.lease == nil && d.cancelAcquire == nil:
			var acquire context.Context
			acquire, d.cancelAcquire = context.WithCancel(ctx)
			go g.acquire(acquire)
		case !first && d.cancelAcquire != nil:
			d.cancelAcquire()
		}
		d.mu.Unlock()
		if lease != nil && !first {
			if err := lease.Release(ctx); err != nil {
				g.Log.Info().Err(err).Msg("failed to release lease, it will expire")
			}
		}
	}
	return nil
}

// rereadWhileLeaseUnheld rereads the store periodically while nobody holds the lease and writes to it.
func (g *Gateway) rereadWhileLeaseUnheld() {
	d, now := &g.duty, g.Clock.Now()
	held := d.valid() || g.peerHoldsDuty()
	if !held && now.Sub(d.lastHeldOrRead) < noHolderReadInterval {
		return
	}
	d.lastHeldOrRead = now
	if !held {
		g.rereadStore()
	}
}

// acquire waits for the lease until ctx is done.
func (g *Gateway) acquire(ctx context.Context) {
	lease, err := g.duty.leaser.Acquire(ctx, dutyName)
	g.duty.mu.Lock()
	defer g.duty.mu.Unlock()
	g.duty.cancelAcquire()
	g.duty.cancelAcquire = nil
	if err != nil {
		g.Log.Info().Err(err).Msg("failed to acquire lease")
		return
	}
	g.duty.lease = lease
	g.Log.Info().Uint64("fencing", lease.Fencing()).Msg("acquired duty of placing layers")
}
