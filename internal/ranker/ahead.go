package ranker

import "time"

// Ahead returns what Record would return, and records nothing.
func (r *Ranker) Ahead(service string, rank int, amount float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := demand{updatedAt: now}
	if known, ok := r.services[service]; ok {
		d = *known
	}
	return d.add(rank, amount, now)
}

// add adds a request and returns the share of the demand that is of ranks before it.
func (d *demand) add(rank int, amount float64, now time.Time) float64 {
	d.decay(now)
	rank = min(max(rank, 0), maxRank)
	d.byRank[rank] += max(amount, 0)
	return d.ahead(rank)
}
