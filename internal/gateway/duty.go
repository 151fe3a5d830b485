package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// dutyName is the lease of the daemon that places layers.
	dutyName = "placement"
	// dutyPause is the time between two looks at who comes first.
	dutyPause = 200 * time.Millisecond
)

// duty is the place of the daemon that gives orders.
type duty struct {
	leaser *leaser.Leaser

	mu    sync.Mutex
	lease *leaser.Lease
	// first tells whether this daemon comes first among those that it hears.
	first bool
}

// holdsDuty tells whether this daemon gives orders. While the store is away nobody can take the lease, and the daemon that
// comes first goes on without: targets refuse an order that expects another number of placements.
func (g *Gateway) holdsDuty() bool {
	d := &g.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease != nil && d.lease.Valid() {
		return true
	}
	return d.first && g.listed.Failing()
}

// comesFirst tells whether this daemon is the first choice for the duty.
func (g *Gateway) comesFirst() bool {
	if !g.Ready() || !g.gossiper.Settled() {
		return false
	}
	members := []cataloger.Member{{Name: g.Settings.Name}}
	for _, h := range g.gossiper.Alive() {
		if h.GetReady() && !h.GetLeaving() {
			members = append(members, cataloger.Member{Name: h.GetName()})
		}
	}
	first, ok := tracker.Rendezvous(members, dutyName)
	return ok && first.Name == g.Settings.Name
}

// runDuty holds the lease while this daemon comes first.
func (g *Gateway) runDuty(ctx context.Context) error {
	for g.Clock.Sleep(ctx, dutyPause) == nil {
		first := g.comesFirst()
		g.duty.mu.Lock()
		g.duty.first = first
		lease := g.duty.lease
		g.duty.mu.Unlock()
		switch {
		case lease != nil && !lease.Valid():
			g.setLease(nil)
		case lease != nil && !first:
			g.setLease(nil)
			if err := lease.Release(ctx); err != nil {
				g.Log.Info().Err(err).Msg("lease not freed, it runs out")
			}
		case lease == nil && first:
			g.acquire(ctx)
		}
	}
	return nil
}

// acquire waits for the lease for a while.
func (g *Gateway) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	lease, err := g.duty.leaser.Acquire(ctx, dutyName)
	if err != nil {
		g.Log.Info().Err(err).Msg("lease not held")
		return
	}
	g.setLease(lease)
	g.Log.Info().Uint64("fencing", lease.Fencing()).Msg("duty of placing layers held")
}

func (g *Gateway) setLease(l *leaser.Lease) {
	g.duty.mu.Lock()
	defer g.duty.mu.Unlock()
	g.duty.lease = l
}
