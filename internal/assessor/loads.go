package assessor

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// peerLoad is the load of targets from another daemon.
type peerLoad struct {
	at          time.Time
	tokenLayers map[uint32]float64
}

// LoadKey returns the key under which daemons report the load of a target to each other.
func LoadKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// peerLoads returns the sum of the recent loads of all peers by LoadKey; the caller holds mu.
func (a *Assessor) peerLoads(now time.Time) map[uint32]float64 {
	if !a.summedAt.IsZero() && now.Sub(a.summedAt) < peerLoadSumAge {
		return a.sums
	}
	a.sums, a.summedAt = map[uint32]float64{}, now
	for _, p := range a.peers {
		if now.Sub(p.at) >= peerLoadRetention {
			continue
		}
		for key, n := range p.tokenLayers {
			a.sums[key] += n
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
