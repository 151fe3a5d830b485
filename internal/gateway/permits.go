package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/throttler"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// permitRequestMethod and permitReplyMethod are the names of the peer handlers for permits.
	permitRequestMethod = "permit"
	permitReplyMethod   = "permits"
)

// limitOwner returns the daemon that owns the limit of a target.
func (g *Gateway) limitOwner(t throttler.Target) cataloger.Member {
	return tracker.RankMembers(g.allMembers(), t.Name+"/"+strconv.FormatUint(t.Incarnation, 10), 1)[0]
}

// sendPermitRequest sends a request for permits to the owner of a limit.
func (g *Gateway) sendPermitRequest(owner cataloger.Member, a throttler.Ask) {
	m := &peerv1.PermitRequest{Number: a.Number, Limit: encodeLimit(g.Clock.Now(), a.News), Wanted: uint32(a.Wanted), Reserve: float32(a.Reserve)}
	if err := g.poster.Notify(owner.PeerAddress, permitRequestMethod, m); err != nil {
		g.Log.Debug().Err(err).Str("peer", owner.Name).Msg("request for permits not sent")
	}
}

// handlePermitRequest answers a request for permits; it is a linker.Handler.
func (g *Gateway) handlePermitRequest(_ context.Context, peer string, body []byte) (proto.Message, error) {
	m := &peerv1.PermitRequest{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errors.Wrap(err, "decode request for permits")
	}
	others := g.others()
	i := memberIndex(others, peer)
	if i < 0 {
		// Its request times out, and it asks again once both know each other.
		return nil, nil
	}
	now := g.Clock.Now()
	a := g.relayer.Throttler.HandleAsk(throttler.Ask{
		Number: m.GetNumber(), News: decodeLimit(now, m.GetLimit()), Wanted: int(m.GetWanted()), Reserve: float64(m.GetReserve()),
	})
	reply := &peerv1.PermitReply{
		Number: a.Number, Permits: uint32(a.Permits), WaitMs: uint32(a.Wait.Milliseconds()), Fill: float32(a.Fill),
	}
	if a.News != (throttler.News{}) {
		reply.Limit = encodeLimit(now, a.News)
	}
	return nil, g.poster.Notify(others[i].PeerAddress, permitReplyMethod, reply)
}

// handlePermitReply passes on the answer to a request for permits; it is a linker.Handler.
func (g *Gateway) handlePermitReply(_ context.Context, _ string, body []byte) (proto.Message, error) {
	m := &peerv1.PermitReply{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errors.Wrap(err, "decode permits")
	}
	a := throttler.Answer{
		Number: m.GetNumber(), Permits: int(m.GetPermits()), Wait: time.Duration(m.GetWaitMs()) * time.Millisecond, Fill: float64(m.GetFill()),
	}
	if m.Limit != nil {
		a.News = decodeLimit(g.Clock.Now(), m.GetLimit())
	}
	g.relayer.Throttler.HandleAnswer(a)
	return nil, nil
}

// mergeLimits takes over what an update says of limits, and reports whether others must be told without delay.
func (g *Gateway) mergeLimits(now time.Time, peer string, limits []*peerv1.TargetLimit) (urgent bool) {
	for _, m := range limits {
		n := decodeLimit(now, m)
		if _, ok := g.targets.Get(n.Target.Name); ok && g.relayer.Throttler.Merge(n) == throttler.ChangeBegan {
			g.Log.Info().Str("target", n.Target.Name).Str("peer", peer).Float64("rate", n.Limit.Rate).Msg("peer reports that the target limits its requests")
			urgent = true
		}
	}
	return urgent
}

func encodeLimit(now time.Time, n throttler.News) *peerv1.TargetLimit {
	m := &peerv1.TargetLimit{Target: n.Target.Name, Incarnation: n.Target.Incarnation, AgeMs: ageMS(now, n.HeardAt)}
	if n.Limit.Set {
		m.Rate = &n.Limit.Rate
	}
	return m
}

func decodeLimit(now time.Time, m *peerv1.TargetLimit) throttler.News {
	return throttler.News{
		Target:  throttler.Target{Name: m.GetTarget(), Incarnation: m.GetIncarnation()},
		Limit:   throttler.Limit{Rate: m.GetRate(), Set: m.Rate != nil},
		HeardAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}
