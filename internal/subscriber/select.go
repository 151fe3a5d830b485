package subscriber

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// selectEngines returns up to limit engines: the busy ones first, the others by rendezvous hashing with the daemon's name.
// The hash spreads the streams of the daemons over the engines, so that each engine serves about as many as any other.
func selectEngines(self string, engines []cataloger.Target, busy func(string) bool, limit int) []cataloger.Target {
	type ranked struct {
		busy  bool
		score uint64
		cataloger.Target
	}
	candidates := make([]ranked, 0, len(engines))
	for _, t := range engines {
		candidates = append(candidates, ranked{busy(t.Name), xxhash.Sum64String(self + "\x00" + t.Name), t})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		switch {
		case a.busy && !b.busy:
			return -1
		case b.busy && !a.busy:
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	candidates = candidates[:min(limit, len(candidates))]
	selected := make([]cataloger.Target, len(candidates))
	for i, r := range candidates {
		selected[i] = r.Target
	}
	return selected
}
