package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/relayer"
)

const (
	// lingerTime is how long a leaving daemon keeps accepting requests of clients that still have its address, at most half of
	// the time that it has. A request accepted later than 3 s after the signal must run to its end.
	lingerTime = 2800 * time.Millisecond
	// standInInterval is the time between two checks whether another daemon accepts requests; standInMargin is reserved
	// at the end for requests in progress.
	standInInterval = 50 * time.Millisecond
	standInMargin   = 500 * time.Millisecond
	// idleTime is how long a daemon without requests waits for one on its remaining connections.
	idleTime = 400 * time.Millisecond
	// stopMargin is reserved from the time that the platform grants between its signal and the kill.
	stopMargin = 300 * time.Millisecond
	// refusalMargin is reserved before connections are closed, for refusals of the requests that have no answer by then.
	refusalMargin = 200 * time.Millisecond
)

// drain announces that this daemon leaves, keeps serving for a while, and returns once the last request is answered.
func (g *Gateway) drain(ctx context.Context) error {
	now, remaining := g.Clock.Now(), g.Settings.Grace-stopMargin
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	defer g.Clock.AfterFunc(remaining-refusalMargin, g.relayer.RefuseUnanswered)()
	g.leaving.Store(true)
	g.departures.Record(g.Settings.Name, g.epoch, true, now)
	g.tracker.Leave(ctx)
	g.Log.Info().Int64("requests", g.activeRequests.Load()).Msg("gateway leaves")
	_ = g.Clock.Sleep(ctx, min(lingerTime, remaining/2))
	g.serveUntilReplaced(ctx, now.Add(remaining))
	err := g.awaitRequests(ctx)
	g.awaitTunnels(ctx)
	if g.activeRequests.Load() == 0 {
		// Shutdown looks for open connections every half a second only, and may not see the last request end.
		err = nil
	}
	g.Log.Info().Int64("requests", g.activeRequests.Load()).Err(err).Msg("gateway drained")
	return err
}

// awaitTunnels returns once no other daemon's requests pass this one.
func (g *Gateway) awaitTunnels(ctx context.Context) {
	for g.door.Active() > 0 && g.Clock.Sleep(ctx, standInInterval) == nil {
	}
}

// awaitRequests returns once the last request is answered. While no daemon accepts requests, it does not wait for idle
// connections: the sooner this daemon restarts, the better.
func (g *Gateway) awaitRequests(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- g.client.Shutdown(ctx) }()
	idle := time.Duration(0)
	for {
		select {
		case err := <-done:
			return err
		default:
		}
		if g.activeRequests.Load() > 0 || g.othersReady() {
			idle = 0
		}
		if idle >= idleTime {
			return g.client.Close()
		}
		if g.Clock.Sleep(ctx, standInInterval) != nil {
			return <-done
		}
		idle += standInInterval
	}
}

// serveUntilReplaced keeps accepting requests while no other daemon does: those whose deadline is before this daemon ends. The rest
// are refused with the time when a daemon will be back.
func (g *Gateway) serveUntilReplaced(ctx context.Context, endsAt time.Time) {
	for !g.hasReplacement() && g.Clock.Now().Before(endsAt.Add(-standInMargin)) {
		returnsAt := g.departures.NextReturn(g.Clock.Now(), g.Settings.Grace+restartTime)
		if g.relayer.BeginClosing(relayer.Closing{EndsAt: endsAt, ReplacedAt: returnsAt}) {
			g.Log.Info().Time("back", returnsAt).Msg("gateway stands in")
		}
		if g.Clock.Sleep(ctx, standInInterval) != nil {
			return
		}
	}
}

// hasReplacement reports whether another daemon accepts requests, or began to leave later than this one.
func (g *Gateway) hasReplacement() bool {
	return g.othersReady() || slices.ContainsFunc(g.others(), func(m cataloger.Member) bool {
		return m.State == cataloger.StateLeaving && g.departures.LeftLater(m.Name, g.Settings.Name)
	})
}

// othersReady reports whether another daemon accepts requests.
func (g *Gateway) othersReady() bool { return slices.ContainsFunc(g.others(), acceptsRequests) }
