package router

import (
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/selector"
)

// heldVersions returns the versions of each model that engines hold, sorted.
func heldVersions(fleet cataloger.Fleet) map[string][]string {
	held := map[string][]string{}
	for _, t := range fleet.Targets {
		for _, h := range t.Holdings {
			if !slices.Contains(held[h.Model], h.Version) {
				held[h.Model] = append(held[h.Model], h.Version)
			}
		}
	}
	for _, versions := range held {
		slices.Sort(versions)
	}
	return held
}

// modelVersions returns the wanted version of each model in force and the others that engines still hold, so that
// requests keep running during a rollout.
func modelVersions(documents []*documenter.Document, held map[string][]string) []selector.Model {
	seen := map[selector.Key]bool{}
	var models []selector.Model
	add := func(m selector.Model) {
		if !seen[m.Key()] {
			seen[m.Key()] = true
			models = append(models, m)
		}
	}
	for _, d := range documents {
		if d.Model == nil {
			continue
		}
		wanted := selectorModel(d)
		add(wanted)
		for _, version := range held[wanted.Name] {
			wanted.Version = version
			add(wanted)
		}
	}
	return models
}

// pickVersion returns the current version if it can run at all, else draws one with a probability in proportion to its
// bound; draw is uniform in [0,1).
func pickVersion(wanted selector.Model, current string, versions []string, bound func(selector.Key) float64, draw float64) string {
	boundOf := func(version string) float64 {
		m := wanted
		m.Version = version
		return bound(m.Key())
	}
	if current != "" && boundOf(current) > 0 {
		return current
	}
	total := 0.0
	for _, v := range versions {
		total += boundOf(v)
	}
	draw *= total
	for _, v := range versions {
		draw -= boundOf(v)
		if draw < 0 {
			return v
		}
	}
	return wanted.Version
}
