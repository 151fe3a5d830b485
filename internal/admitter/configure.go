package admitter

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const minUsageInterval = 100 * time.Millisecond

// Configure applies the settings and workspaces of a document; share returns the initial share of new limits.
func (s *Scheduler) Configure(now time.Time, settings Settings, workspaces []documenter.Workspace,
	share func(documenter.Workspace) limiter.Share) {
	s.settings = settings.withDefaults()
	if s.usageAt.IsZero() {
		s.usageAt = now
	}
	listed := make(map[cataloger.Workspace]bool, len(workspaces))
	for _, w := range workspaces {
		name := cataloger.Workspace(w.Name)
		listed[name] = true
		f := s.flows[name]
		if f == nil {
			f = newFlow(name)
			s.flows[name] = f
		}
		s.setWeight(f, w.Share)
		if f.limits != limitsOf(w) {
			f.limits = limitsOf(w)
			f.setShare(now, share(w))
		}
		s.updateHeaps(f)
	}
	for name, f := range s.flows {
		if !listed[name] {
			s.removeFlow(f)
		}
	}
	s.dispatch(now)
}

// limits are the limits of a workspace in the document, which apply to all entries together.
type limits struct {
	rate        float64
	concurrency int
}

func limitsOf(w documenter.Workspace) limits {
	return limits{rate: w.Rate, concurrency: w.Concurrency}
}

// fullShare returns the share of an entry that is the only one.
func fullShare(w documenter.Workspace) limiter.Share {
	share := limiter.Share{Rate: limiter.Unlimited, Concurrency: limiter.Unlimited}
	if w.Rate > 0 {
		share.Rate = w.Rate
	}
	if w.Concurrency > 0 {
		share.Concurrency = float64(w.Concurrency)
	}
	return share
}

func (s *Scheduler) setWeight(f *flow, weight float64) {
	if weight <= 0 || math.IsInf(weight, 0) || math.IsNaN(weight) {
		weight = defaultWeight
	}
	if weight == f.weight {
		return
	}
	if f.busy() {
		s.busyWeight += weight - f.weight
	}
	// The charge for requests already granted stays the same in cost.
	f.finish = s.virtualTime + max(0, f.finish-s.virtualTime)*f.weight/weight
	f.start = s.virtualTime + max(0, f.start-s.virtualTime)*f.weight/weight
	f.weight = weight
}

func (s *Scheduler) removeFlow(f *flow) {
	r := refuser.New(refuser.UnknownWorkspace, "the service no longer serves workspace %q", f.workspace)
	for f.queue.Len() > 0 {
		s.refuse(f.queue.top(), r)
	}
	delete(s.flows, f.workspace)
}

// SetShare sets this entry's share of a workspace's limits.
func (s *Scheduler) SetShare(now time.Time, workspace cataloger.Workspace, share limiter.Share) {
	f := s.flows[workspace]
	if f == nil {
		return
	}
	f.setShare(now, share)
	s.updateHeaps(f)
	s.Advance(now)
}

// Usage calls emit for each workspace with a limit that had any demand since the last call.
func (s *Scheduler) Usage(now time.Time, emit func(workspace cataloger.Workspace, rate, wanted float64)) {
	elapsed := max(now.Sub(s.usageAt), minUsageInterval)
	s.usageAt = now
	for name, f := range s.flows {
		wanted := f.inProgress + f.queue.Len()
		arrivals := f.arrivals
		f.arrivals = 0
		if f.limits == (limits{}) || wanted == 0 && arrivals == 0 {
			continue
		}
		emit(name, float64(arrivals)/elapsed.Seconds(), float64(wanted))
	}
}
