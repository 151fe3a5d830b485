package router

import (
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// doubtCutOff returns a view in which the targets of a data centre are in doubt where none of its daemons can be reached.
//
// Its daemons are missed within a second or two, before the probes of each of its targets have timed out.
// A daemon that reaches nobody else is cut off itself and doubts no one.
func doubtCutOff(fleet cataloger.Fleet, self cataloger.Member) cataloger.Fleet {
	known, reached := otherDataCentres(fleet, self)
	if len(reached) == 0 {
		return fleet
	}
	targets := slices.Clone(fleet.Targets)
	for i, t := range targets {
		cutOff := t.DataCentre != self.DataCentre && known[t.DataCentre] && !reached[t.DataCentre]
		if cutOff && t.State == cataloger.StateLive {
			targets[i] = t.WithState(cataloger.StateSuspect)
		}
	}
	fleet.Targets = targets
	return fleet
}

// isolated tells whether a daemon hears of no other one, though it knows some.
func isolated(fleet cataloger.Fleet, self cataloger.Member) bool {
	known, reached := otherDataCentres(fleet, self)
	return len(known) > 0 && len(reached) == 0
}

// otherDataCentres returns where other daemons than this one are known, and where at least one of them is heard.
func otherDataCentres(fleet cataloger.Fleet, self cataloger.Member) (known, reached map[cataloger.DataCentre]bool) {
	known = map[cataloger.DataCentre]bool{}
	reached = map[cataloger.DataCentre]bool{}
	for _, m := range fleet.Members {
		if m.Name == self.Name {
			continue
		}
		known[m.DataCentre] = true
		if m.State == cataloger.StateLive || m.State == cataloger.StateLeaving {
			reached[m.DataCentre] = true
		}
	}
	return known, reached
}
