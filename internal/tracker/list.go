package tracker

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minListInterval and listRate bound how often a daemon reads the list of VMs, and how often all daemons together do.
	minListInterval = time.Second
	listRate        = 2
	listTimeout     = 5 * time.Second
)

// readList reads the list of VMs; the interval grows with the fleet, so that all daemons together keep one rate.
func (t *Tracker) readList(ctx context.Context) {
	var o outage
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := t.ListVMs(callCtx)
		cancel()
		if ctx.Err() == nil {
			t.logList(&o, err)
		}
		if err == nil {
			t.post(ctx, func(now time.Duration) []Message { return t.machine.SetVMs(now, vms, t.PeerAddress) })
		}
		if t.Clock.Sleep(ctx, t.listInterval()) != nil {
			return
		}
	}
}

// logList logs the start and the end of an outage, and reminds of it in between.
func (t *Tracker) logList(o *outage, err error) {
	now := t.now()
	switch {
	case err == nil && o.end():
		t.Log.Info().Dur("outage", now-o.since).Msg("list of VMs read again")
	case err != nil && o.fail(now):
		t.Log.Warn().Err(err).Dur("outage", now-o.since).Msg("list of VMs not read")
	}
}

func (t *Tracker) listInterval() time.Duration {
	members := len(t.Fleet().Members)
	base := max(minListInterval, time.Duration(members)*time.Second/listRate)
	// Drawn evenly around the base, so that daemons started together spread out.
	return base/2 + rand.N(base)
}
