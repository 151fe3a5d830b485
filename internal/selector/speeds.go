package selector

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Speeds are the bandwidths of links as listed and measured; the zero value takes every link as free.
type Speeds struct {
	// Version changes where any bandwidth does.
	Version uint64

	same, between float64
	known         map[linkKey]float64
}

// Speeds returns what is known of links now. A measured slowdown counts in powers of two, so that noise is no change.
func (s *Selector) Speeds() Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	speeds := Speeds{same: s.SameDataCentre.Bandwidth, between: s.BetweenDataCentres.Bandwidth, known: make(map[linkKey]float64)}
	for k, l := range s.links {
		from, to := s.targets[k.from], s.targets[k.to]
		slowdown := math.Exp2(math.Floor(math.Log2(l.current(now))))
		if from == nil || to == nil || !l.listed && slowdown < splitRatio {
			continue
		}
		bandwidth := s.assumed(&from.info, &to.info).Bandwidth
		if l.listed {
			bandwidth = l.nominal.Bandwidth
		}
		speeds.add(k, bandwidth/slowdown)
	}
	return speeds
}

// add notes a link; the version is a sum, as the order of links says nothing.
func (s *Speeds) add(k linkKey, bandwidth float64) {
	s.known[k] = bandwidth
	d := xxhash.New()
	_, _ = d.WriteString(k.from)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.to)
	s.Version += (d.Sum64() | 1) * (math.Float64bits(bandwidth) | 1)
}

// Bandwidth returns the bytes a second from one target to another.
func (s Speeds) Bandwidth(from, to *cataloger.Target) float64 {
	if b, ok := s.known[linkKey{from.Name, to.Name}]; ok {
		return b
	}
	if from.DataCentre == to.DataCentre {
		return s.same
	}
	return s.between
}
