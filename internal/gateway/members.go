package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/tracker"
)

// Traits of a daemon.
const (
	// traitReady daemons take requests.
	traitReady = 1 << iota
	// traitReachesStore daemons had an answer to their last calls to the store.
	traitReachesStore
	// traitHoldsDuty marks the daemon that holds the lease of placing layers.
	traitHoldsDuty
)

const (
	// traitPause is the least time between two changes of what this daemon tells of itself, but for its getting ready.
	traitPause = 500 * time.Millisecond
	// memberInterval is the time between two looks at the members and at this daemon's own traits.
	memberInterval = 50 * time.Millisecond
	// settleTime is how long a daemon needs to hear the others where all start together, quietTime without a new one ends the
	// start of a large fleet, and maxSettleTime in any case.
	settleTime    = 1200 * time.Millisecond
	quietTime     = 600 * time.Millisecond
	maxSettleTime = 4 * time.Second
)

// memberOptions are those of membership over datagrams in one region: a daemon that is off is out of all answers to clients
// within 1.6 s, most of the time sooner.
func memberOptions() tracker.Options {
	return tracker.Options{
		HeartbeatInterval: 250 * time.Millisecond,
		SilenceTimeout:    700 * time.Millisecond,
		ConfirmTimeout:    300 * time.Millisecond,
		VoteTimeout:       150 * time.Millisecond,
		// Datagrams need no connection to be opened first.
		FirstMessageGrace:      3 * time.Second,
		InitialContactInterval: 100 * time.Millisecond,
		// A datagram of so many entries is a few kilobytes.
		MaxMessageEntries: 32,
	}
}

// membership is the view of the other daemons at one moment; readers must not change it.
type membership struct {
	// others are those that are there and stay or leave, by name.
	others []cataloger.Member
	// grown is when the last of them was first seen.
	grown time.Time
}

// toldTraits are what this daemon last told of itself.
type toldTraits struct {
	traits uint32
	at     time.Time
}

// newTracker returns the membership of this daemon, whose messages post carries.
func (g *Gateway) newTracker() *tracker.Tracker {
	t := &tracker.Tracker{
		Local: cataloger.Member{
			Name: g.Settings.Name, Incarnation: g.epoch, Epoch: g.epoch, Address: g.Settings.ClientListen, PeerAddress: g.Settings.PeerListen,
			DataCentre: cataloger.DataCentre(g.Settings.DataCentre), Region: g.Settings.Region,
		},
		Seeds: g.Settings.Seeds, Link: g.poster.Link(), Options: memberOptions(), Clock: g.Clock,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: g.Log,
	}
	g.poster.Handle(tracker.Method, t.Handle)
	return t
}

// others returns the other daemons that are there, those that leave among them.
func (g *Gateway) others() []cataloger.Member { return g.members.Load().others }

// self returns this daemon as the others are to see it.
func (g *Gateway) self() cataloger.Member {
	m := g.tracker.Local
	m.Traits = g.traits()
	if g.leaving.Load() {
		m.State = cataloger.StateLeaving
	} else {
		m.State = cataloger.StateLive
	}
	return m
}

// all returns the daemons that are there, this one among them.
func (g *Gateway) all() []cataloger.Member { return append(slices.Clip(g.others()), g.self()) }

func (g *Gateway) traits() uint32 {
	var traits uint32
	for trait, is := range map[uint32]bool{
		traitReady: g.Ready(), traitReachesStore: g.reachesStore(), traitHoldsDuty: g.duty.valid(),
	} {
		if is {
			traits |= trait
		}
	}
	return traits
}

// has tells whether a daemon says so of itself.
func has(trait uint32) func(m cataloger.Member) bool {
	return func(m cataloger.Member) bool { return m.Traits&trait != 0 }
}

// takesRequests tells whether a daemon is ready and stays.
func takesRequests(m cataloger.Member) bool {
	return m.State == cataloger.StateLive && has(traitReady)(m)
}

// watchMembers keeps the view of the others, and tells them what becomes of this daemon.
func (g *Gateway) watchMembers(ctx context.Context) error {
	changed, stop := g.tracker.Subscribe()
	defer stop()
	var told toldTraits
	for {
		g.tellTraits(ctx, &told)
		look, cancel := context.WithCancel(ctx)
		due := g.Clock.AfterFunc(memberInterval, cancel)
		select {
		case <-changed:
			g.takeMembers(g.tracker.Fleet().Members)
		case <-look.Done():
		}
		due()
		cancel()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// takeMembers takes in who is there.
func (g *Gateway) takeMembers(fleet []cataloger.Member) {
	now := g.Clock.Now()
	var others []cataloger.Member
	for _, m := range fleet {
		if m.Name == g.Settings.Name || m.State == cataloger.StateSuspect {
			continue
		}
		g.departures.See(m.Name, m.Epoch, m.State == cataloger.StateLeaving, now)
		others = append(others, m)
	}
	before, grown := g.others(), g.members.Load().grown
	for _, m := range others {
		if i := named(before, m.Name); i < 0 || before[i].Epoch != m.Epoch {
			grown = now
			g.Log.Info().Str("peer", m.Name).Uint64("epoch", m.Epoch).Str("address", m.PeerAddress).Msg("peer joins")
		}
	}
	for _, m := range before {
		if i := named(others, m.Name); i < 0 || others[i].Epoch != m.Epoch {
			g.gone(m.Name)
		}
	}
	g.members.Store(&membership{others: others, grown: grown})
	g.size.Record(now, len(others)+1)
}

// named returns the place of a member, or -1.
func named(ms []cataloger.Member, name string) int {
	return slices.IndexFunc(ms, func(m cataloger.Member) bool { return m.Name == name })
}

// tellTraits tells the others what has changed with this daemon. That it gets ready is told at once, the rest now and then only,
// as each change goes to the whole fleet.
func (g *Gateway) tellTraits(ctx context.Context, told *toldTraits) {
	now, traits := g.Clock.Now(), g.traits()
	if traits == told.traits || traits&traitReady == told.traits&traitReady && now.Sub(told.at) < traitPause {
		return
	}
	told.traits, told.at = traits, now
	g.tracker.SetTraits(ctx, traits)
}

// settled tells whether this daemon knows the others: it has joined daemons that are ready, or has run for a while and heard of
// no new one lately.
func (g *Gateway) settled() bool {
	if g.tracker.Status().Synced && slices.ContainsFunc(g.others(), has(traitReady)) {
		return true
	}
	now := g.Clock.Now()
	ran := now.Sub(g.started)
	return ran >= settleTime && (now.Sub(g.members.Load().grown) >= quietTime || ran >= maxSettleTime)
}

// join waits until this daemon knows the others, where the whole fleet starts for the first time: all would ask the store at once.
// Later a daemon that starts does so, as clients wait for it.
func (g *Gateway) join(ctx context.Context) {
	for g.Settings.FirstStart && !g.settled() {
		if g.Clock.Sleep(ctx, memberInterval) != nil {
			return
		}
	}
}
