package planner

import (
	"cmp"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// held is a range of one version that a target holds or pulls.
type held struct {
	version  string
	span     span
	ready    bool
	adapters []string
}

// holdings returns what a target holds of the model, adjacent ranges joined, the largest of each version first.
func holdings(m Model, t cataloger.Target) []held {
	var all []held
	for _, h := range t.Holdings {
		if h.Model != m.Name || h.EndLayer <= h.FirstLayer || h.EndLayer > m.Layers {
			continue
		}
		all = append(all, held{h.Version, span{h.FirstLayer, h.EndLayer}, h.Ready, h.Adapters})
	}
	slices.SortFunc(all, func(a, b held) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.span.first, b.span.first), cmp.Compare(a.span.end, b.span.end))
	})
	joined := all[:0]
	for _, h := range all {
		if n := len(joined); n > 0 {
			last := &joined[n-1]
			if last.version == h.version && last.ready == h.ready && h.span.first <= last.span.end {
				last.span.end = max(last.span.end, h.span.end)
				last.adapters = common(last.adapters, h.adapters)
				continue
			}
		}
		joined = append(joined, h)
	}
	slices.SortStableFunc(joined, func(a, b held) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(b.span.layers(), a.span.layers()))
	})
	return joined
}

func common(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(x string) bool { return !slices.Contains(b, x) })
}

// main returns the largest range of a version.
func mainOf(all []held, version string) (held, bool) {
	for _, h := range all {
		if h.version == version {
			return h, true
		}
	}
	return held{}, false
}

// other returns the largest range of another version.
func otherOf(all []held, version string) (held, bool) {
	for _, h := range all {
		if h.version != version {
			return h, true
		}
	}
	return held{}, false
}

// layersHeld counts the layers of every model that a target holds.
func layersHeld(t cataloger.Target) uint32 {
	n := uint32(0)
	for _, h := range t.Holdings {
		n += h.EndLayer - min(h.FirstLayer, h.EndLayer)
	}
	return n
}
