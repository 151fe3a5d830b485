package tracker

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minListInterval is the minimum mean interval at which a daemon reads the list of VMs, and listRate the maximum
	// number of reads per second of all daemons together.
	minListInterval = time.Second
	listRate        = 2
	listTimeout     = 5 * time.Second
)

// pollVMs reads the list of VMs until ctx is done; the interval grows with the fleet, which bounds the total rate of all daemons.
func (t *Tracker) pollVMs(ctx context.Context) {
	var o outage
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := t.ListVMs(callCtx)
		cancel()
		if ctx.Err() == nil {
			t.logListOutage(&o, err)
		}
		if err == nil {
			t.enqueue(ctx, func(now time.Duration) []Message { return t.machine.SetVMs(now, vms, t.PeerAddress) })
		}
		if t.Clock.Sleep(ctx, t.listInterval()) != nil {
			return
		}
	}
}

// logListOutage logs the start and the end of an outage of the list, and reminders in between.
func (t *Tracker) logListOutage(o *outage, err error) {
	now := t.now()
	switch {
	case err == nil && o.recordSuccess():
		t.Log.Info().Dur("outage", now-o.since).Msg("VM list readable again")
	case err != nil && o.recordFailure(now):
		t.Log.Warn().Err(err).Dur("outage", now-o.since).Msg("could not read VM list")
	}
}

func (t *Tracker) listInterval() time.Duration {
	members := len(t.Fleet().Members)
	base := max(minListInterval, time.Duration(members)*time.Second/listRate)
	// Uniformly random around base, so that daemons started together spread out.
	return base/2 + rand.N(base)
}
