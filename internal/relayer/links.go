package relayer

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/repairer"
)

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

// checkPlainSends ends the sends to plain services over links that were lost after they began.
func (r *Relayer) checkPlainSends() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for s := range r.plainSends {
		if lostAt, lost := r.LinkLostSince(s.address); lost && s.began.Before(lostAt) && now.Sub(s.began) > plainSendPatience {
			s.cancel(errLinkLost)
		}
	}
}

// leaveLostLink ends a silent send over a link that was lost after it began, so that the stream continues over another daemon.
// Connections that live on are kept.
func (r *Relayer) leaveLostLink(g *generation, s repairer.Stream, now time.Time) bool {
	v, ok := r.Targets.Get(s.Path[0].Target)
	if !ok || now.Sub(s.Last) < s.Patience/2 {
		return false
	}
	lostAt, lost := r.LinkLostSince(v.Address)
	g.mu.Lock()
	began, cancel := g.sendStarted, g.cancel
	g.mu.Unlock()
	if !lost || !began.Before(lostAt) || !g.movable() || !g.prepayRetry() {
		return false
	}
	cancel(errLinkLost)
	return true
}
