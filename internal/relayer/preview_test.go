package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/throttler"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// knowledge is what requests change in a relayer.
type knowledge struct {
	targets   []assessor.View
	limits    map[string]throttler.State
	evidence  []quarantiner.Evidence
	shares    map[uint32]float64
	crossings map[uint32]float64
	ahead     float64
	budgets   int
	inFlight  int
}

func knowledgeOf(r *Relayer) knowledge {
	k := knowledge{
		targets: r.Targets.Service("llm"), limits: r.Throttler.States(), evidence: r.Quarantiner.Evidence(10), shares: r.Shares.Rates(r.Clock.Now()),
		crossings: r.Chooser.CrossingRates(), ahead: r.ranker.Ahead("llm", 1, 0, r.Clock.Now()), budgets: len(r.rationers), inFlight: r.InProgress(),
	}
	for _, name := range []string{"p1", "p2"} {
		k.inFlight += r.Balancer.Outstanding(name)
	}
	return k
}

// A preview decides as Serve does, and leaves all that it decides by as it was.
func TestPreviewDecidesAsServeAndChangesNothing(t *testing.T) {
	cases := []struct {
		name   string
		req    func() *Request
		before func(r *Relayer)
		code   refuser.Code
	}{
		{"a generation", func() *Request { return stream(true) }, func(*Relayer) {}, refuser.OK},
		{"a contended generation", func() *Request {
			req := stream(true)
			req.SharesLoads, req.Precedence.Contended, req.Precedence.Rank = true, true, 2
			return req
		}, func(r *Relayer) { r.ranker.Record("llm", 0, 500, r.Clock.Now()) }, refuser.OK},
		{"no target for the last layers", func() *Request { return stream(true) }, func(r *Relayer) {
			r.Targets.Suspect("a2", 1, r.Clock.Now())
			r.Targets.Suspect("b2", 1, r.Clock.Now())
		}, refuser.NoPipeline},
		{"targets at their limits", func() *Request { return stream(true) }, func(r *Relayer) {
			for _, name := range []string{"a1", "b1"} {
				v, _ := r.Targets.Get(name)
				r.Throttler.Observe(throttled(v.Target), throttler.Limit{Set: true})
			}
		}, refuser.NoPipeline},
		{"a part that crashes targets", func() *Request {
			req := stream(true)
			req.PromptParts = []string{"p", "q"}
			return req
		}, func(r *Relayer) {
			for i := range uint32(6) {
				r.Quarantiner.RecordCrash([]quarantiner.Key{quarantiner.PartKey("", "p")}, 100+i, 200+i)
				time.Sleep(time.Second)
			}
		}, refuser.Quarantined},
		{"a plain request", func() *Request { return plain(matcher.KindIdempotent) }, func(*Relayer) {}, refuser.OK},
		{"no instance", func() *Request { return plain(matcher.KindIdempotent) }, func(r *Relayer) {
			r.Targets.RecordPause("p1", 1, 2*time.Second)
			r.Targets.RecordPause("p2", 1, 3*time.Second)
		}, refuser.NoTarget},
		{"a daemon that ends", func() *Request { return plain(matcher.KindIdempotent) }, func(r *Relayer) {
			r.BeginClosing(Closing{EndsAt: r.Clock.Now(), ReplacedAt: r.Clock.Now().Add(time.Second)})
		}, refuser.Draining},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeBackend{scripts: []script{{status: 200, body: eventRange(1, 2)}}}
				r := newTestRelayer(f)
				c.before(r)
				before := knowledgeOf(r)
				p := r.Preview(c.req())
				require.Equal(t, before, knowledgeOf(r))
				require.Empty(t, f.calls, "nothing is sent")

				_, refusal, _ := serve(r, c.req())
				if c.code != refuser.OK {
					require.NotNil(t, refusal)
					require.Equal(t, c.code, p.Refusal.Code)
					require.Equal(t, refusal.Code, p.Refusal.Code)
					require.Equal(t, refusal.Message, p.Refusal.Message)
					require.GreaterOrEqual(t, refusal.RetryAfter, p.Refusal.RetryAfter)
					require.LessOrEqual(t, refusal.RetryAfter, p.Refusal.RetryAfter*3/2+1)
					return
				}
				require.Nil(t, p.Refusal)
				require.Nil(t, refusal)
				require.Len(t, f.calls, 1)
				sentTo := f.calls[0].Target.Name
				if len(p.Instances) > 0 {
					require.True(t, p.Instances[0].Preferred && p.Instances[1].Preferred)
					return
				}
				require.Len(t, p.Path, 2)
				require.Len(t, p.Options, 4)
				require.Positive(t, p.FirstTargets[sentTo])
			})
		})
	}
}
