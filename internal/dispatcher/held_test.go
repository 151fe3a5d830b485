package dispatcher

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/enginefaker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const heldTokens = 5

// holdStream begins a job like an entry that is lost after a few tokens, and returns the job as the next entry receives it.
func (b *testbed) holdStream(t testing.TB, job Job, tokens int) Job {
	route := cataloger.Route{Model: job.Model, Version: job.Version}
	for _, i := range []int{0, 2, 4} {
		target := b.fleet.Targets[i]
		h := target.Holdings[0]
		route.Stages = append(route.Stages, cataloger.Stage{
			Target: target.Name, Address: target.Address, FirstLayer: h.FirstLayer, EndLayer: h.EndLayer,
		})
	}
	stream, err := b.dispatcher.Engine(route.Stages[0].Address).Generate(t.Context(), &enginev1.GenerateRequest{
		Workspace: job.Workspace, RequestId: job.RequestID, Attempt: 1, Route: protoStages(route),
		Model: job.Model, Version: job.Version, Prompt: job.Prompt, MaxTokens: job.MaxTokens,
	})
	require.NoError(t, err)
	for range tokens {
		m, err := stream.Receive()
		require.NoError(t, err)
		job.Delivered = append(job.Delivered, m.Data)
	}
	require.NoError(t, stream.Close())
	job.StartPosition = uint64(tokens)
	job.Held = HeldAttempt{Attempt: 1, Route: route}
	job.FirstAttempt = 1024
	return job
}

// ranAttempts returns the attempts that engines ran.
func (b *testbed) ranAttempts() map[uint32]bool {
	seen := map[uint32]bool{}
	for _, e := range b.engines {
		for _, r := range e.Ledger().Runs {
			seen[r.Attempt] = true
		}
	}
	return seen
}

func TestHeldStreamIsTakenOver(t *testing.T) {
	cancel := func(t *testing.T, b *testbed, job Job) {
		for _, s := range job.Held.Route.Stages {
			_, err := b.dispatcher.Engine(s.Address).Cancel(t.Context(), &enginev1.CancelRequest{
				Workspace: job.Workspace, RequestId: job.RequestID, Attempt: 1,
			})
			require.NoError(t, err)
		}
	}
	none := func(*testing.T, *testbed, Job) {}
	cases := []struct {
		name string
		// before runs before the next entry takes over, mid at one of the tokens that it delivers.
		before, mid func(t *testing.T, b *testbed, job Job)
		kept        bool
		blamed      bool
	}{
		{name: "held", before: none, mid: none, kept: true},
		{name: "cancelled before", before: cancel, mid: none},
		{name: "cancelled meanwhile", before: none, mid: cancel},
		{name: "head lost", mid: none, before: func(t *testing.T, b *testbed, _ Job) {
			require.NoError(t, b.engines["e0"].SetFaults(enginefaker.Fault{Kind: enginefaker.FaultDie}))
		}, blamed: true},
		{name: "head silent", mid: none, before: func(t *testing.T, b *testbed, _ Job) {
			require.NoError(t, b.engines["e0"].SetFaults(enginefaker.Fault{Kind: enginefaker.FaultStall}))
		}, blamed: true},
		{name: "wrong part", before: none, mid: func(t *testing.T, b *testbed, _ Job) {
			require.NoError(t, b.engines["e0"].SetFaults(enginefaker.Fault{Kind: enginefaker.FaultSkipPosition, Times: 1}))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
			var failed []string
			inner := b.dispatcher.ReportFailed
			b.dispatcher.ReportFailed = func(target string) {
				failed = append(failed, target)
				inner(target)
			}
			job := b.holdStream(t, testJob("r", 40), heldTokens)
			c.before(t, b, job)
			col := &collector{t: t, job: job}
			col.onPart = func(p Part) error {
				for _, s := range p.Route.Stages {
					require.Equal(t, 1, b.selector.Outstanding(s.Target), "the stream counts as work in progress")
				}
				if p.Position == heldTokens+3 {
					c.mid(t, b, job)
				}
				return nil
			}
			require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
			col.requireCompleteAnswer()
			for _, target := range b.fleet.Targets {
				require.Zero(t, b.selector.Outstanding(target.Name))
			}
			last := col.parts[len(col.parts)-1].Attempt
			if c.kept {
				require.Equal(t, map[uint32]bool{1: true}, b.ranAttempts())
				require.Equal(t, int64(1), b.counter("dispatcher.recovered.resume"))
				require.Zero(t, b.counter("dispatcher.recovered.prefill"))
			} else {
				require.GreaterOrEqual(t, last, job.FirstAttempt)
				require.Equal(t, int64(1), b.counter("dispatcher.recovered.prefill"))
			}
			if !c.blamed {
				require.Empty(t, failed, "another entry may have cancelled the stream")
			}
		})
	}
}

// TestHeldStreamFollowedTwice has two entries read one stream; each must deliver every token once.
func TestHeldStreamFollowedTwice(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
	job := b.holdStream(t, testJob("r", 40), heldTokens)
	for i := range 2 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			col := &collector{t: t, job: job}
			require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
			col.requireCompleteAnswer()
		})
	}
}

// TestAttemptNumbersStayBelowEndAttempt breaks every attempt after a token until the attempt numbers of the job are used up.
func TestAttemptNumbersStayBelowEndAttempt(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
	for _, e := range b.engines {
		require.NoError(t, e.SetFaults(enginefaker.Fault{Kind: enginefaker.FaultBreak, AfterTokens: 1}))
	}
	job := testJob("r", 100)
	job.FirstAttempt, job.EndAttempt, job.RetryBudget = 64, 64+fencedStep+8, 100
	var begun []uint32
	job.OnAttempt = func(attempt uint32) { begun = append(begun, attempt) }
	col := &collector{t: t, job: job}
	r := refuser.From(b.dispatcher.Run(t.Context(), job, col.emit))
	require.Equal(t, refuser.AttemptsExhausted, r.Code)
	require.Equal(t, refuser.FactMayHaveRun, r.Fact)
	require.Greater(t, len(begun), 2)
	for i, attempt := range begun {
		require.Less(t, attempt, job.EndAttempt)
		if i > 0 {
			require.Greater(t, attempt, begun[i-1])
		}
	}
}

// BenchmarkReattach measures the time to the next token of an answer after a hand-over, with the stream held and without.
// The prompt of 2,000 tokens takes 200 ms to prefill, and a token comes every 8 ms.
func BenchmarkReattach(b *testing.B) {
	const delivered, answer = 20, 60
	prompt := bytes.Repeat([]byte("word"), 2000)
	engine := func(c *enginefaker.Config) { c.PrefillRate, c.DecodeRate = 120_000, 1500 }
	for _, held := range []bool{true, false} {
		b.Run(fmt.Sprintf("held=%t", held), func(b *testing.B) {
			var sum time.Duration
			for i := range b.N {
				x := newTestbed(b, threeStagesTwoTargetsEach, engine)
				job := testJob(fmt.Sprint("r", i), answer)
				job.Prompt = prompt
				job = x.holdStream(b, job, delivered)
				if !held {
					job.Held = HeldAttempt{}
				}
				began := time.Now()
				first := errors.New("first token")
				require.ErrorIs(b, x.dispatcher.Run(b.Context(), job, func(Part) error {
					sum += time.Since(began)
					return first
				}), first)
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(b.N)/1000, "ms-to-token")
		})
	}
}
