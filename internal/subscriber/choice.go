package subscriber

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// choice returns up to limit engines: the busy ones first, the rest by rendezvous hashing with the daemon's name.
//
// The hash spreads what each daemon follows, so that an engine has about as many followers as any other.
func choice(self string, engines []cataloger.Target, busy func(string) bool, limit int) []cataloger.Target {
	type ranked struct {
		busy  bool
		score uint64
		cataloger.Target
	}
	list := make([]ranked, 0, len(engines))
	for _, t := range engines {
		list = append(list, ranked{busy(t.Name), xxhash.Sum64String(self + "\x00" + t.Name), t})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.busy && !b.busy:
			return -1
		case b.busy && !a.busy:
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	list = list[:min(limit, len(list))]
	chosen := make([]cataloger.Target, len(list))
	for i, r := range list {
		chosen[i] = r.Target
	}
	return chosen
}
