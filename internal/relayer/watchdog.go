package relayer

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/repairer"
)

const (
	// watchInterval is the time between two checks of the streams in progress.
	watchInterval = 50 * time.Millisecond
	// limitInterval is the time between two checks of the limits of targets.
	limitInterval = time.Second
	// A stream that has begun is checked after a silence of minPatience, or of gapPatienceFactor of its mean gaps if
	// longer.
	minPatience       = 250 * time.Millisecond
	gapPatienceFactor = 6
	// maxPatience bounds the patience with slow streams where daemons share their loads, as clients leave after two seconds.
	maxPatience = time.Second
	// Before the first event, a stream is checked after firstEventTimeoutFactor typical waits, within bounds; prompts wait
	// for their prefill.
	firstEventTimeoutFactor = 5
	minFirstEventTimeout    = 200 * time.Millisecond
	maxFirstEventTimeout    = 600 * time.Millisecond
	// clearMargin is how long after a target was suspected an event must pass it to prove that it is not lost.
	clearMargin = 150 * time.Millisecond
	// A mean gap of slowGapFactor typical gaps suggests that a stream has a slow stage. paceQueryInterval is the minimum
	// time between two queries of the pace of one stage.
	slowGapFactor     = 2
	paceQueryInterval = 1500 * time.Millisecond
	// minTypicalGap bounds the typical gap from below while there are few samples; typicalGapWeight is the weight of the
	// past in it.
	minTypicalGap    = 20 * time.Millisecond
	typicalGapWeight = 512
	// initialAnswerTime is assumed for the time of an answer before any has ended.
	initialAnswerTime = 4 * time.Second
	// lostRequestPatience is how many times its patience a request waits that its first target seems to have lost.
	lostRequestPatience = 2
	// repathTimeout bounds an order to replace a stage.
	repathTimeout = 500 * time.Millisecond
	// leavingMargin is how much longer than required a leaving target usually serves.
	leavingMargin = 500 * time.Millisecond
	// handoverTime is the time within which streams leave a target that releases layers; it loads others once they have
	// left.
	handoverTime = 2 * time.Second
)

// Watch checks the streams in progress until ctx is done, and replaces lost and leaving stages.
func (r *Relayer) Watch(ctx context.Context) error {
	var limitsCheckedAt time.Time
	for r.Clock.Sleep(ctx, watchInterval) == nil {
		r.checkStreams(ctx)
		r.checkPlainSends()
		if now := r.Clock.Now(); now.Sub(limitsCheckedAt) >= limitInterval {
			limitsCheckedAt = now
			r.checkLimits(ctx)
		}
	}
	return nil
}

func (r *Relayer) inProgress() []*generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*generation, 0, len(r.streams))
	for g := range r.streams {
		out = append(out, g)
	}
	return out
}

// InProgress returns how many generations are in progress.
func (r *Relayer) InProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// firstEventTimeout returns the wait for a first event after which a stream is checked.
func (r *Relayer) firstEventTimeout() time.Duration {
	typical := time.Duration(r.typicalFirstWait.Load())
	return min(max(firstEventTimeoutFactor*typical, minFirstEventTimeout), maxFirstEventTimeout)
}

// recordFirstWait updates the typical wait for a first event.
func (r *Relayer) recordFirstWait(d time.Duration) {
	typical := r.typicalFirstWait.Load()
	r.typicalFirstWait.Store(typical + (int64(min(d, maxFirstEventTimeout))-typical)/32)
}

// stream returns the generation in the form that the repairer uses.
func (g *generation) stream() repairer.Stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	patience := g.relayer.firstEventTimeout()
	if g.started {
		patience = max(minPatience, gapPatienceFactor*g.meanGap)
		if g.request.SharesLoads {
			patience = min(patience, maxPatience)
		}
	}
	return repairer.Stream{ID: g.request.ID, Path: g.path, Last: g.lastProgress, Patience: patience}
}

// checkStreams finds lost stages and moves the streams that pass them.
func (r *Relayer) checkStreams(ctx context.Context) {
	now := r.Clock.Now()
	generations := r.inProgress()
	streams := make([]repairer.Stream, len(generations))
	for i, g := range generations {
		streams[i] = g.stream()
	}
	r.checkLinks(ctx, generations, now)
	r.clearSuspicions(streams)
	for _, first := range repairer.StagesToQuery(now, streams) {
		if v, ok := r.Targets.Get(first.Target); ok && !v.Unreachable && r.mayQuery(first.Target, now) {
			go r.queryTarget(ctx, v.Target)
		}
	}
	r.querySlowStage(ctx, generations, now)
	for i, g := range generations {
		if g.endQuarantined() {
			// Its quarantine may have begun without new evidence, as another request was answered.
			continue
		}
		if r.leaveLostLink(g, streams[i], now) || r.resendLostRequest(g, streams[i], generations, now) {
			continue
		}
		if toReplace := r.stagesToReplace(g, streams[i], now); len(toReplace) > 0 {
			r.repair(ctx, g, toReplace)
			continue
		}
		r.moveOffLeavingTarget(g, streams[i])
		r.keepOnTime(ctx, g, streams[i], now)
	}
}

// querySlowStage queries one stage of a slower than typical stream for its pace: the one queried longest ago.
func (r *Relayer) querySlowStage(ctx context.Context, generations []*generation, now time.Time) {
	for _, g := range generations {
		g.mu.Lock()
		slow, path := g.started && (g.meanGap > slowGapFactor*r.typicalGap() || g.forecaster.IsLate()), g.path
		g.mu.Unlock()
		if !slow {
			continue
		}
		if stage, ok := r.leastRecentlyQueried(path, now); ok {
			if v, found := r.Targets.Get(stage.Target); found && !v.Unreachable && r.mayQuery(stage.Target, now) {
				go r.queryTarget(ctx, v.Target)
				return
			}
		}
	}
}

// leastRecentlyQueried returns the stage with the oldest report, unless all reports are recent.
func (r *Relayer) leastRecentlyQueried(path []cataloger.Stage, now time.Time) (cataloger.Stage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := -1
	for i, s := range path {
		if now.Sub(r.lastQueried[s.Target]) >= paceQueryInterval && (oldest < 0 || r.lastQueried[s.Target].Before(r.lastQueried[path[oldest].Target])) {
			oldest = i
		}
	}
	if oldest < 0 {
		return cataloger.Stage{}, false
	}
	return path[oldest], true
}

// typicalGap returns the typical time between two events.
func (r *Relayer) typicalGap() time.Duration {
	return max(time.Duration(r.typicalGapNanos.Load()), minTypicalGap)
}

// recordGap updates the typical time between two events.
func (r *Relayer) recordGap(d time.Duration) {
	typical := r.typicalGapNanos.Load()
	r.typicalGapNanos.Store(typical + (int64(min(d, minPatience))-typical)/typicalGapWeight)
}

// typicalAnswerTime returns the typical time of an answer.
func (r *Relayer) typicalAnswerTime() time.Duration {
	if typical := r.typicalAnswerNanos.Load(); typical > 0 {
		return time.Duration(typical)
	}
	return initialAnswerTime
}

// recordAnswerTime updates the typical time of an answer.
func (r *Relayer) recordAnswerTime(d time.Duration) {
	typical := int64(r.typicalAnswerTime())
	r.typicalAnswerNanos.Store(typical + (int64(d)-typical)/32)
}

// resendLostRequest ends a send whose first target seems to have lost the request: it has not begun, while one that the
// target received later has.
func (r *Relayer) resendLostRequest(g *generation, s repairer.Stream, generations []*generation, now time.Time) bool {
	g.mu.Lock()
	waiting, sendStarted := !g.started && !g.repairing, g.sendStarted
	g.mu.Unlock()
	if !waiting || now.Sub(s.Last) < lostRequestPatience*s.Patience || !g.movable() {
		return false
	}
	for _, other := range generations {
		if !other.startedAfter(s.Path[0].Target, sendStarted) {
			continue
		}
		if !g.prepayRetry() {
			return false
		}
		if !g.abandon(errRequestLost) {
			return false
		}
		r.Targets.RecordAnswer(s.Path[0].Target, false)
		return true
	}
	return false
}

// endQuarantined ends a send that has not begun and would crash its target, as requests like it have crashed theirs since it
// was sent.
func (g *generation) endQuarantined() bool {
	g.mu.Lock()
	waiting := !g.started && !g.harmless && !g.trial
	g.mu.Unlock()
	return waiting && g.relayer.Quarantiner.IsQuarantined(g.keys) && g.abandon(errQuarantined)
}

// startedAfter reports whether the generation was sent to the first target after a time and has begun there.
func (g *generation) startedAfter(first string, sentAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started && g.path[0].Target == first && g.sendStarted.After(sentAt)
}

// clearSuspicions clears the suspicion of targets that streams have passed since.
func (r *Relayer) clearSuspicions(streams []repairer.Stream) {
	for _, d := range r.Targets.Suspicions() {
		for _, s := range streams {
			if s.Last.Sub(d.Since) < clearMargin || !s.Passes(d.Target) {
				continue
			}
			if r.Targets.ClearSuspicion(d.Target, s.Last) {
				r.Log.Info().Str("target", d.Target).Msg("target answers after all")
			}
		}
	}
}

func (r *Relayer) mayQuery(target string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastQueried[target]) < repairer.MinQueryInterval {
		return false
	}
	r.lastQueried[target] = now
	return true
}

// queryTarget asks the first stage of a stream for its pace and for the stages that its requests wait for.
func (r *Relayer) queryTarget(ctx context.Context, first cataloger.Target) {
	ctx, cancel := context.WithTimeout(ctx, repairer.QueryTimeout)
	defer cancel()
	report, err := r.Backend.Report(ctx, first)
	if err != nil {
		r.recordFailure(first, "no report: "+err.Error())
		return
	}
	if report.Pace > 0 {
		r.Targets.SetPace(first.Name, report.Pace, r.Clock.Now())
	}
	for _, s := range report.Stalled {
		if v, ok := r.Targets.ByAddress(s.Address); ok {
			r.markLost(v.Target, "reported as silent by "+first.Name)
		}
	}
}

// stagesToReplace returns the stages of a stream that are lost, or that it must leave by now.
func (r *Relayer) stagesToReplace(g *generation, s repairer.Stream, now time.Time) map[string]bool {
	toReplace := map[string]bool{}
	for i, stage := range s.Path {
		v, ok := r.Targets.Get(stage.Target)
		switch {
		case !ok || v.Unreachable:
			// A stream that continues does not need the stage replaced, whatever other daemons report.
			if now.Sub(s.Last) > s.Patience/2 {
				toReplace[stage.Target] = true
			}
		case i > 0 && (r.shouldLeave(s, v) || !holds(v, stage) && r.shouldHandOver(g, s, v)):
			toReplace[stage.Target] = true
		}
	}
	return toReplace
}

// shouldLeave reports whether a stream must continue without a leaving target by now.
func (r *Relayer) shouldLeave(s repairer.Stream, v assessor.View) bool {
	return v.SinceLeaving > repairer.LeaveAfter(s.ID, r.DrainTime+leavingMargin)
}

// shouldHandOver reports whether a stream must now continue without a target that no longer holds its layers:
// immediately if the target restarted instead of releasing them, or if nothing is served until it has loaded others.
func (r *Relayer) shouldHandOver(g *generation, s repairer.Stream, v assessor.View) bool {
	return v.SinceUnload == 0 || v.SinceUnload > repairer.LeaveAfter(s.ID, handoverTime) || !r.Chooser.CoversAllLayers(g.request.demand())
}

// moveOffLeavingTarget moves the rest of a stream to another pipeline before its leaving first target cuts it off.
func (r *Relayer) moveOffLeavingTarget(g *generation, s repairer.Stream) {
	v, ok := r.Targets.Get(s.Path[0].Target)
	if !ok || v.Unreachable || !r.shouldLeave(s, v) {
		return
	}
	if !g.hasStarted() || !g.mayHandOver() {
		return
	}
	if current, begun := g.beginRepair(); begun {
		r.move(g, current, "first target leaves")
	}
}

// holds reports whether a target still holds the layers of a stage; one that releases them waits for the streams that
// pass it.
func holds(v assessor.View, s cataloger.Stage) bool {
	first, end, _ := v.ReadyLayers()
	return first <= s.FirstLayer && s.EndLayer <= end
}

// repair moves a generation off stages, one repair at a time.
func (r *Relayer) repair(ctx context.Context, g *generation, toReplace map[string]bool) {
	if r.awaitsCrashCheck(g, toReplace, r.Clock.Now()) || g.isSuspect() {
		return
	}
	current, ok := g.beginRepair()
	if !ok {
		return
	}
	g.mu.Lock()
	path := g.path
	g.mu.Unlock()
	next, how := r.Chooser.Repair(g.request.demand(), path, toReplace, func() bool { return g.movable() && g.prepayRetry() })
	switch {
	case how == chooser.RepairReplace:
		go r.repath(ctx, g, current, next)
	case how == chooser.RepairMove:
		r.moveOrStay(g, current, "new stages are behind a full pipe")
	case how == chooser.RepairNone && r.anyLost(toReplace):
		r.moveOrStay(g, current, "no target holds the layers of a lost stage")
	default:
		g.endRepair(current, nil)
	}
}

// moveOrStay moves a stream to another pipeline, or ends its repair if it may not be sent again now.
func (r *Relayer) moveOrStay(g *generation, current *leg, why string) {
	if g.mayHandOver() {
		r.move(g, current, why)
		return
	}
	g.endRepair(current, nil)
}

// anyLost reports whether any of the targets is gone, or does not answer.
func (r *Relayer) anyLost(targets map[string]bool) bool {
	for name := range targets {
		if v, ok := r.Targets.Get(name); !ok || v.Unreachable {
			return true
		}
	}
	return false
}

// repath orders the first stage to continue over another path.
func (r *Relayer) repath(ctx context.Context, g *generation, current *leg, next []cataloger.Stage) {
	first, ok := r.Targets.Get(current.first.Name)
	if !ok {
		r.moveOrStay(g, current, "first target has left")
		return
	}
	ctx, stop := context.WithTimeout(ctx, repathTimeout)
	defer stop()
	result, address, err := r.Backend.Repath(ctx, first.Target, g.request.ID, next)
	r.Log.Info().Str("request", g.request.ID).Str("result", result.String()).Str("at", address).Err(err).
		Str("path", pathText(next)).Msg("stages replaced")
	switch result {
	case RepathDone:
		g.endRepair(current, next)
	case RepathRefused:
		if v, ok := r.Targets.ByAddress(address); ok {
			r.Targets.RecordRefusal(v.Name)
		}
		g.endRepair(current, nil)
	case RepathUnknown:
		// Whatever path the target follows now, all parts of it hold their layers.
		r.moveOrStay(g, current, "order to replace stages was not answered")
	case RepathEnded:
		if g.request.SharesLoads && g.isSilent() {
			r.moveOrStay(g, current, "first target no longer has the request")
			return
		}
		g.endRepair(current, nil)
	default:
		g.endRepair(current, nil)
	}
}

// beginRepair begins a repair of the current send, one at a time.
func (g *generation) beginRepair() (*leg, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || g.repairing || g.relayer.Clock.Now().Before(g.repairAt) {
		return nil, false
	}
	g.repairing = true
	return g.current, true
}

// mayHandOver reports whether the stream may be moved to another pipeline now, and takes the send out of the budget.
func (g *generation) mayHandOver() bool { return g.mayHandOverIf(g.relayer.spendRetry) }

// mayHandOverOptionally is like mayHandOver for a stream that is still served where it is.
func (g *generation) mayHandOverOptionally() bool {
	return g.mayHandOverIf(g.relayer.spendOptionalRetry)
}

func (g *generation) mayHandOverIf(spend func(*Request) bool) bool {
	g.mu.Lock()
	early := g.relayer.Clock.Now().Before(g.handOverAt)
	g.mu.Unlock()
	return !early && g.movable() && g.prepay(spend)
}

// endRepair ends a repair of a send, if it is still the current one; a new path replaces the old one.
func (g *generation) endRepair(current *leg, path []cataloger.Stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != current {
		return
	}
	g.repairing = false
	if path == nil {
		g.repairAt = g.relayer.Clock.Now().Add(repairer.RetryInterval)
		return
	}
	g.release()
	g.repaths++
	g.path = path
	g.lastProgress = g.relayer.Clock.Now()
	g.release = g.relayer.Targets.Reserve(path, g.request.demand().Tokens)
}
