package tracker

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Candidate is an owner that rendezvous hashing may choose.
type Candidate struct {
	Name string
	// Weight is the share of keys relative to other candidates; 0 counts as 1.
	Weight float64
}

// Rendezvous returns the member that owns a key, and false where there are no members.
// When a member joins or leaves, only the keys that it then owns or owned before move.
func Rendezvous(members []cataloger.Member, key string) (cataloger.Member, bool) {
	best, bestScore := -1, uint64(0)
	hash := xxhash.Sum64String(key)
	for i := range members {
		score := pairScore(xxhash.Sum64String(members[i].Name), hash)
		if best < 0 || score > bestScore || score == bestScore && members[i].Name < members[best].Name {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return cataloger.Member{}, false
	}
	return members[best], true
}

// Rank returns the indexes of the n highest-scoring candidates for a key, the owner first.
func Rank(candidates []Candidate, key string, n int) []int {
	type scored struct {
		index int
		score float64
	}
	hash := xxhash.Sum64String(key)
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{index: i, score: weightedScore(pairScore(xxhash.Sum64String(c.Name), hash), c.Weight)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(candidates[a.index].Name, candidates[b.index].Name)
	})
	out := make([]int, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.index)
	}
	return out
}

// pairScore mixes two hashes into a score that is uniformly distributed over all pairs.
func pairScore(a, b uint64) uint64 {
	const (
		m1 = 0xbf58476d1ce4e5b9
		m2 = 0x94d049bb133111eb
	)
	x := a ^ (b*m1 + m2)
	x = (x ^ x>>30) * m1
	x = (x ^ x>>27) * m2
	return x ^ x>>31
}

// scoreShift reduces a score to the bits that the mantissa of a float64 holds.
const scoreShift = 11

// weightedScore weights a score, so that each candidate has the highest one with a probability in proportion to its weight.
func weightedScore(score uint64, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	const mantissa = 1 << 53
	u := (float64(score>>scoreShift) + 0.5) / mantissa
	return -weight / math.Log(u)
}

// RankMembers returns the up to n members that score highest for a key, the owner first.
func RankMembers(members []cataloger.Member, key string, n int) []cataloger.Member {
	return NewRanking(members).Top(key, n)
}

// Ranking ranks the same members for many keys, as RankMembers does for one.
type Ranking struct {
	members []cataloger.Member
	hashes  []uint64
}

// NewRanking returns a ranking of members, which must not be changed.
func NewRanking(members []cataloger.Member) Ranking {
	r := Ranking{members: members, hashes: make([]uint64, len(members))}
	for i := range members {
		r.hashes[i] = xxhash.Sum64String(members[i].Name)
	}
	return r
}

// Top returns the up to n members that score highest for a key, the owner first.
func (r Ranking) Top(key string, n int) []cataloger.Member {
	type scored struct {
		index int
		score uint64
	}
	hash := xxhash.Sum64String(key)
	n = min(n, len(r.members))
	best := make([]scored, 0, n+1)
	for i, own := range r.hashes {
		c := scored{index: i, score: pairScore(own, hash) >> scoreShift}
		if len(best) == n && (n == 0 || c.score < best[n-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b scored) int {
			if order := cmp.Compare(b.score, a.score); order != 0 {
				return order
			}
			return cmp.Compare(r.members[a.index].Name, r.members[b.index].Name)
		})
		best = slices.Insert(best, at, c)
		best = best[:min(n, len(best))]
	}
	out := make([]cataloger.Member, len(best))
	for i, c := range best {
		out[i] = r.members[c.index]
	}
	return out
}

// Live returns the members that are live.
func Live(members []cataloger.Member) []cataloger.Member {
	var out []cataloger.Member
	for _, m := range members {
		if m.State == cataloger.StateLive {
			out = append(out, m)
		}
	}
	return out
}
