package tallier

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxKeys bounds the keys of one message, the largest counts first: some 1.5 kB.
const MaxKeys = 256

// Counts are numbers by key.
type Counts map[uint32]uint32

// Key returns the key of a name.
func Key(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// add adds other counts to the counts.
func (c Counts) add(other Counts) {
	for key, n := range other {
		c[key] += n
	}
}

// without returns the counts less those of other; no count falls below 0.
func (c Counts) without(other Counts) Counts {
	out := make(Counts, len(c))
	for key, n := range c {
		if own := other[key]; n > own {
			out[key] = n - own
		}
	}
	return out
}

// largest returns the n largest counts.
func (c Counts) largest(n int) Counts {
	if len(c) <= n {
		return c
	}
	keys := slices.SortedFunc(maps.Keys(c), func(a, b uint32) int { return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b)) })
	out := make(Counts, n)
	for _, key := range keys[:n] {
		out[key] = c[key]
	}
	return out
}
