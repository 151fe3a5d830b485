package limiter

import (
	"math"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

func request(self string, reports []Report) *peerv1.LimitRequest {
	req := &peerv1.LimitRequest{Member: self}
	for _, r := range reports {
		demand := &peerv1.LimitDemand{
			Service:         r.Demand.Key.Service,
			Workspace:       string(r.Demand.Key.Workspace),
			Rate:            finite(r.Demand.Rate),
			Wanted:          finite(r.Demand.Wanted),
			HeldRate:        finite(r.Held.Rate),
			HeldConcurrency: finite(r.Held.Concurrency),
		}
		if r.TTL > TTL {
			demand.TtlMs = uint32(r.TTL / time.Millisecond)
		}
		req.Demands = append(req.Demands, demand)
	}
	return req
}

// received reads a share; what the document does not limit is unlimited, and no share is more than the whole limit.
func received(limit Limit, s *peerv1.LimitShare) Share {
	share := Share{Rate: Unlimited, Concurrency: Unlimited}
	if limit.Rate > 0 {
		share.Rate = min(limit.Rate, finite(s.Rate))
	}
	if limit.Concurrency > 0 {
		share.Concurrency = min(float64(limit.Concurrency), finite(s.Concurrency))
	}
	return share
}

// finite makes 0 of what is no number, negative or unlimited.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}
