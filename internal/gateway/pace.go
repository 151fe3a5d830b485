package gateway

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// paceSettleTime is the time after the start of a daemon in which targets that are new to it are not taken to have started.
const paceSettleTime = 5 * time.Second

// initialReadShare is the share of the objective for first events within which a target that is paced may read what waits there at
// first; the rest is for the other stages.
const initialReadShare = 0.5

// preparePacer connects the pace of targets that have started or come back; it needs the tallier.
func (g *Gateway) preparePacer() {
	p := g.relayer.Pacer
	p.Log, p.Enabled, p.HasSums, p.Lag = g.Log, g.pacesTargets, g.tallier.Fresh, g.tallier.Lag
	p.InitialWindow = g.initialWindow
	p.Daemons = func() int { return len(g.others()) + 1 }
}

// pacesTargets reports whether targets of a service are paced: where their loads are shared, and those of plain services beside these.
func (g *Gateway) pacesTargets(service string) bool {
	m := g.config.Load()
	if m == nil || m.SharesLoads(service) {
		return m != nil
	}
	s, ok := m.Service(service)
	return ok && s.Engine == nil && slices.ContainsFunc(m.Services(), func(s matcher.Service) bool { return m.SharesLoads(s.Name) })
}

// initialWindow returns how many prompts of usual length a target reads within initialReadShare of the objective, if it works as its
// kind does; 0 if that is not known.
func (g *Gateway) initialWindow(t cataloger.Target) float64 {
	m := g.config.Load()
	if m == nil {
		return 0
	}
	s, ok := m.Service(t.Service)
	first, end, _ := t.ReadyLayers()
	if !ok || s.Engine == nil || s.Engine.Layers == 0 || s.Engine.PrefillRate <= 0 || end <= first {
		return 0
	}
	e := s.Engine
	read := e.UsualPrompt / e.PrefillRate * e.Kinds[t.Kind].PrefillFactor * float64(end-first) / float64(e.Layers)
	if read <= 0 {
		return 0
	}
	return initialReadShare * m.Objective(t.Service).Seconds() / read
}

// updatePace paces a target that has started or has got layers since it was last listed.
func (g *Gateway) updatePace(before cataloger.Target, known bool, after cataloger.Target) {
	if known || g.Clock.Now().Sub(g.started) >= paceSettleTime {
		g.relayer.Pacer.Update(before, known, after)
	}
}
