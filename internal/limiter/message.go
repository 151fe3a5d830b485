package limiter

import (
	"math"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

func newLimitRequest(self string, reports []Report) *peerv1.LimitRequest {
	req := &peerv1.LimitRequest{Member: self}
	for _, r := range reports {
		demand := &peerv1.LimitDemand{
			Service:         r.Demand.Key.Service,
			Workspace:       string(r.Demand.Key.Workspace),
			Rate:            finiteOrZero(r.Demand.Rate),
			Wanted:          finiteOrZero(r.Demand.Wanted),
			HeldRate:        finiteOrZero(r.Held.Rate),
			HeldConcurrency: finiteOrZero(r.Held.Concurrency),
		}
		if r.TTL > TTL {
			demand.TtlMs = uint32(r.TTL / time.Millisecond)
		}
		req.Demands = append(req.Demands, demand)
	}
	return req
}

// decodeShare decodes a share: unlimited where the document sets no limit, and never more than the full limit.
func decodeShare(limit Limit, s *peerv1.LimitShare) Share {
	share := Share{Rate: Unlimited, Concurrency: Unlimited}
	if limit.Rate > 0 {
		share.Rate = min(limit.Rate, finiteOrZero(s.Rate))
	}
	if limit.Concurrency > 0 {
		share.Concurrency = min(float64(limit.Concurrency), finiteOrZero(s.Concurrency))
	}
	return share
}

// finiteOrZero returns v, or 0 if v is not a number, infinite or negative.
func finiteOrZero(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}
