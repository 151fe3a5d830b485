package ranker

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usualWindow is the time over which the usual demand of a workspace is averaged.
	usualWindow = time.Minute
	// surgeFactor is how many times its usual share a workspace may demand as usual.
	surgeFactor = 2
	// maxDemands bounds the demands that are kept; the one that was heard longest ago is dropped first.
	maxDemands = 4096
)

// workspaceKey returns the key under which daemons report the demand of a workspace for a service to each other; an empty workspace is
// all of them.
func workspaceKey(service, workspace string) uint32 {
	return uint32(xxhash.Sum64String("demand/" + service + "/" + workspace))
}

// demandRate is the demand of one workspace, or of all, for one service.
type demandRate struct {
	// own is the demand at this daemon, which decays over window, as of askedAt.
	own     float64
	askedAt time.Time
	// others is the demand at all other daemons a second, as of heardAt.
	others  float64
	heardAt time.Time
	// usual is the mean demand at all daemons a second, over age, which is at most usualWindow.
	usual float64
	age   time.Duration
}

// rate returns the demand at all daemons a second.
func (d *demandRate) rate(now time.Time) float64 { return d.ownRate(now) + d.others }

func (d *demandRate) ownRate(now time.Time) float64 {
	return d.own * math.Exp(-now.Sub(d.askedAt).Seconds()/window.Seconds()) / window.Seconds()
}

// lastHeard returns when anybody last asked.
func (d *demandRate) lastHeard() time.Time {
	if d.heardAt.After(d.askedAt) {
		return d.heardAt
	}
	return d.askedAt
}

// Shares tells the demand of a workspace beyond its usual share of a service, by the demand at all daemons. It is safe for concurrent
// use; its zero value is ready to use.
type Shares struct {
	mu        sync.Mutex
	demands   map[uint32]*demandRate
	updatedAt time.Time
}

// Record records an amount that a workspace asks for at this daemon.
func (s *Shares) Record(service, workspace string, amount float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range []string{workspace, ""} {
		d := s.get(workspaceKey(service, name))
		d.own = d.ownRate(now)*window.Seconds() + max(amount, 0)
		d.askedAt = now
	}
}

// get returns the demand of a key, which it adds if needed; the caller holds mu.
func (s *Shares) get(key uint32) *demandRate {
	if s.demands == nil {
		s.demands = map[uint32]*demandRate{}
	}
	d, ok := s.demands[key]
	if !ok {
		if len(s.demands) >= maxDemands {
			s.dropOldest()
		}
		d = &demandRate{}
		s.demands[key] = d
	}
	return d
}

func (s *Shares) dropOldest() {
	var oldest uint32
	var at time.Time
	for key, d := range s.demands {
		if at.IsZero() || d.lastHeard().Before(at) {
			oldest, at = key, d.lastHeard()
		}
	}
	delete(s.demands, oldest)
}

// Rates returns the demand at this daemon a second, by key.
func (s *Shares) Rates(now time.Time) map[uint32]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint32]float64, len(s.demands))
	for key, d := range s.demands {
		if rate := d.ownRate(now); rate > 0 {
			out[key] = rate
		}
	}
	return out
}

// SetOthers stores the demand at all other daemons a second, by key, and updates what is usual. Keys of other things do no harm.
func (s *Shares) SetOthers(rates map[uint32]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, rate := range rates {
		d := s.get(key)
		d.others, d.heardAt = rate, now
	}
	elapsed := min(now.Sub(s.updatedAt), window)
	s.updatedAt = now
	for key, d := range s.demands {
		if _, ok := rates[key]; !ok {
			d.others = 0
		}
		if elapsed > 0 {
			d.age = min(d.age+elapsed, usualWindow)
			d.usual += (d.rate(now) - d.usual) * elapsed.Seconds() / d.age.Seconds()
		}
	}
}

// Beyond returns the share of a workspace's demand for a service that is beyond surgeFactor times its usual share, in [0,1). It is 0 for
// a workspace that was first heard of just now.
func (s *Shares) Beyond(service, workspace string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, all := s.demands[workspaceKey(service, workspace)], s.demands[workspaceKey(service, "")]
	if one == nil || all == nil || one.age < window || all.usual <= 0 || all.rate(now) <= 0 {
		return 0
	}
	current, allowed := one.rate(now)/all.rate(now), surgeFactor*one.usual/all.usual
	if current <= allowed {
		return 0
	}
	return 1 - allowed/current
}
