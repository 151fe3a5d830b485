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
	// watchInterval is the time between two looks at the streams in progress.
	watchInterval = 50 * time.Millisecond
	// leastPatience is the silence in the middle of a stream that is worth a look, and gapPatience how many usual gaps.
	leastPatience = 250 * time.Millisecond
	gapPatience   = 6
	// Before the first event, firstGaps usual waits are worth a look, within bounds; prompts wait for their prefill.
	firstGaps          = 5
	leastFirstPatience = 200 * time.Millisecond
	mostFirstPatience  = 600 * time.Millisecond
	// clearTime is how long after a target was believed lost an event must come through it to prove that it is not.
	clearTime = 150 * time.Millisecond
	// slowGaps usual gaps are the mean gap of a stream that has a slow stage, as it seems; paceAskPause is the least time
	// between two questions to one stage for its pace.
	slowGaps     = 2
	paceAskPause = 1500 * time.Millisecond
	// leastUsualGap bounds the usual gap from below while little is known, and usualWeight is the weight of the past in it.
	leastUsualGap = 20 * time.Millisecond
	usualWeight   = 512
	// swallowPatience is how many times its patience a request waits that its first target seems to have lost.
	swallowPatience = 2
	// repathTimeout bounds an order to replace a stage.
	repathTimeout = 500 * time.Millisecond
	// leavingMargin is how much longer than it has to a leaving target usually serves.
	leavingMargin = 500 * time.Millisecond
	// handoverTime is within which the streams leave a target that gives layers up; it loads others once they have.
	handoverTime = 2 * time.Second
)

// Watch looks after the streams in progress until ctx is done.
func (r *Relayer) Watch(ctx context.Context) error {
	for r.Clock.Sleep(ctx, watchInterval) == nil {
		r.look(ctx)
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

// firstPatience returns the wait for a first event that is worth a look.
func (r *Relayer) firstPatience() time.Duration {
	usual := time.Duration(r.usualFirst.Load())
	return min(max(firstGaps*usual, leastFirstPatience), mostFirstPatience)
}

// noteFirst takes the wait for a first event into the usual one.
func (r *Relayer) noteFirst(d time.Duration) {
	usual := r.usualFirst.Load()
	r.usualFirst.Store(usual + (int64(min(d, mostFirstPatience))-usual)/32)
}

// stream returns the generation as the repairer sees it.
func (g *generation) stream() repairer.Stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	patience := g.relayer.firstPatience()
	if g.started {
		patience = max(leastPatience, gapPatience*g.gap)
	}
	return repairer.Stream{ID: g.request.ID, Path: g.path, Last: g.last, Patience: patience}
}

// look finds lost stages and moves what passes through them.
func (r *Relayer) look(ctx context.Context) {
	now := r.Clock.Now()
	generations := r.inProgress()
	streams := make([]repairer.Stream, len(generations))
	for i, g := range generations {
		streams[i] = g.stream()
	}
	r.clear(streams)
	for _, first := range repairer.StagesToQuery(now, streams) {
		if v, ok := r.Targets.Get(first.Target); ok && !v.Lost && r.mayAsk(first.Target, now) {
			go r.ask(ctx, v.Target)
		}
	}
	r.askSlow(ctx, generations, now)
	for i, g := range generations {
		if r.leaveSwallowed(g, streams[i], generations, now) {
			continue
		}
		if gone := r.goneStages(g, streams[i], now); len(gone) > 0 {
			r.repair(ctx, g, gone)
			continue
		}
		r.leaveFirst(g, streams[i])
	}
}

// askSlow asks a stage of a stream that is slower than is usual for its pace, the one that was asked longest ago.
func (r *Relayer) askSlow(ctx context.Context, generations []*generation, now time.Time) {
	for _, g := range generations {
		g.mu.Lock()
		slow, path := g.started && g.gap > slowGaps*r.usualGap(), g.path
		g.mu.Unlock()
		if !slow {
			continue
		}
		if stage, ok := r.longestUnasked(path, now); ok {
			if v, found := r.Targets.Get(stage.Target); found && !v.Lost && r.mayAsk(stage.Target, now) {
				go r.ask(ctx, v.Target)
				return
			}
		}
	}
}

// longestUnasked returns the stage whose report is the oldest, unless all are fresh.
func (r *Relayer) longestUnasked(path []cataloger.Stage, now time.Time) (cataloger.Stage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, s := range path {
		if now.Sub(r.asked[s.Target]) >= paceAskPause && (best < 0 || r.asked[s.Target].Before(r.asked[path[best].Target])) {
			best = i
		}
	}
	if best < 0 {
		return cataloger.Stage{}, false
	}
	return path[best], true
}

// usualGap returns the usual time between two events.
func (r *Relayer) usualGap() time.Duration {
	return max(time.Duration(r.usualGaps.Load()), leastUsualGap)
}

// noteGap takes a time between two events into the usual one.
func (r *Relayer) noteGap(d time.Duration) {
	usual := r.usualGaps.Load()
	r.usualGaps.Store(usual + (int64(min(d, leastPatience))-usual)/usualWeight)
}

// leaveSwallowed ends a sending whose first target has lost the request, as it seems: it has not begun, while one that the
// target received later has.
func (r *Relayer) leaveSwallowed(g *generation, s repairer.Stream, generations []*generation, now time.Time) bool {
	g.mu.Lock()
	waits, sentAt, cancel := !g.started && !g.moving, g.sentAt, g.cancel
	g.mu.Unlock()
	if !waits || now.Sub(s.Last) < swallowPatience*s.Patience || !g.movable() {
		return false
	}
	for _, other := range generations {
		if !other.overtook(s.Path[0].Target, sentAt) {
			continue
		}
		if !g.prepay() {
			return false
		}
		r.Targets.Answer(s.Path[0].Target, false)
		cancel(errSwallowed)
		return true
	}
	return false
}

// overtook tells whether the generation has begun at a first target that received it after a time.
func (g *generation) overtook(first string, sentAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started && g.path[0].Target == first && g.sentAt.After(sentAt)
}

// clear takes doubts back about targets that streams have passed since.
func (r *Relayer) clear(streams []repairer.Stream) {
	for _, d := range r.Targets.Doubts() {
		for _, s := range streams {
			if s.Last.Sub(d.Since) < clearTime || !s.Passes(d.Target) {
				continue
			}
			if r.Targets.Clear(d.Target, s.Last) {
				r.Log.Info().Str("target", d.Target).Msg("target answers after all")
			}
		}
	}
}

func (r *Relayer) mayAsk(target string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.asked[target]) < repairer.MinQueryInterval {
		return false
	}
	r.asked[target] = now
	return true
}

// ask learns from the first stage of a silent stream which stages its requests wait for.
func (r *Relayer) ask(ctx context.Context, first cataloger.Target) {
	ctx, cancel := context.WithTimeout(ctx, repairer.QueryTimeout)
	defer cancel()
	report, err := r.Backend.Report(ctx, first)
	if err != nil {
		r.doubt(first, "no report: "+err.Error())
		return
	}
	if report.Pace > 0 {
		r.Targets.SetPace(first.Name, report.Pace, r.Clock.Now())
	}
	for _, s := range report.Stalled {
		if v, ok := r.Targets.At(s.Address); ok {
			r.lose(v.Target, "reported as silent by "+first.Name)
		}
	}
}

// goneStages returns the stages of a stream that were lost, or that it is to leave by now.
func (r *Relayer) goneStages(g *generation, s repairer.Stream, now time.Time) map[string]bool {
	gone := map[string]bool{}
	for i, stage := range s.Path {
		v, ok := r.Targets.Get(stage.Target)
		switch {
		case !ok || v.Lost:
			// A stream that goes on does not need the stage moved, whatever others believe.
			if now.Sub(s.Last) > s.Patience/2 {
				gone[stage.Target] = true
			}
		case i > 0 && (r.leaves(s, v) || !holds(v, stage) && r.handsOver(g, s, v)):
			gone[stage.Target] = true
		}
	}
	return gone
}

// leaves tells whether it is time for a stream to go on without a target that leaves.
func (r *Relayer) leaves(s repairer.Stream, v assessor.View) bool {
	return v.Left > repairer.LeaveAfter(s.ID, r.DrainTime+leavingMargin)
}

// handsOver tells whether it is time for a stream to go on without a target that does not hold the layers which it needs any
// more: at once where the target started again instead of giving them up, or where nothing is served until it has loaded
// others.
func (r *Relayer) handsOver(g *generation, s repairer.Stream, v assessor.View) bool {
	return v.GaveUp == 0 || v.GaveUp > repairer.LeaveAfter(s.ID, handoverTime) || !r.Chooser.Whole(g.request.demand())
}

// leaveFirst sends what is left of a stream over another pipeline before its first target, which leaves, cuts it off.
func (r *Relayer) leaveFirst(g *generation, s repairer.Stream) {
	v, ok := r.Targets.Get(s.Path[0].Target)
	if !ok || v.Lost || !r.leaves(s, v) {
		return
	}
	g.mu.Lock()
	begun, cancel := g.started && !g.moving, g.cancel
	g.mu.Unlock()
	if begun && g.movable() && g.prepay() {
		cancel(errMoved)
	}
}

// holds tells whether a target still holds the layers of a stage; one that gives them up waits for the streams that pass it.
func holds(v assessor.View, s cataloger.Stage) bool {
	first, end, _ := v.Held()
	return first <= s.FirstLayer && s.EndLayer <= end
}

// repair moves a generation off stages; it does so once at a time.
func (r *Relayer) repair(ctx context.Context, g *generation, gone map[string]bool) {
	g.mu.Lock()
	path, wait, cancel := g.path, g.moving || r.Clock.Now().Before(g.repairAt), g.cancel
	g.moving = g.moving || !wait
	g.mu.Unlock()
	if wait {
		return
	}
	next, how := r.Chooser.Repair(g.request.demand(), path, gone, func() bool { return g.movable() && g.prepay() })
	switch how {
	case chooser.RepairReplace:
		go r.repath(ctx, g, path, next, cancel)
	case chooser.RepairMove:
		cancel(errMoved)
	case chooser.RepairWait:
		g.settle(nil)
	case chooser.RepairNone:
		r.abandon(g, cancel, gone)
	}
}

// abandon ends a sending whose stages can't be replaced, so that it goes on over another pipeline where that is allowed.
func (r *Relayer) abandon(g *generation, cancel context.CancelCauseFunc, gone map[string]bool) {
	lost := false
	for name := range gone {
		v, ok := r.Targets.Get(name)
		lost = lost || !ok || v.Lost
	}
	if lost && g.movable() && g.prepay() {
		cancel(errMoved)
		return
	}
	g.settle(nil)
}

// repath orders the first stage to go on over another path.
func (r *Relayer) repath(ctx context.Context, g *generation, old, next []cataloger.Stage, cancel context.CancelCauseFunc) {
	first, ok := r.Targets.Get(old[0].Target)
	if !ok {
		cancel(errMoved)
		return
	}
	ctx, stop := context.WithTimeout(ctx, repathTimeout)
	defer stop()
	result, address, err := r.Backend.Repath(ctx, first.Target, g.request.ID, next)
	r.Log.Info().Str("request", g.request.ID).Str("result", result.String()).Str("at", address).Err(err).
		Str("path", pathText(next)).Msg("stages replaced")
	switch result {
	case RepathDone:
		g.settle(next)
	case RepathRefused:
		if v, ok := r.Targets.At(address); ok {
			r.Targets.Refuse(v.Name)
		}
		g.settle(nil)
	case RepathUnknown:
		// Whatever path the target follows now, all parts of it hold their layers.
		if g.movable() && g.prepay() {
			cancel(errMoved)
			return
		}
		g.settle(nil)
	default:
		g.settle(nil)
	}
}

// settle ends a repair; a new path takes the place of the old one.
func (g *generation) settle(path []cataloger.Stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moving = false
	if path == nil {
		g.repairAt = g.relayer.Clock.Now().Add(repairer.RetryInterval)
		return
	}
	g.release()
	g.repaths++
	g.path = path
	g.last = g.relayer.Clock.Now()
	g.release = g.relayer.Targets.Reserve(path, g.request.demand().Tokens)
}
