package relayer

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/repairer"
)

const (
	// silenceFactor is how many typical gaps all streams together must be silent for the links to be checked, and minSilence the
	// minimum.
	silenceFactor = 3
	minSilence    = 80 * time.Millisecond
	// minSilentStreams and minSilentTargets are how many streams and first targets must be silent.
	minSilentStreams = 4
	minSilentTargets = 2
	// maxLinkChecks bounds the links that are checked at once, and linkCheckInterval is the minimum time between two rounds.
	maxLinkChecks     = 3
	linkCheckInterval = 250 * time.Millisecond
)

// unheardEndTime is how long targets go on with a send whose end they do not hear over a lost link: about the time of an answer.
const unheardEndTime = 2 * time.Second

// plainSendPatience is how long a send to a plain service may be silent on a lost link: open connections may outlive the link.
const plainSendPatience = 150 * time.Millisecond

// plainSend is a send of a request that may be repeated to a plain service.
type plainSend struct {
	address string
	began   time.Time
	cancel  context.CancelCauseFunc
}

// trackSend makes the watchdog end a send to a plain service if its link is lost; the result ends this.
func (r *Relayer) trackSend(s *plainSend) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plainSends[s] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.plainSends, s)
	}
}

// linkLostDuring reports whether the link to an address was lost after a send over it began.
func (r *Relayer) linkLostDuring(address string, began time.Time) bool {
	lostAt, lost := r.LinkLostSince(address)
	return lost && began.Before(lostAt)
}

// checkPlainSends ends the sends to plain services over links that were lost after they began.
func (r *Relayer) checkPlainSends() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for s := range r.plainSends {
		if now.Sub(s.began) > plainSendPatience && r.linkLostDuring(s.address, s.began) {
			s.cancel(errLinkLost)
		}
	}
}

// linkSilence returns how long all streams together are silent only if this daemon's links are lost.
func (r *Relayer) linkSilence() time.Duration {
	return max(silenceFactor*r.typicalGap(), minSilence)
}

// checkLinks checks the links to some first targets if all streams are silent at once, which stages that are lost do not
// explain.
func (r *Relayer) checkLinks(ctx context.Context, generations []*generation, now time.Time) {
	if now.Sub(r.linksCheckedAt) < linkCheckInterval {
		return
	}
	streams, first := 0, map[string]bool{}
	silence := r.linkSilence()
	for _, g := range generations {
		g.mu.Lock()
		started, last, target := g.started, g.lastProgress, g.path[0].Target
		g.mu.Unlock()
		if !started {
			continue
		}
		if now.Sub(last) < silence {
			return
		}
		streams++
		first[target] = true
	}
	if streams < minSilentStreams || len(first) < minSilentTargets {
		return
	}
	r.linksCheckedAt = now
	checks := 0
	for name := range first {
		v, ok := r.Targets.Get(name)
		if _, lost := r.LinkLostSince(v.Address); !ok || lost {
			continue
		}
		if checks++; checks > maxLinkChecks {
			return
		}
		go r.CheckLink(ctx, v.Address)
	}
}

// LeaveLostLinks ends the silent sends over links that are lost; call it when a link is.
func (r *Relayer) LeaveLostLinks() {
	now := r.Clock.Now()
	for _, g := range r.inProgress() {
		r.leaveLostLink(g, g.stream(), now)
	}
	r.checkPlainSends()
}

// leaveLostLink ends a silent send over a link that was lost after it began, so that the stream continues over another daemon.
// Connections that live on are kept.
func (r *Relayer) leaveLostLink(g *generation, s repairer.Stream, now time.Time) bool {
	v, ok := r.Targets.Get(s.Path[0].Target)
	if !ok {
		return false
	}
	g.mu.Lock()
	began, started := g.sendStarted, g.started
	g.mu.Unlock()
	patience := s.Patience / 2
	if started {
		patience = min(patience, r.linkSilence())
	}
	if now.Sub(s.Last) < patience || !r.linkLostDuring(v.Address, began) || !g.movable() || !g.prepayRetry() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.linkLost = true
	g.cancel(errLinkLost)
	return true
}
