package relayer

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/forecaster"
	"github.com/rattantray/rattantray/internal/repairer"
)

// Names of the counters of streams that were too slow for their deadlines, or had stalled.
const (
	metricSlowReplaced = "slow-streams-replaced"
	metricSlowMoved    = "slow-streams-moved"
	metricStalledMoved = "stalled-streams-moved"
)

// keepOnTime replaces the slow stages of a stream that is too slow to end before its deadline, or moves it to another pipeline, as it does
// with one that has stalled.
func (r *Relayer) keepOnTime(ctx context.Context, g *generation, s repairer.Stream, now time.Time) {
	if !g.request.SharesLoads {
		return
	}
	p, ok := g.forecastStream(s, now)
	if !ok {
		return
	}
	action := g.forecaster.Decide(now, p)
	if action == forecaster.Keep || g.isSuspect() {
		return
	}
	current, begun := g.beginRepair()
	if !begun {
		return
	}
	paces := p.Paces()
	e := r.Log.Info().Str("request", g.request.ID).Str("action", action.String()).Dur("gap", p.Gap).Dur("typical-gap", p.TypicalGap).
		Dur("silent", p.Silence).Dur("left", p.Deadline.Sub(now)).Floats64("paces", paces)
	taken := false
	switch action {
	case forecaster.Replace:
		taken = r.replaceSlow(ctx, g, current, s, paces)
	case forecaster.Move:
		taken = r.moveServed(g, current, metricSlowMoved, "the stream is too slow for its deadline")
	case forecaster.Resend:
		taken = r.moveServed(g, current, metricStalledMoved, "the stream has stalled")
	}
	if !taken {
		g.endRepair(current, nil)
	}
	e.Bool("taken", taken).Msg("stream is too slow or has stalled")
}

// forecastStream returns the generation in the form that the forecaster uses, or false if it has no send or its events are not numbered.
func (g *generation) forecastStream(s repairer.Stream, now time.Time) (forecaster.Stream, bool) {
	r, q := g.relayer, g.request
	g.mu.Lock()
	delivered, isNumber := parseNumber(g.lastEvent)
	p := forecaster.Stream{
		ID: q.ID, Deadline: q.Deadline, Events: g.eventCount, Delivered: int(delivered), Gap: g.meanGap, TypicalGap: r.typicalGap(),
		Silence: now.Sub(s.Last), UsualSilence: max(g.meanGap, r.typicalGap()),
		ClientPatience: forecaster.ClientPatience(q.Route.Objective, q.Route.GapObjective),
	}
	if !g.started {
		p.UsualSilence = time.Duration(r.typicalFirstWait.Load())
	}
	usable := g.current != nil && (isNumber || g.lastEvent == "")
	g.mu.Unlock()
	if !usable {
		return forecaster.Stream{}, false
	}
	if tokensPerEvent := float64(q.Service.Engine.StepsPerPass); tokensPerEvent > 0 {
		read, tokens := chooser.EstimateTokens(q.Service.Engine, q.PromptTokens, q.MaxTokens, q.HintTokens)
		p.Expected, p.Max = (tokens-read)/tokensPerEvent, q.MaxTokens/tokensPerEvent
	}
	p.Paces, p.Movable = func() []float64 { return r.paces(s.Path) }, g.movable
	return p, true
}

// paces returns the paces of stages, or none if one is gone.
func (r *Relayer) paces(path []cataloger.Stage) []float64 {
	out := make([]float64, len(path))
	for i, stage := range path {
		v, ok := r.Targets.Get(stage.Target)
		if !ok {
			return nil
		}
		out[i] = v.Pace
	}
	return out
}

// moveServed begins to move a stream that no target has lost to another pipeline, if the budget has repeats to spare.
func (r *Relayer) moveServed(g *generation, current *leg, metric, why string) bool {
	if !g.mayHandOverOptionally() {
		return false
	}
	r.Meter.Counter(metric).Inc(1)
	r.move(g, current, why)
	return true
}

// replaceSlow begins to replace the slow stages of a stream, if other targets have room for them.
func (r *Relayer) replaceSlow(ctx context.Context, g *generation, current *leg, s repairer.Stream, paces []float64) bool {
	slow := map[string]bool{}
	for i, pace := range paces {
		if i > 0 && pace >= forecaster.SlowPace {
			slow[s.Path[i].Target] = true
		}
	}
	next, ok := r.Chooser.Relieve(g.request.demand(), s.Path, slow, forecaster.SlowPace)
	if !ok {
		return false
	}
	r.Meter.Counter(metricSlowReplaced).Inc(1)
	go r.repath(ctx, g, current, next)
	return true
}
