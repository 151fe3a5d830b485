package ranker

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time over which demand is averaged: about as long as an answer takes.
	window = 4 * time.Second
	// maxRank is the last rank that is told from those after it.
	maxRank = 15
)

// Ranker measures the demand for services by rank. It is safe for concurrent use; its zero value is ready to use.
type Ranker struct {
	mu       sync.Mutex
	services map[string]*demand
}

// demand is the recent demand for one service.
type demand struct {
	// byRank decays over window, as of updatedAt.
	byRank    [maxRank + 1]float64
	updatedAt time.Time
}

// Record records a request of a rank, 0 the most urgent, and an amount, such as its tokens. It returns the share of the recent demand
// that is of ranks before it, in [0,1].
func (r *Ranker) Record(service string, rank int, amount float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*demand{}
	}
	d, ok := r.services[service]
	if !ok {
		d = &demand{updatedAt: now}
		r.services[service] = d
	}
	return d.add(rank, amount, now)
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / window.Seconds())
	for i := range d.byRank {
		d.byRank[i] *= factor
	}
	d.updatedAt = now
}

// ahead returns the share of the demand that is of ranks before a rank.
func (d *demand) ahead(rank int) float64 {
	before, total := 0.0, 0.0
	for i, amount := range d.byRank {
		total += amount
		if i < rank {
			before += amount
		}
	}
	if total == 0 {
		return 0
	}
	return before / total
}
