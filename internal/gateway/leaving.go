package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/relayer"
)

const (
	// lingerTime is how long a leaving daemon goes on taking requests of clients that still have its address; what it takes
	// later than 3 s after the signal it may not give up.
	lingerTime = 2800 * time.Millisecond
	// standInPause is the time between two looks whether another daemon takes requests, and standInMargin is left at the end
	// for those in progress.
	standInPause  = 50 * time.Millisecond
	standInMargin = 500 * time.Millisecond
	// idleTime is how long a daemon without requests waits for one on the connections that it still has.
	idleTime = 400 * time.Millisecond
	// stopMargin is kept of the time that the platform grants between its signal and the kill.
	stopMargin = 300 * time.Millisecond
)

// drain tells everybody that this daemon leaves, goes on with what comes for a while, and returns when the last request is
// answered.
func (g *Gateway) drain(ctx context.Context) error {
	now, left := g.Clock.Now(), g.Settings.Grace-stopMargin
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	g.leaving.Store(true)
	g.departures.See(g.Settings.Name, g.epoch, true, now)
	g.tracker.Leave(ctx)
	g.Log.Info().Int64("requests", g.active.Load()).Msg("gateway leaves")
	_ = g.Clock.Sleep(ctx, lingerTime)
	g.standIn(ctx, now.Add(left))
	err := g.finish(ctx)
	g.Log.Info().Int64("requests", g.active.Load()).Err(err).Msg("gateway has drained")
	return err
}

// finish returns when the last request is answered. While no daemon takes requests, connections on which none has come are not
// waited for: the sooner this one is back, the better.
func (g *Gateway) finish(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- g.client.Shutdown(ctx) }()
	quiet := time.Duration(0)
	for {
		select {
		case err := <-done:
			return err
		default:
		}
		if g.active.Load() > 0 || g.othersReady() {
			quiet = 0
		}
		if quiet >= idleTime {
			return g.client.Close()
		}
		if g.Clock.Sleep(ctx, standInPause) != nil {
			return <-done
		}
		quiet += standInPause
	}
}

// standIn goes on while there is no other daemon to take requests: with those that are sure to end before this one does, and
// the others are told when one will be back.
func (g *Gateway) standIn(ctx context.Context, ends time.Time) {
	for !g.relieved() && g.Clock.Now().Before(ends.Add(-standInMargin)) {
		back := g.departures.Back(g.Clock.Now(), g.Settings.Grace+restartTime)
		if g.relayer.BeginClosing(relayer.Closing{EndsAt: ends, ReplacedAt: back}) {
			g.Log.Info().Time("back", back).Msg("gateway stands in")
		}
		if g.Clock.Sleep(ctx, standInPause) != nil {
			return
		}
	}
}

// relieved tells whether another daemon takes requests, or began to leave later than this one.
func (g *Gateway) relieved() bool {
	return g.othersReady() || slices.ContainsFunc(g.others(), func(m cataloger.Member) bool {
		return m.State == cataloger.StateLeaving && g.departures.Later(m.Name, g.Settings.Name)
	})
}

// othersReady tells whether another daemon takes requests.
func (g *Gateway) othersReady() bool { return slices.ContainsFunc(g.others(), takesRequests) }
