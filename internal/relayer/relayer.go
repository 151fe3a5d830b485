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

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/meter"
	"github.com/rattantray/rattantray/internal/rationer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Relayer relays requests; set its exported fields before use.
type Relayer struct {
	Backend Backend
	Targets *assessor.Assessor
	// Chooser chooses the paths of generations.
	Chooser *chooser.Chooser
	// Balancer spreads the requests of plain services.
	Balancer *forwarder.Balancer
	// Budget bounds the repeats of each service, over all daemons.
	Budget rationer.Budget
	// DrainTime is how long targets serve after they were listed as leaving.
	DrainTime time.Duration
	// Sharers returns how many daemons share the budget.
	Sharers func() int
	// Lost hears of targets that this daemon found not to answer.
	Lost func(target cataloger.Target)
	// Left hears of targets that told this daemon that they leave.
	Left  func(target cataloger.Target)
	Clock timer.Clock
	Log   zerolog.Logger
	// Meter counts requests by workspace and service.
	Meter *meter.Meter

	mu        sync.Mutex
	rationers map[string]*rationer.Rationer
	streams   map[*generation]struct{}
	asked     map[string]time.Time
	returns   returns
	// usualFirst is the usual wait for a first event, in nanoseconds.
	usualFirst atomic.Int64
	// usualGaps is the usual time between two events, in nanoseconds.
	usualGaps atomic.Int64
	// closing is set once the daemon ends without another in its place.
	closing atomic.Pointer[Closing]
}

// New returns a relayer without requests over what is believed of targets.
func New(targets *assessor.Assessor, clock timer.Clock) *Relayer {
	r := &Relayer{
		Targets:   targets,
		Chooser:   chooser.New(targets, clock.Now),
		Clock:     clock,
		Meter:     meter.New(),
		Log:       zerolog.Nop(),
		Sharers:   func() int { return 1 },
		Lost:      func(cataloger.Target) {},
		Left:      func(cataloger.Target) {},
		Balancer:  forwarder.NewBalancer(&forwarder.Forwarder{Clock: clock}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		rationers: map[string]*rationer.Rationer{},
		streams:   map[*generation]struct{}{},
		asked:     map[string]time.Time{},
	}
	r.usualFirst.Store(int64(mostFirstPatience / firstGaps))
	return r
}

// Serve relays one request and writes its answer; a refusal is returned where nothing was written.
// It panics with http.ErrAbortHandler where an answer that has begun must not look complete.
func (r *Relayer) Serve(ctx context.Context, w http.ResponseWriter, req *Request) *refuser.Refusal {
	if refusal := r.closed(req); refusal != nil {
		return refusal
	}
	r.rationer(req.Service.Name).Earn(r.Clock.Now())
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if req.Service.Engine != nil && req.Route.Kind == matcher.KindStreaming {
		return r.generate(ctx, w, req)
	}
	return r.forward(ctx, w, req)
}

// spread adds up to half of the time to come back, so that clients that were refused together do not come back together.
func spread(refusal *refuser.Refusal) *refuser.Refusal {
	if refusal == nil || refusal.RetryAfter <= 0 {
		return refusal
	}
	return refusal.WithRetryAfter(refusal.RetryAfter + rand.N(refusal.RetryAfter/2+1))
}

// Refused writes the line of a request that the configuration of a version does not allow, or that is not understood.
func (r *Relayer) Refused(id, host, path string, version uint64, refusal *refuser.Refusal) {
	r.Meter.CountResult(refusal.Code)
	r.Log.Warn().Str("request", id).Str("host", host).Str("path", path).Uint64("config", version).
		Str("code", refusal.Code.String()).Str("why", refusal.Message).Msg("request refused")
}

// logSent writes the line of one sending.
func (r *Relayer) logSent(call Call, sending int) {
	r.Log.Info().Str("request", call.Request.ID).Str("target", call.Target.Name).Int("sending", sending).Dur("left", call.Left).
		Str("after", call.ResumeAfter).Float64("prompt", call.Request.PromptTokens).Str("path", pathText(call.Path)).Msg("request sent")
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

// notMeasured leaves a time out of the metrics.
const notMeasured = -1

// logEnd writes the line that ends the life of a request.
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

// spend takes one repeat out of the budget of the request's service, or returns false.
func (r *Relayer) spend(req *Request) bool {
	return r.rationer(req.Service.Name).Spend(r.Clock.Now(), r.Sharers())
}

// over tells whether the request can't be answered any more: its time has passed, or its client went away.
func (r *Relayer) over(ctx context.Context, req *Request) bool {
	return ctx.Err() != nil || !r.Clock.Now().Before(req.Deadline)
}

// ended returns the refusal of a request that is over.
func (r *Relayer) ended(req *Request, ran refuser.Fact) *refuser.Refusal {
	if r.Clock.Now().Before(req.Deadline) {
		return refuser.New(refuser.Canceled, "the client went away").WithFact(ran)
	}
	return refuser.New(refuser.DeadlineExceeded, "no answer in time").WithFact(ran)
}

// doubt notes that a target did not answer once; another time soon after, it is lost.
func (r *Relayer) doubt(t cataloger.Target, why string) {
	if r.Targets.Doubt(t.Name, t.Incarnation) {
		r.lose(t, why)
	}
}

// Heed takes in what a target said of itself.
func (r *Relayer) Heed(t cataloger.Target, n Notice) {
	if n.Pause > 0 {
		r.Targets.Pause(t.Name, t.Incarnation, n.Pause)
		r.Log.Info().Str("target", t.Name).Dur("pause", n.Pause).Msg("target wants a pause")
	}
	if n.Leaving && r.Targets.Leave(t.Name, t.Incarnation, r.Clock.Now()) {
		r.Log.Info().Str("target", t.Name).Str("address", t.Address).Msg("target says that it leaves")
		r.Left(t)
	}
}

// lose notes that a target does not answer.
func (r *Relayer) lose(t cataloger.Target, why string) {
	if r.Targets.Lose(t.Name, t.Incarnation, r.Clock.Now()) {
		r.Log.Warn().Str("target", t.Name).Str("address", t.Address).Str("why", why).Msg("target believed lost")
		r.Lost(t)
	}
}

// copyHeader sets the header of an answer to that of a reply.
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
