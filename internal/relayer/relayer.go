package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/meter"
	"github.com/rattantray/rattantray/internal/pacer"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/ranker"
	"github.com/rattantray/rattantray/internal/rationer"
	"github.com/rattantray/rattantray/internal/throttler"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Relayer relays requests; set its exported fields before use.
type Relayer struct {
	Backend Backend
	Targets *assessor.Assessor
	// Quarantiner tracks the requests that crash targets.
	Quarantiner *quarantiner.Quarantiner
	// Throttler keeps the limits that targets name.
	Throttler *throttler.Throttler
	// Chooser chooses the paths of generations.
	Chooser *chooser.Chooser
	// Pacer bounds what targets get that have started or come back.
	Pacer *pacer.Pacer
	// Balancer spreads the requests of plain services.
	Balancer *forwarder.Balancer
	// Budget bounds the retries of each service across all daemons.
	Budget rationer.Budget
	// DrainTime is how long targets serve after they were listed as leaving.
	DrainTime time.Duration
	// LinkLostSince returns when this daemon lost its link to the address of a target that other daemons reach, and whether it
	// has.
	LinkLostSince func(address string) (time.Time, bool)
	// CheckLink finds out whether this daemon's link to the address of a target is lost.
	CheckLink func(ctx context.Context, address string)
	// Sharers returns how many daemons share the budget.
	Sharers func() int
	// OnTargetLost is called with each target that this daemon found not to answer.
	OnTargetLost func(target cataloger.Target)
	// OnTargetLeaving is called with each target that announced to this daemon that it leaves.
	OnTargetLeaving func(target cataloger.Target)
	// OnEvidence is called when this daemon has evidence against a request that other daemons do not have yet.
	OnEvidence func()
	// OnLimit is called when a target has told this daemon that it limits its requests.
	OnLimit func()
	Clock   timer.Clock
	Log     zerolog.Logger
	// Meter counts requests by workspace and service.
	Meter *meter.Meter

	mu         sync.Mutex
	rationers  map[string]*rationer.Rationer
	streams    map[*generation]struct{}
	plainSends map[*plainSend]struct{}
	// linksCheckedAt is when links were last checked; only Watch uses it.
	linksCheckedAt time.Time
	lastQueried    map[string]time.Time
	crashChecks    map[string]*crashCheck
	returnDetector returnDetector
	// ranker measures the demand by rank for services whose ranks compete.
	ranker ranker.Ranker
	// Shares tells requests beyond the usual share of their workspace, for services whose loads are shared.
	Shares ranker.Shares
	// reporting is true while evidence of crashes is collected.
	reporting atomic.Bool
	// typicalFirstWait is the typical wait for a first event, in nanoseconds.
	typicalFirstWait atomic.Int64
	// typicalGapNanos is the typical time between two events, in nanoseconds.
	typicalGapNanos atomic.Int64
	// typicalAnswerNanos is the typical time of an answer, in nanoseconds; 0 before the first one.
	typicalAnswerNanos atomic.Int64
	// closing is set once the daemon ends without another daemon to replace it.
	closing atomic.Pointer[Closing]
	// end is done once requests without an answer are refused, as the daemon ends.
	end    context.Context
	endNow context.CancelFunc
}

// New returns a relayer without requests that uses the state of targets.
func New(targets *assessor.Assessor, clock timer.Clock) *Relayer {
	r := &Relayer{
		Targets:         targets,
		Quarantiner:     quarantiner.New(clock.Now),
		Throttler:       throttler.New(clock),
		Pacer:           pacer.New(clock.Now),
		Chooser:         chooser.New(targets, clock.Now),
		Clock:           clock,
		Meter:           meter.New(),
		Log:             zerolog.Nop(),
		LinkLostSince:   func(string) (time.Time, bool) { return time.Time{}, false },
		CheckLink:       func(context.Context, string) {},
		Sharers:         func() int { return 1 },
		OnTargetLost:    func(cataloger.Target) {},
		OnTargetLeaving: func(cataloger.Target) {},
		OnEvidence:      func() {},
		OnLimit:         func() {},
		Balancer:        forwarder.NewBalancer(&forwarder.Forwarder{Clock: clock}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		rationers:       map[string]*rationer.Rationer{},
		streams:         map[*generation]struct{}{},
		plainSends:      map[*plainSend]struct{}{},
		lastQueried:     map[string]time.Time{},
		crashChecks:     map[string]*crashCheck{},
	}
	r.end, r.endNow = context.WithCancel(context.Background())
	r.Chooser.Limits, r.Chooser.AnswerTime = r.Throttler.States, r.typicalAnswerTime
	r.Chooser.Pace = r.Pacer.Verdicts
	r.Pacer.Listed = targets.Listed
	r.Pacer.Usable = func(target string) bool {
		v, ok := targets.Get(target)
		return ok && v.Usable() && !v.Refusing
	}
	r.typicalFirstWait.Store(int64(maxFirstEventTimeout / firstEventTimeoutFactor))
	return r
}

// Serve relays one request and writes its answer; a refusal is returned if nothing was written. It panics with
// http.ErrAbortHandler if an answer that has begun must not look complete.
func (r *Relayer) Serve(ctx context.Context, w http.ResponseWriter, req *Request) *refuser.Refusal {
	if refusal := r.refuseIfClosing(req); refusal != nil {
		return refusal
	}
	r.rationer(req.Service.Name).RecordRequest(r.Clock.Now())
	r.Pacer.RecordRequest(req.Service.Name)
	req.Precedence.Draw, req.Precedence.Returning = rand.Float64(), r.returnDetector.isReturning(req.Route.Name, req.Deadline.Sub(req.Arrived))
	if req.SharesLoads {
		req.Precedence.Beyond = r.isBeyondShare(req)
	}
	if req.Precedence.Contended {
		req.Precedence.Ahead = r.ranker.Record(req.Service.Name, req.Precedence.Rank, req.demand().Tokens, r.Clock.Now())
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer := &answerWriter{ResponseWriter: w}
	ctx, stop := r.withEnd(ctx, answer)
	defer stop()
	w = answer
	if req.IsGeneration() {
		return r.generate(ctx, w, req)
	}
	return r.forward(ctx, w, req)
}

// isBeyondShare records the demand of a request, and reports whether it counts as beyond the usual share of its workspace.
func (r *Relayer) isBeyondShare(req *Request) bool {
	now, workspace := r.Clock.Now(), string(req.Workspace)
	r.Shares.Record(req.Service.Name, workspace, req.demand().Tokens, now)
	return rand.Float64() < r.Shares.Beyond(req.Service.Name, workspace, now)
}

// jitterRetryAfter adds up to half of the retry delay, so that clients refused together do not return together.
func jitterRetryAfter(refusal *refuser.Refusal) *refuser.Refusal {
	if refusal == nil || refusal.RetryAfter <= 0 {
		return refusal
	}
	return refusal.WithRetryAfter(refusal.RetryAfter + rand.N(refusal.RetryAfter/2+1))
}

// RecordRefusal logs and counts a request that the configuration of a version does not allow, or that cannot be parsed.
func (r *Relayer) RecordRefusal(id, host, path string, version uint64, refusal *refuser.Refusal) {
	r.Meter.CountResult(refusal.Code)
	r.Log.Warn().Str("request", id).Str("host", host).Str("path", path).Uint64("config", version).
		Str("code", refusal.Code.String()).Str("why", refusal.Message).Msg("request refused")
}

// logSent logs one send.
func (r *Relayer) logSent(call Call, sendNumber int) {
	r.Log.Info().Str("request", call.Request.ID).Str("target", call.Target.Name).Int("sending", sendNumber).Dur("left", call.Remaining).
		Str("after", call.ResumeAfter).Float64("prompt", call.Request.PromptTokens).Int("rank", call.Request.Precedence.Rank).Strs("parts", call.Request.PromptParts).Uint64("content", uint64(call.Content)).
		Str("path", pathText(call.Path)).Int("paced", r.Pacer.Paced()).Msg("request sent")
}

// pathText returns the targets of a path with their layers.
func pathText(path []cataloger.Stage) string {
	var b strings.Builder
	for i, s := range path {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", s.Target, s.FirstLayer, s.EndLayer)
	}
	return b.String()
}

// notMeasured excludes a time from the metrics.
const notMeasured = -1

// logEnd logs and measures the end of a request.
func (r *Relayer) logEnd(req *Request, refusal *refuser.Refusal, first time.Duration, more func(*zerolog.Event)) {
	took := r.Clock.Now().Sub(req.Arrived)
	e := r.Log.Info()
	code := refuser.OK
	if refusal != nil {
		code = refusal.Code
		e = r.Log.Warn().Str("code", refusal.Code.String()).Str("fact", refusal.Fact.String()).Str("why", refusal.Message)
		if refusal.RetryAfter > 0 {
			e.Dur("retry-after", refusal.RetryAfter)
		}
	}
	r.Meter.Observe(meter.Request{
		Workspace: string(req.Workspace), Service: req.Service.Name, Code: code, FirstToken: first, Total: took, QueueWait: notMeasured,
	})
	e.Str("request", req.ID).Str("route", req.Route.Name).Str("service", req.Service.Name).Uint64("config", req.ConfigVersion).
		Dur("took", took).Func(more).Msg("request ended")
}

func (r *Relayer) rationer(service string) *rationer.Rationer {
	r.mu.Lock()
	defer r.mu.Unlock()
	ra, ok := r.rationers[service]
	if !ok {
		ra = rationer.New(r.Budget)
		r.rationers[service] = ra
	}
	return ra
}

// spendRetry takes one retry out of the budget of the request's service, or returns false.
func (r *Relayer) spendRetry(req *Request) bool {
	return r.rationer(req.Service.Name).AllowRetry(r.Clock.Now(), r.Sharers())
}

// spendOptionalRetry is like spendRetry for a request that is still served where it is.
func (r *Relayer) spendOptionalRetry(req *Request) bool {
	return r.rationer(req.Service.Name).AllowOptionalRetry(r.Clock.Now(), r.Sharers())
}

// expired reports whether the request can't be answered any more: its deadline has passed, its client disconnected, or the daemon ends.
func (r *Relayer) expired(ctx context.Context, req *Request) bool {
	return ctx.Err() != nil || !r.Clock.Now().Before(req.Deadline)
}

// expiryRefusal returns the refusal of an expired request.
func (r *Relayer) expiryRefusal(ctx context.Context, req *Request, fact refuser.Fact) *refuser.Refusal {
	if errors.Is(context.Cause(ctx), errDaemonEnds) {
		return refuser.New(refuser.Draining, "this daemon ends").WithFact(fact).WithRetryAfter(minRetryAfter)
	}
	if r.Clock.Now().Before(req.Deadline) {
		return refuser.New(refuser.Canceled, "the client went away").WithFact(fact)
	}
	return refuser.New(refuser.DeadlineExceeded, "no answer in time").WithFact(fact)
}

// recordFailure records that a target did not answer; a second failure soon after marks it lost.
func (r *Relayer) recordFailure(t cataloger.Target, why string) {
	if r.Targets.RecordUnanswered(t.Name, t.Incarnation) {
		r.markLost(t, why)
	}
}

// HandleNotice applies a notice that a target sent about itself.
func (r *Relayer) HandleNotice(t cataloger.Target, n Notice) {
	if n.Pause > 0 {
		r.Targets.RecordPause(t.Name, t.Incarnation, n.Pause)
		r.Log.Info().Str("target", t.Name).Dur("pause", n.Pause).Msg("target asks for a pause")
	}
	if !n.InvalidLimit {
		r.recordLimit(t, n.Limit)
	}
	if n.Leaving && r.Targets.RecordDeparture(t.Name, t.Incarnation, r.Clock.Now()) {
		r.Log.Info().Str("target", t.Name).Str("address", t.Address).Msg("target says that it leaves")
		r.OnTargetLeaving(t)
	}
}

// markLost records that a target does not answer.
func (r *Relayer) markLost(t cataloger.Target, why string) {
	if r.Targets.Suspect(t.Name, t.Incarnation, r.Clock.Now()) {
		r.Log.Warn().Str("target", t.Name).Str("address", t.Address).Str("why", why).Msg("target believed lost")
		r.Pacer.Begin(t, pacer.ReasonSuspected)
		r.OnTargetLost(t)
	}
}

// copyHeader copies the header of a reply into that of the answer.
func copyHeader(w http.ResponseWriter, h http.Header) {
	out := w.Header()
	for name, values := range h {
		out[name] = values
	}
	if len(h["Content-Type"]) == 0 {
		// A nil value keeps the server from guessing one.
		out["Content-Type"] = nil
	}
}
