package selector

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Speeds are the bandwidths of links as listed and measured. The zero value treats every link as free.
type Speeds struct {
	// Version changes if any bandwidth does.
	Version uint64

	sameDataCentre, betweenDataCentres float64
	byLink                             map[linkKey]float64
}

// Speeds returns the current bandwidths of links. A measured slowdown is rounded down to a power of two, so that noise is
// no change.
func (s *Selector) Speeds() Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	speeds := Speeds{sameDataCentre: s.SameDataCentre.Bandwidth, betweenDataCentres: s.BetweenDataCentres.Bandwidth, byLink: make(map[linkKey]float64)}
	for k, l := range s.links {
		from, to := s.targets[k.from], s.targets[k.to]
		slowdown := math.Exp2(math.Floor(math.Log2(l.currentSlowdown(now))))
		if from == nil || to == nil || !l.listed && slowdown < minSplitSlowdown {
			continue
		}
		bandwidth := s.defaultLink(&from.info, &to.info).Bandwidth
		if l.listed {
			bandwidth = l.nominal.Bandwidth
		}
		speeds.add(k, bandwidth/slowdown)
	}
	return speeds
}

// add sets the bandwidth of a link. The version is a sum, as it must not depend on the order of links.
func (s *Speeds) add(k linkKey, bandwidth float64) {
	s.byLink[k] = bandwidth
	d := xxhash.New()
	_, _ = d.WriteString(k.from)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.to)
	s.Version += (d.Sum64() | 1) * (math.Float64bits(bandwidth) | 1)
}

// Bandwidth returns the bandwidth from one target to another in bytes per second.
func (s Speeds) Bandwidth(from, to *cataloger.Target) float64 {
	if b, ok := s.byLink[linkKey{from.Name, to.Name}]; ok {
		return b
	}
	if from.DataCentre == to.DataCentre {
		return s.sameDataCentre
	}
	return s.betweenDataCentres
}
