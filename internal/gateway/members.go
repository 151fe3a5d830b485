package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/tracker"
)

// Traits that a daemon announces.
const (
	// traitReady marks a daemon that accepts requests.
	traitReady = 1 << iota
	// traitReachesStore marks a daemon whose last calls to the store were answered.
	traitReachesStore
	// traitHoldsDuty marks the daemon that holds the lease for placing layers.
	traitHoldsDuty
	// traitCutOff marks a daemon that has lost its own links to the targets.
	traitCutOff
)

const (
	// traitInterval is the minimum time between two announcements of changed traits, except that of getting ready.
	traitInterval = 500 * time.Millisecond
	// memberInterval is the time between two checks of the members and of this daemon's own traits.
	memberInterval = 50 * time.Millisecond
	// settleTime is how long a daemon needs to discover the others if all start together. In a large fleet, startup ends
	// after joinIdleTime without a new member, and after maxSettleTime in any case.
	settleTime    = 1200 * time.Millisecond
	joinIdleTime  = 600 * time.Millisecond
	maxSettleTime = 4 * time.Second
)

// memberOptions returns the options of membership over datagrams in one region: a daemon that is down is gone from all
// answers to clients within 1.6 s, mostly sooner.
func memberOptions() tracker.Options {
	return tracker.Options{
		HeartbeatInterval: 250 * time.Millisecond,
		SilenceTimeout:    700 * time.Millisecond,
		ConfirmTimeout:    300 * time.Millisecond,
		VoteTimeout:       150 * time.Millisecond,
		// Datagrams need no connection setup.
		FirstMessageGrace:      3 * time.Second,
		InitialContactInterval: 100 * time.Millisecond,
		// A datagram with this many entries is a few kilobytes.
		MaxMessageEntries: 32,
	}
}

// membership is the view of the other daemons at one moment; readers must not change it.
type membership struct {
	// others are the live and leaving daemons, by name.
	others []cataloger.Member
	// lastJoin is when the last of them was first seen.
	lastJoin time.Time
}

// announcedTraits are the traits that this daemon last announced.
type announcedTraits struct {
	traits uint32
	at     time.Time
}

// newTracker returns the membership tracker of this daemon, whose messages the poster carries.
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

// others returns the other daemons that are live or leaving.
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

// allMembers returns the daemons that are live or leaving, including this one.
func (g *Gateway) allMembers() []cataloger.Member { return append(slices.Clip(g.others()), g.self()) }

func (g *Gateway) traits() uint32 {
	var traits uint32
	for trait, is := range map[uint32]bool{
		traitReady: g.Ready(), traitReachesStore: g.reachesStore(), traitHoldsDuty: g.duty.valid(), traitCutOff: g.links.CutOff(),
	} {
		if is {
			traits |= trait
		}
	}
	return traits
}

// hasTrait returns a predicate that reports whether a daemon announces a trait.
func hasTrait(trait uint32) func(m cataloger.Member) bool {
	return func(m cataloger.Member) bool { return m.Traits&trait != 0 }
}

// acceptsRequests reports whether a daemon is ready and not leaving.
func acceptsRequests(m cataloger.Member) bool {
	return m.State == cataloger.StateLive && hasTrait(traitReady)(m)
}

// watchMembers maintains the view of the other daemons and announces this daemon's traits to them.
func (g *Gateway) watchMembers(ctx context.Context) error {
	changed, stop := g.tracker.Subscribe()
	defer stop()
	var announced announcedTraits
	for {
		g.announceTraits(ctx, &announced)
		pause, cancel := context.WithCancel(ctx)
		stopTimer := g.Clock.AfterFunc(memberInterval, cancel)
		select {
		case <-changed:
			g.applyMembers(g.tracker.Fleet().Members)
		case <-pause.Done():
		}
		stopTimer()
		cancel()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// applyMembers updates the view of the other daemons from the fleet.
func (g *Gateway) applyMembers(fleet []cataloger.Member) {
	now := g.Clock.Now()
	var others []cataloger.Member
	for _, m := range fleet {
		if m.Name == g.Settings.Name || m.State == cataloger.StateSuspect {
			continue
		}
		g.departures.Record(m.Name, m.Epoch, m.State == cataloger.StateLeaving, now)
		others = append(others, m)
	}
	before, lastJoin := epochs(g.others()), g.members.Load().lastJoin
	for _, m := range others {
		if epoch, ok := before[m.Name]; !ok || epoch != m.Epoch {
			lastJoin = now
			g.Log.Info().Str("peer", m.Name).Uint64("epoch", m.Epoch).Str("address", m.PeerAddress).Msg("peer joins")
		}
	}
	after := epochs(others)
	for _, m := range g.others() {
		if epoch, ok := after[m.Name]; !ok || epoch != m.Epoch {
			g.removePeer(m.Name)
		}
	}
	g.members.Store(&membership{others: others, lastJoin: lastJoin})
	g.fleetSize.Record(now, len(others)+1)
}

// epochs returns the epochs of members by their names.
func epochs(ms []cataloger.Member) map[string]uint64 {
	out := make(map[string]uint64, len(ms))
	for _, m := range ms {
		out[m.Name] = m.Epoch
	}
	return out
}

// memberIndex returns the index of a member, or -1.
func memberIndex(ms []cataloger.Member, name string) int {
	return slices.IndexFunc(ms, func(m cataloger.Member) bool { return m.Name == name })
}

// announceTraits announces changed traits to the others. Readiness is announced immediately; other changes are
// rate-limited, as each one goes to the whole fleet.
func (g *Gateway) announceTraits(ctx context.Context, announced *announcedTraits) {
	now, traits := g.Clock.Now(), g.traits()
	if traits == announced.traits || traits&traitReady == announced.traits&traitReady && now.Sub(announced.at) < traitInterval {
		return
	}
	announced.traits, announced.at = traits, now
	g.tracker.SetTraits(ctx, traits)
}

// settled reports whether this daemon has discovered the others: it has joined daemons that are ready, or has run for a
// while and seen no new one lately.
func (g *Gateway) settled() bool {
	if g.tracker.Status().Synced && slices.ContainsFunc(g.others(), hasTrait(traitReady)) {
		return true
	}
	now := g.Clock.Now()
	ran := now.Sub(g.started)
	return ran >= settleTime && (now.Sub(g.members.Load().lastJoin) >= joinIdleTime || ran >= maxSettleTime)
}

// waitUntilSettled waits until this daemon has discovered the others if the whole fleet starts for the first time, as
// otherwise all would query the store at the same time. A daemon that starts later does not wait, as clients wait for
// it.
func (g *Gateway) waitUntilSettled(ctx context.Context) {
	for g.Settings.FirstStart && !g.settled() {
		if g.Clock.Sleep(ctx, memberInterval) != nil {
			return
		}
	}
}
