package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/refresher"
	"github.com/rattantray/rattantray/internal/storer"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	// minConfirmInterval is the minimum time between two confirmations that a gateway passes on.
	minConfirmInterval = 100 * time.Millisecond
	// confirmOverdue is the time without a confirmation by the lease holder after which others that have read the store confirm what
	// they have read.
	confirmOverdue = leaseDuration/3 + 200*time.Millisecond
)

// confirmationTimes holds the time of the latest confirmation that this gateway has sent; its zero value is ready to use.
type confirmationTimes struct {
	mu   sync.Mutex
	last time.Time
}

// advance records a confirmation as of a time, and reports whether that is at least interval later than the latest one.
func (c *confirmationTimes) advance(at time.Time, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Sub(c.last) < interval {
		return false
	}
	c.last = at
	return true
}

// configBounds and targetBounds return the bounds of the two copies. Only the entries of targets can lapse.
func (s Settings) configBounds() refresher.Bounds { return refresher.Bounds{Apply: s.ConfigApply} }

func (s Settings) targetBounds() refresher.Bounds {
	return refresher.Bounds{Apply: s.DrainTime, Renewal: s.TargetRenewal}
}

// interruptible returns a context that ends with follower.ErrSourceChanged once the copy is to be read from the store. The returned
// function ends it as well.
func (u *upstream) interruptible(ctx context.Context) (context.Context, func()) {
	ctx, interrupt := context.WithCancelCause(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.interrupt = interrupt
	if u.stale && u.peer != nil {
		interrupt(follower.ErrSourceChanged)
	}
	return ctx, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.interrupt = nil
		interrupt(nil)
	}
}

// setStale records whether the copy is too old to be read from a peer. If it is, the store is read at once, and again each time that
// retry has passed. It reports whether the copy has just become too old.
func (u *upstream) setStale(stale bool, retry time.Duration) (became bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	became = stale && !u.stale
	u.stale = stale
	now := u.gateway.Clock.Now()
	if stale && (became || now.Sub(u.interruptedAt) >= retry) {
		u.interruptedAt = now
		if u.interrupt != nil {
			u.interrupt(follower.ErrSourceChanged)
		}
	}
	return became
}

// level returns the number of daemons between this one and the store.
func (u *upstream) level() int {
	if u.readsStore() {
		return 0
	}
	_, level := watchLevels(candidates(u.gateway.allMembers()), u.gateway.Settings.Name)
	return level
}

// recordList records that the objects of the last list are applied, which confirms the copy if the store itself was read.
func (u *upstream) recordList() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.storeListedAt.IsZero() {
		u.gateway.recordStoreAnswer(u.gateway.Clock.Now())
		u.copy.Confirm(0, u.storeListedAt)
	}
}

// refresh makes the follower read the store itself if the copy is too old. It returns the time as of which the copy is complete, or
// the zero time before the first list.
func (u *upstream) refresh(b refresher.Bounds) time.Time {
	g, now := u.gateway, u.gateway.Clock.Now()
	asOf, lacking := u.copy.Reach(u.version())
	began := asOf
	if asOf.IsZero() {
		// The age counts from the first list, whatever its source, and confirms nothing.
		if u.firstListAt.IsZero() {
			u.firstListAt = now
		}
		began = u.firstListAt
	}
	age := now.Sub(began)
	stale := age >= b.MaxAge(0) && age >= b.MaxAge(u.level())
	if !u.setStale(stale, b.MaxAge(0)) {
		return asOf
	}
	g.Log.Info().Str("prefix", u.prefix).Dur("age", age).Bool("lacks-confirmed", lacking).Str("source", u.sourceName()).
		Msg("copy is too old, reading the store")
	if lacking {
		u.avoidPeer()
	}
	return asOf
}

// refreshCopies reads from the store what is too old here, and confirms to the others what was read while the lease holder is silent.
func (g *Gateway) refreshCopies() {
	_, targetsListed := g.targetFollower.Revision()
	_, configListed := g.configFollower.Revision()
	if !targetsListed || !configListed {
		return
	}
	asOf := g.configUpstream.refresh(g.Settings.configBounds())
	if t := g.targetUpstream.refresh(g.Settings.targetBounds()); t.Before(asOf) {
		asOf = t
	}
	if g.configUpstream.readsStore() && g.targetUpstream.readsStore() && g.confirmations.advance(asOf, confirmOverdue) {
		g.sendConfirmation(g.ownRevisions(), asOf)
	}
}

// version returns the version of the copy, as confirmations name it.
func (u *upstream) version() uint64 {
	g := u.gateway
	if u.prefix == g.Settings.ConfigPrefix {
		return g.configVersion()
	}
	revision, _ := g.targetFollower.Revision()
	return uint64(revision)
}

// copyAge returns how long ago a copy is known to have been complete, in seconds, or 0 before the first list.
func (g *Gateway) copyAge(u *upstream) float64 {
	asOf, _ := u.copy.Reach(u.version())
	if asOf.IsZero() {
		return 0
	}
	return g.Clock.Now().Sub(asOf).Seconds()
}

// confirmedAt returns the time as of which both copies are complete, or the zero time if that is unknown.
func (g *Gateway) confirmedAt() time.Time {
	config, _ := g.configUpstream.copy.Reach(g.configUpstream.version())
	targets, _ := g.targetUpstream.copy.Reach(g.targetUpstream.version())
	if targets.Before(config) {
		return targets
	}
	return config
}

// ownRevisions returns the versions that this gateway has.
func (g *Gateway) ownRevisions() revisions {
	return revisions{config: g.configVersion(), targets: g.targetFollower.LastChange()}
}

// storeWasAvailable reports whether the store is known to have answered gateways since a time, without an outage in which entries lapse.
func (g *Gateway) storeWasAvailable(since time.Time) bool {
	return g.availability.Lasted(since, g.Clock.Now(), g.Settings.targetBounds())
}

// recordStoreAnswer records that the store answered a gateway at a time. It is the time of the answer, as the call may have waited through
// an outage.
func (g *Gateway) recordStoreAnswer(at time.Time) {
	g.availability.Record(at, g.Settings.targetBounds())
}

// outageReturnTime returns how long targets may still reappear whose entries lapsed while no gateway is known to have had an answer.
func (g *Gateway) outageReturnTime() time.Duration {
	return g.availability.ReturnTime(g.Clock.Now(), follower.ReturnWindow, g.Settings.targetBounds())
}

// confirmOwnCopies records that this gateway's copies were complete at a time, and tells the others.
func (g *Gateway) confirmOwnCopies(at time.Time) { g.handleConfirmation(g.ownRevisions(), at) }

// messageTime returns the time that was messageAge ago as a message was sent. It returns false if that is unknown, as when the message may
// have waited here.
func (g *Gateway) messageTime(ageMS uint32) (time.Time, bool) {
	now := g.Clock.Now()
	return now.Add(-time.Duration(ageMS) * time.Millisecond), ageMS > 0 && !g.pauses.JustEnded(now)
}

// handleConfirmation records that the store held nothing newer than some versions at a time, and passes it on.
func (g *Gateway) handleConfirmation(r revisions, at time.Time) {
	g.recordConfirmation(r, at)
	if g.confirmations.advance(at, minConfirmInterval) {
		g.sendConfirmation(r, at)
	}
}

// recordConfirmation records that the store held nothing newer than some versions at a time.
func (g *Gateway) recordConfirmation(r revisions, at time.Time) {
	g.configUpstream.copy.Confirm(r.config, at)
	g.targetUpstream.copy.Confirm(uint64(r.targets), at)
}

// sendConfirmation sends a confirmation to the next level, and to the readers of the store if this gateway is one.
func (g *Gateway) sendConfirmation(r revisions, at time.Time) {
	recipients := g.successorsInLevels()
	if g.targetUpstream.readsStore() {
		recipients = slices.Concat(recipients, g.storeReaders())
	}
	now := g.Clock.Now()
	g.sendRevisions(recipients, &peerv1.GatewayRevisions{
		Epoch: g.epoch, ConfigVersion: r.config, TargetsRevision: uint64(r.targets),
		ConfirmedAgeMs: messageAge(now, at), AnsweredAgeMs: messageAge(now, g.availability.Last()),
	})
}

// messageAge returns how long ago a time is, in milliseconds and at least 1, or 0 if it is unknown.
func messageAge(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return ageMS(now, at) + 1
}

// sendRevisions sends a message to the handlers of revisions of some gateways.
func (g *Gateway) sendRevisions(recipients []cataloger.Member, m *peerv1.GatewayRevisions) {
	for _, r := range recipients {
		if err := g.poster.Notify(r.PeerAddress, revisionsMethod, m); err != nil {
			g.Log.Debug().Err(err).Str("peer", r.Name).Msg("failed to send revisions")
		}
	}
}

// decodeRevisions returns the versions in a message of a peer.
func decodeRevisions(config, targets uint64) revisions {
	return revisions{config: config, targets: storer.Point(targets)}
}
