package assessor

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// fleetPeer is the name under which the loads of all other daemons together are kept.
	fleetPeer = ""
	// tallyLag is about how old the loads of all other daemons are when they arrive.
	tallyLag = 150 * time.Millisecond
)

// peerLoad is the load of targets from another daemon.
type peerLoad struct {
	at          time.Time
	tokenLayers map[uint32]float64
	// growth is how much the load of a target grew per second lately; only what SetFleetLoads stores has it.
	growth map[uint32]float64
}

// LoadKey returns the key under which daemons report the load of a target to each other.
func LoadKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// peerLoads returns the sum of the recent loads of all peers by LoadKey; the caller holds mu.
func (a *Assessor) peerLoads(now time.Time) map[uint32]float64 {
	maxAge := peerLoadSumAge
	if _, ok := a.peers[fleetPeer]; ok {
		maxAge = fleetLoadSumAge
	}
	if !a.summedAt.IsZero() && now.Sub(a.summedAt) < maxAge {
		return a.sums
	}
	a.sums, a.summedAt = map[uint32]float64{}, now
	for _, p := range a.peers {
		if now.Sub(p.at) >= peerLoadRetention {
			continue
		}
		age := (now.Sub(p.at) + tallyLag).Seconds()
		for key, n := range p.tokenLayers {
			a.sums[key] += n + max(p.growth[key]*age, 0)
		}
	}
	return a.sums
}

// Reserve adds the tokens of a request to the load of each target on its path until the returned function is called.
func (a *Assessor) Reserve(path []cataloger.Stage, tokens float64) (release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	type share struct {
		r           *targetRecord
		tokenLayers float64
	}
	var shares []share
	for _, s := range path {
		if r, ok := a.records[s.Target]; ok {
			n := tokens * float64(s.EndLayer-s.FirstLayer)
			r.tokenLayers += n
			r.requests++
			shares = append(shares, share{r, n})
		}
	}
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, s := range shares {
			s.r.tokenLayers -= s.tokenLayers
			s.r.requests--
		}
	})
}

// Loads returns the tokens times layers in progress on this daemon, by target.
func (a *Assessor) Loads() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for name, r := range a.records {
		if r.tokenLayers > 0 {
			out[name] = r.tokenLayers
		}
	}
	return out
}

// ServiceLoads returns the tokens times layers in progress on this daemon at the targets of a service, by target.
func (a *Assessor) ServiceLoads(service string) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for _, r := range a.listed(service).all {
		if r.tokenLayers > 0 {
			out[r.target.Name] = r.tokenLayers
		}
	}
	return out
}

// SetPeerLoads stores the load of targets from another daemon, in tokens times layers by LoadKey; nil removes the daemon.
func (a *Assessor) SetPeerLoads(peer string, loads map[uint32]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.summedAt = time.Time{}
	if loads == nil {
		delete(a.peers, peer)
		return
	}
	a.peers[peer] = peerLoad{at: a.Now(), tokenLayers: maps.Clone(loads)}
}

// SetFleetLoads stores the load of targets from all other daemons together, as it was some time ago. Until the next one is known, loads
// that grew lately are taken to grow on, as otherwise all daemons would fill the same targets at a time.
func (a *Assessor) SetFleetLoads(loads map[uint32]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	growth := map[uint32]float64{}
	if last, ok := a.peers[fleetPeer]; ok && now.Sub(last.at) < peerLoadRetention && now.After(last.at) {
		for key, load := range loads {
			rate := (load - last.tokenLayers[key]) / now.Sub(last.at).Seconds()
			growth[key] = (rate + last.growth[key]) / 2
		}
	}
	a.summedAt = time.Time{}
	a.peers[fleetPeer] = peerLoad{at: now, tokenLayers: maps.Clone(loads), growth: growth}
}
