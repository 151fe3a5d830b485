package selector

import (
	"math"
	"time"
)

const (
	// confirmedHit and assumedHit are the probabilities that a prefix is cached, by event and by own dispatch.
	confirmedHit = 0.95
	assumedHit   = 0.7
	// hitFade is the age at which a belief counts for 1/e.
	hitFade = 60 * time.Second
	// doubtLife is the age at which what is older than a doubt has faded anyhow.
	doubtLife = 10 * hitFade
	// maxPrefixes bounds the index, maxPrefixHolders the targets of one prefix.
	maxPrefixes      = 1 << 16
	maxPrefixHolders = 8
)

type prefixHolder struct {
	target string
	chance float64
	at     time.Time
}

// prefixIndex believes which targets have which prompt prefixes cached; beliefs fade, as events come late and with gaps.
type prefixIndex struct {
	holders map[uint64][]prefixHolder
	// doubted is when events of a target may last have been missed.
	doubted map[string]time.Time
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[uint64][]prefixHolder), doubted: make(map[string]time.Time)}
}

// doubt makes what was confirmed of a target up to now count as assumed.
func (x *prefixIndex) doubt(target string, now time.Time) {
	for name, at := range x.doubted {
		if now.Sub(at) > doubtLife {
			delete(x.doubted, name)
		}
	}
	x.doubted[target] = now
}

// chance returns the probability that a holder still has its prefix.
func (x *prefixIndex) chance(h prefixHolder, now time.Time) float64 {
	if at, ok := x.doubted[h.target]; ok && h.at.Before(at) {
		h.chance = math.Min(h.chance, assumedHit)
	}
	return h.now(now)
}

func (x *prefixIndex) add(prefix uint64, target string, now time.Time, chance float64) {
	list := x.holders[prefix]
	for i := range list {
		if list[i].target == target {
			list[i].chance = math.Max(chance, x.chance(list[i], now))
			list[i].at = now
			return
		}
	}
	if len(list) == 0 && len(x.holders) >= maxPrefixes {
		x.evict()
	}
	h := prefixHolder{target, chance, now}
	if len(list) >= maxPrefixHolders {
		copy(list, list[1:])
		list[len(list)-1] = h
		return
	}
	x.holders[prefix] = append(list, h)
}

// evict forgets a part of the index, which one is left to the map.
func (x *prefixIndex) evict() {
	left := maxPrefixes / 16
	for p := range x.holders {
		delete(x.holders, p)
		left--
		if left == 0 {
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

func (h prefixHolder) now(now time.Time) float64 {
	return h.chance * math.Exp(-now.Sub(h.at).Seconds()/hitFade.Seconds())
}

// hit is a target believed to have a prefix of so many blocks.
type hit struct {
	target string
	// blocks is the expected number of blocks, that is their number by the chance.
	blocks float64
}

// hits returns up to len(buf) targets with the longest prefixes first.
func (x *prefixIndex) hits(prefixes []uint64, now time.Time, buf []hit) []hit {
	found := buf[:0]
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, h := range x.holders[prefixes[i]] {
			if len(found) == cap(buf) {
				return found
			}
			if !contains(found, h.target) {
				found = append(found, hit{h.target, float64(i+1) * x.chance(h, now)})
			}
		}
	}
	return found
}

func contains(hits []hit, target string) bool {
	for i := range hits {
		if hits[i].target == target {
			return true
		}
	}
	return false
}
