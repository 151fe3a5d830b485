package relayer

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// pathRetryInterval is the time between two searches for a path for a stream that has begun.
	pathRetryInterval = 50 * time.Millisecond
	// pathWait is how long a stream that has begun waits for a path; clients time out on silence soon after.
	pathWait = 1500 * time.Millisecond
	// maxPermitTries bounds the targets with limits that are asked for before only those without one are used.
	maxPermitTries = 3
)

// findPermittedPath returns a path whose first target may get the request now. After maxPermitTries it uses only targets without a
// limit.
func (g *generation) findPermittedPath(ctx context.Context) ([]cataloger.Stage, *refuser.Refusal) {
	r, demand := g.relayer, g.request.demand()
	for try := range maxPermitTries + 1 {
		if try == maxPermitTries {
			for name := range r.Throttler.States() {
				g.avoidTarget(name)
			}
		}
		path, ok := g.findPath(ctx)
		if !ok {
			return nil, r.refuseWithoutPath(demand)
		}
		first, ok := r.Targets.Get(path[0].Target)
		if !ok {
			continue
		}
		if r.permit(ctx, g.request, first.Target) {
			return path, nil
		}
		if r.expired(ctx, g.request) {
			break
		}
	}
	return nil, refuser.New(refuser.TargetsAtLimit, "the targets get as many requests as they accept").WithRetryAfter(max(r.Chooser.RetryAfter(demand), noPathRetry))
}

// refuseWithoutPath returns the refusal of a generation for which there is no path.
func (r *Relayer) refuseWithoutPath(demand chooser.Demand) *refuser.Refusal {
	wait := max(r.Chooser.RetryAfter(demand), r.Chooser.TimeToRoom(demand), noPathRetry)
	return refuser.New(refuser.NoPipeline, "%s", r.Chooser.NoPathReason(demand)).WithRetryAfter(wait)
}

// findPath returns a path; a stream that has begun waits for one up to pathWait.
func (g *generation) findPath(ctx context.Context) ([]cataloger.Stage, bool) {
	r, demand := g.relayer, g.request.demand()
	demand.Precedence.Begun = g.headWritten
	if path, ok := g.findSharedPath(demand); ok {
		return path, true
	}
	for waited := time.Duration(0); ; waited += pathRetryInterval {
		if path, ok := r.Chooser.Path(demand, g.avoided()); ok {
			return path, true
		}
		if !g.headWritten || waited >= pathWait || r.Clock.Sleep(ctx, pathRetryInterval) != nil {
			return nil, false
		}
		g.mu.Lock()
		clear(g.avoid)
		g.mu.Unlock()
	}
}

// findSharedPath returns a path for a suspected request whose first target is the same for all requests with its key, on every
// daemon, so that several of them crash one target only.
func (g *generation) findSharedPath(demand chooser.Demand) ([]cataloger.Stage, bool) {
	if g.suspected == nil || g.headWritten {
		return nil, false
	}
	var first []string
	avoid := g.avoided()
	for _, v := range g.relayer.Targets.Service(demand.Service) {
		if from, end, _ := v.ReadyLayers(); from == 0 && end > 0 && v.Usable() && !avoid[v.Name] {
			first = append(first, v.Name)
		}
	}
	chosen := rendezvous(first, *g.suspected)
	for _, name := range first {
		if name != chosen {
			avoid[name] = true
		}
	}
	return g.relayer.Chooser.Path(demand, avoid)
}

// rendezvous returns the name that all daemons choose for a key.
func rendezvous(names []string, k quarantiner.Key) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		if score := xxhash.Sum64String(name + "/" + strconv.FormatUint(uint64(k), 16)); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}
