package router

import (
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// suspectCutOff returns a copy of the fleet in which the live targets of another data centre are suspect if daemons are
// tracked there and none of them is reachable.
//
// The loss of the daemons is detected within a second or two, before the health checks of all the targets have timed out.
// A daemon that reaches no other one is cut off itself and suspects no target.
func suspectCutOff(fleet cataloger.Fleet, self cataloger.Member) cataloger.Fleet {
	tracked, reachable := otherDataCentres(fleet, self)
	if len(reachable) == 0 {
		return fleet
	}
	targets := slices.Clone(fleet.Targets)
	for i, t := range targets {
		cutOff := t.DataCentre != self.DataCentre && tracked[t.DataCentre] && !reachable[t.DataCentre]
		if cutOff && t.State == cataloger.StateLive {
			targets[i] = t.WithState(cataloger.StateSuspect)
		}
	}
	fleet.Targets = targets
	return fleet
}

// isolated reports whether a daemon tracks other daemons but reaches none of them.
func isolated(fleet cataloger.Fleet, self cataloger.Member) bool {
	tracked, reachable := otherDataCentres(fleet, self)
	return len(tracked) > 0 && len(reachable) == 0
}

// otherDataCentres returns the data centres of the other daemons, and those where at least one of them is reachable.
func otherDataCentres(fleet cataloger.Fleet, self cataloger.Member) (tracked, reachable map[cataloger.DataCentre]bool) {
	tracked = map[cataloger.DataCentre]bool{}
	reachable = map[cataloger.DataCentre]bool{}
	for _, m := range fleet.Members {
		if m.Name == self.Name {
			continue
		}
		tracked[m.DataCentre] = true
		if m.State == cataloger.StateLive || m.State == cataloger.StateLeaving {
			reachable[m.DataCentre] = true
		}
	}
	return tracked, reachable
}
