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

// holdings returns the ranges of the model that a target holds, with adjacent ones merged and the largest of each version
// first.
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
	merged := all[:0]
	for _, h := range all {
		if n := len(merged); n > 0 {
			last := &merged[n-1]
			if last.version == h.version && last.ready == h.ready && h.span.first <= last.span.end {
				last.span.end = max(last.span.end, h.span.end)
				last.adapters = intersect(last.adapters, h.adapters)
				continue
			}
		}
		merged = append(merged, h)
	}
	slices.SortStableFunc(merged, func(a, b held) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(b.span.layers(), a.span.layers()))
	})
	return merged
}

func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(x string) bool { return !slices.Contains(b, x) })
}

// largestOf returns the largest range of a version, and false if there is none.
func largestOf(all []held, version string) (held, bool) {
	for _, h := range all {
		if h.version == version {
			return h, true
		}
	}
	return held{}, false
}

// largestOfOthers returns the largest range of the first other version, and false if there is none.
func largestOfOthers(all []held, version string) (held, bool) {
	for _, h := range all {
		if h.version != version {
			return h, true
		}
	}
	return held{}, false
}

// layersHeld returns the number of layers, of all models, that a target holds.
func layersHeld(t cataloger.Target) uint32 {
	n := uint32(0)
	for _, h := range t.Holdings {
		n += h.EndLayer - min(h.FirstLayer, h.EndLayer)
	}
	return n
}
