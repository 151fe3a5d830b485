package selector

import (
	"math"
	"time"
)

const (
	// confirmedHit is the probability that a prefix is cached after a cache event, assumedHit after this router sent it.
	confirmedHit = 0.95
	assumedHit   = 0.7
	// hitDecayTime is the age at which the probability of a hit has decayed to 1/e.
	hitDecayTime = 60 * time.Second
	// maxGapAge is the age at which a gap in the events no longer matters, as all earlier hits have decayed.
	maxGapAge = 10 * hitDecayTime
	// maxPrefixes is the maximum number of prefixes in the index, maxPrefixHolders that of targets of one prefix.
	maxPrefixes      = 1 << 16
	maxPrefixHolders = 8
)

type prefixHolder struct {
	target      string
	probability float64
	updatedAt   time.Time
}

// prefixIndex estimates which targets have which prompt prefixes cached. Estimates decay with age, as events arrive late
// and with gaps.
type prefixIndex struct {
	holders map[uint64][]prefixHolder
	// lastGap is the last time at which events of a target may have been missed.
	lastGap map[string]time.Time
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[uint64][]prefixHolder), lastGap: make(map[string]time.Time)}
}

// recordGap makes the prefixes confirmed for a target until now count as assumed only.
func (x *prefixIndex) recordGap(target string, now time.Time) {
	for name, at := range x.lastGap {
		if now.Sub(at) > maxGapAge {
			delete(x.lastGap, name)
		}
	}
	x.lastGap[target] = now
}

// probability returns the probability that a holder still has its prefix.
func (x *prefixIndex) probability(h prefixHolder, now time.Time) float64 {
	if at, ok := x.lastGap[h.target]; ok && h.updatedAt.Before(at) {
		h.probability = math.Min(h.probability, assumedHit)
	}
	return h.decayedProbability(now)
}

func (x *prefixIndex) add(prefix uint64, target string, now time.Time, probability float64) {
	list := x.holders[prefix]
	for i := range list {
		if list[i].target == target {
			list[i].probability = math.Max(probability, x.probability(list[i], now))
			list[i].updatedAt = now
			return
		}
	}
	if len(list) == 0 && len(x.holders) >= maxPrefixes {
		x.evict()
	}
	h := prefixHolder{target, probability, now}
	if len(list) >= maxPrefixHolders {
		copy(list, list[1:])
		list[len(list)-1] = h
		return
	}
	x.holders[prefix] = append(list, h)
}

// evict removes arbitrary entries, a sixteenth of the maximum.
func (x *prefixIndex) evict() {
	remaining := maxPrefixes / 16
	for p := range x.holders {
		delete(x.holders, p)
		remaining--
		if remaining == 0 {
			return
		}
	}
}

func (x *prefixIndex) remove(prefix uint64, target string) {
	list := x.holders[prefix]
	for i := range list {
		if list[i].target == target {
			x.holders[prefix] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(x.holders[prefix]) == 0 {
		delete(x.holders, prefix)
	}
}

func (h prefixHolder) decayedProbability(now time.Time) float64 {
	return h.probability * math.Exp(-now.Sub(h.updatedAt).Seconds()/hitDecayTime.Seconds())
}

// hit is a target that probably has a prefix cached.
type hit struct {
	target string
	// expectedBlocks is the number of blocks in the prefix times the probability that it is cached.
	expectedBlocks float64
}

// hits returns up to cap(buf) targets, those with the longest prefixes first.
func (x *prefixIndex) hits(prefixes []uint64, now time.Time, buf []hit) []hit {
	found := buf[:0]
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, h := range x.holders[prefixes[i]] {
			if len(found) == cap(buf) {
				return found
			}
			if !containsTarget(found, h.target) {
				found = append(found, hit{h.target, float64(i+1) * x.probability(h, now)})
			}
		}
	}
	return found
}

func containsTarget(hits []hit, target string) bool {
	for i := range hits {
		if hits[i].target == target {
			return true
		}
	}
	return false
}
