package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/selector"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// atPosition returns a function that calls do with the target of a stage when the part at a position arrives.
func atPosition(position uint64, stage int, do func(target string)) func(Part) error {
	return func(p Part) error {
		if p.Position == position {
			do(p.Receipt.Stages[stage].Target)
		}
		return nil
	}
}

// setFaultBeforeFirstAttempt sets a fault on the target of a stage of the first route before its attempt starts. An engine
// runs ahead of the reader of its answer, so that a fault set during the answer may come after the engine has finished.
func (b *testbed) setFaultBeforeFirstAttempt(stage int, f enginefaker.Fault) {
	pick := b.dispatcher.Pick
	first := true
	b.dispatcher.Pick = func(req selector.Request) (cataloger.Route, *selector.Permit, error) {
		route, permit, err := pick(req)
		if err == nil && first {
			first = false
			err = b.engines[route.Stages[stage].Target].SetFaults(f)
		}
		return route, permit, err
	}
}

func TestFaultsMidAnswer(t *testing.T) {
	cases := []struct {
		kind    enginefaker.FaultKind
		times   int
		counter string
	}{
		{enginefaker.FaultBreak, 1, "dispatcher.failed.broken"},
		{enginefaker.FaultDie, 0, "dispatcher.failed.broken"},
		{enginefaker.FaultStall, 0, "dispatcher.failed.stalled"},
		{enginefaker.FaultSkipLayer, 1, "verifier.layer-missing"},
		{enginefaker.FaultDuplicateLayer, 1, "verifier.layer-repeated"},
		{enginefaker.FaultWrongVersion, 1, "verifier.wrong-version"},
		{enginefaker.FaultWrongVersion, 0, "verifier.wrong-version"},
		{enginefaker.FaultSkipLayer, 0, "verifier.layer-missing"},
	}
	for _, c := range cases {
		for stage := range 3 {
			t.Run(fmt.Sprintf("%s/times %d/stage %d", c.kind, c.times, stage), func(t *testing.T) {
				b := newTestbed(t, threeStagesTwoTargetsEach, nil)
				job := testJob("r", 30)
				col := &collector{t: t, job: job}
				if c.kind == enginefaker.FaultDie {
					b.setFaultBeforeFirstAttempt(stage, enginefaker.Fault{Kind: enginefaker.FaultDelay, Delay: enginefaker.Duration(20 * time.Millisecond)})
					col.onPart = atPosition(5, stage, func(target string) {
						require.NoError(t, b.engines[target].SetFaults(enginefaker.Fault{Kind: c.kind, Times: c.times}))
					})
				} else {
					b.setFaultBeforeFirstAttempt(stage, enginefaker.Fault{Kind: c.kind, Times: c.times, AfterTokens: 5})
				}
				require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
				col.requireCompleteAnswer()
				require.GreaterOrEqual(t, b.counter(c.counter), int64(1))
				require.Greater(t, col.parts[29].Attempt, col.parts[0].Attempt)
			})
		}
	}
}

func TestInvalidPartsFromFirstStage(t *testing.T) {
	cases := []struct {
		kind    enginefaker.FaultKind
		counter string
		// replaced is true if the attempt cannot continue.
		replaced bool
	}{
		{enginefaker.FaultSkipPosition, "verifier.skipped-position", true},
		{enginefaker.FaultForeignRequest, "verifier.foreign-request", false},
		{enginefaker.FaultOldAttempt, "verifier.old-attempt", false},
		{enginefaker.FaultRepeatPosition, "verifier.repeated-position", false},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, nil)
			job := testJob("r", 30)
			col := &collector{t: t, job: job}
			for _, e := range b.engines {
				require.NoError(t, e.SetFaults(enginefaker.Fault{Kind: c.kind, Times: 1, AfterTokens: 7}))
			}
			require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
			col.requireCompleteAnswer()
			require.GreaterOrEqual(t, b.counter(c.counter), int64(1))
			require.Equal(t, c.replaced, col.parts[29].Attempt > 1)
		})
	}
}

func TestBeforeFirstToken(t *testing.T) {
	cases := []enginefaker.Fault{
		{Kind: enginefaker.FaultRefuse, Times: 1},
		{Kind: enginefaker.FaultDropAnswer, RPC: "Generate", Times: 1},
		{Kind: enginefaker.FaultBreak, Times: 1},
		{Kind: enginefaker.FaultDie},
	}
	for _, fault := range cases {
		t.Run(string(fault.Kind), func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, nil)
			b.setFaultBeforeFirstAttempt(0, fault)
			for i := range 4 {
				job := testJob(fmt.Sprint("r", i), 10)
				col := &collector{t: t, job: job}
				require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
				col.requireCompleteAnswer()
			}
			require.Positive(t, b.counter("dispatcher.failed.refused")+b.counter("dispatcher.failed.broken"))
		})
	}
}

func TestTwoFaultsInOneAnswer(t *testing.T) {
	b := newTestbed(t, [][2]uint32{{0, 4}, {0, 4}, {4, 8}, {4, 8}, {8, 12}, {8, 12}, {0, 6}, {6, 12}}, nil)
	job := testJob("r", 40)
	col := &collector{t: t, job: job}
	die := func(target string) {
		require.NoError(t, b.engines[target].SetFaults(enginefaker.Fault{Kind: enginefaker.FaultDie}))
	}
	first, second := atPosition(5, 1, die), atPosition(20, 0, die)
	col.onPart = func(p Part) error { return errors.CombineErrors(first(p), second(p)) }
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	col.requireCompleteAnswer()
}

func TestBrokenConnectionIsResumed(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, nil)
	inner := b.dispatcher.Engine
	b.dispatcher.Engine = func(address string) *engineer.Engine {
		e := *inner(address)
		generate := e.Generate
		e.Generate = func(ctx context.Context, req *enginev1.GenerateRequest) (*engineer.Stream, error) {
			s, err := generate(ctx, req)
			if err != nil {
				return nil, err
			}
			remaining := 6
			return &engineer.Stream{Close: s.Close, Receive: func() (*enginev1.GenerateResponse, error) {
				remaining--
				if remaining < 0 {
					return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
				}
				return s.Receive()
			}}, nil
		}
		return &e
	}
	job := testJob("r", 30)
	col := &collector{t: t, job: job}
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	col.requireCompleteAnswer()
	require.Equal(t, uint32(1), col.parts[29].Attempt)
	require.Equal(t, int64(1), b.counter("dispatcher.recovered.resume"))
	require.Zero(t, b.counter("dispatcher.recovered.prefill"))
}

func (b *testbed) setState(name string, s cataloger.State) {
	targets := append([]cataloger.Target(nil), b.fleet.Targets...)
	for i := range targets {
		if targets[i].Name == name {
			targets[i] = targets[i].WithState(s)
		}
	}
	b.fleet.Targets = targets
	b.update()
}

// slowDecode makes a token take a few milliseconds, so that streams last long enough.
func slowDecode(c *enginefaker.Config) { c.DecodeRate = 1000 }

func TestLeavingTargetIsMovedWithItsCache(t *testing.T) {
	for stage := range 3 {
		t.Run(fmt.Sprint("stage ", stage), func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
			job := testJob("r", 60)
			col := &collector{t: t, job: job}
			left := ""
			col.onPart = atPosition(5, stage, func(target string) {
				left = target
				b.setState(target, cataloger.StateLeaving)
			})
			require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
			col.requireCompleteAnswer()
			require.Equal(t, int64(1), b.counter("dispatcher.moved"))
			require.Zero(t, b.counter("dispatcher.recovered.prefill"))
			require.NotEqual(t, left, col.parts[59].Receipt.Stages[stage].Target)
			for i, s := range col.parts[59].Receipt.Stages {
				require.Equal(t, i != stage, s.Target == col.parts[0].Receipt.Stages[i].Target)
			}
		})
	}
}

func TestLeavingTargetWithoutSubstituteIsNotCut(t *testing.T) {
	b := newTestbed(t, [][2]uint32{{0, 4}, {4, 8}, {8, 12}}, slowDecode)
	job := testJob("r", 60)
	col := &collector{t: t, job: job}
	col.onPart = atPosition(5, 1, func(target string) { b.setState(target, cataloger.StateLeaving) })
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	col.requireCompleteAnswer()
	require.Equal(t, uint32(1), col.parts[59].Attempt)
}

func TestCancelReachesEveryStage(t *testing.T) {
	cases := []struct {
		name string
		code refuser.Code
		stop func(cancel context.CancelFunc, job *Job)
	}{
		{"caller cancels", refuser.Canceled, func(cancel context.CancelFunc, _ *Job) { time.AfterFunc(100*time.Millisecond, cancel) }},
		{"deadline", refuser.DeadlineExceeded, func(_ context.CancelFunc, job *Job) { job.Deadline = time.Now().Add(100 * time.Millisecond) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, [][2]uint32{{0, 4}, {4, 8}, {8, 12}}, slowDecode)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			job := testJob("r", 1000)
			c.stop(cancel, &job)
			col := &collector{t: t, job: job}
			r := refuser.From(b.dispatcher.Run(ctx, job, col.emit))
			require.Equal(t, c.code, r.Code)
			require.Equal(t, refuser.FactMayHaveRun, r.Fact)
			b.dispatcher.Close()
			// On a busy machine a stall may have caused another attempt: the newest one must be cancelled at every stage.
			newest := uint32(1)
			for _, e := range b.engines {
				for _, c := range e.Ledger().Canceled {
					newest = max(newest, c.Attempt)
				}
			}
			for name, e := range b.engines {
				cancelled := uint32(0)
				for _, c := range e.Ledger().Canceled {
					require.Equal(t, "r", c.RequestID)
					cancelled = max(cancelled, c.Attempt)
				}
				require.Equal(t, newest, cancelled, name)
				require.LessOrEqual(t, len(e.Ledger().Canceled), int(newest), name)
			}
		})
	}
}

func TestEmitErrorEndsTheRunAndCancels(t *testing.T) {
	b := newTestbed(t, [][2]uint32{{0, 12}}, nil)
	gone := errors.New("caller gone")
	col := &collector{t: t, job: testJob("r", 30), onPart: func(p Part) error {
		if p.Position == 3 {
			return gone
		}
		return nil
	}}
	require.ErrorIs(t, b.dispatcher.Run(t.Context(), col.job, col.emit), gone)
	b.dispatcher.Close()
	require.Len(t, b.engines["e0"].Ledger().Canceled, 1)
}

func TestFinalRefusals(t *testing.T) {
	cases := []struct {
		name   string
		fault  enginefaker.Fault
		budget float64
		code   refuser.Code
		fact   refuser.Fact
	}{
		{"every attempt breaks", enginefaker.Fault{Kind: enginefaker.FaultBreak}, 0, refuser.AttemptsExhausted, refuser.FactMayHaveRun},
		{"no budget", enginefaker.Fault{Kind: enginefaker.FaultBreak}, -1, refuser.RetryBudgetSpent, refuser.FactMayHaveRun},
		{"every attempt is refused", enginefaker.Fault{Kind: enginefaker.FaultRefuse}, 0, refuser.AttemptsExhausted, refuser.FactNotRun},
		{"every version is wrong", enginefaker.Fault{Kind: enginefaker.FaultWrongVersion}, 0, refuser.AttemptsExhausted, refuser.FactMayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, nil)
			for _, e := range b.engines {
				require.NoError(t, e.SetFaults(c.fault))
			}
			job := testJob("r", 10)
			job.RetryBudget = c.budget
			col := &collector{t: t, job: job}
			r := refuser.From(b.dispatcher.Run(t.Context(), job, col.emit))
			require.Equal(t, c.code, r.Code, r.Error())
			require.Equal(t, c.fact, r.Fact)
			require.Positive(t, r.RetryAfter)
			require.Empty(t, col.parts)
			if c.fact == refuser.FactNotRun {
				for name, e := range b.engines {
					require.Empty(t, e.Ledger().Runs, name)
				}
			}
		})
	}
}

func TestOldAttemptIsFencedByEngines(t *testing.T) {
	b := newTestbed(t, [][2]uint32{{0, 12}}, nil)
	job := testJob("r", 10)
	job.FirstAttempt = 7
	col := &collector{t: t, job: job}
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	old := b.dispatcher.Engine(b.fleet.Targets[0].Address)
	s, err := old.Generate(t.Context(), &enginev1.GenerateRequest{
		Workspace: "w", RequestId: "r", Attempt: 6, Model: "m", Version: "v1", MaxTokens: 10,
		Route: []*enginev1.Stage{{Target: "e0", EndLayer: 12}},
	})
	require.NoError(t, err)
	_, err = s.Receive()
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))
	require.NoError(t, s.Close())
	again := &collector{t: t, job: testJob("r", 10)}
	require.NoError(t, b.dispatcher.Run(t.Context(), again.job, again.emit))
	again.requireCompleteAnswer()
}

func TestContinueFromAnotherEntry(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, nil)
	job := testJob("r", 20)
	job.StartPosition = 8
	job.FirstAttempt = 3
	job.Delivered = enginefaker.Answer("m", "v1", "", job.Prompt, 0, 8)
	col := &collector{t: t, job: job}
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	col.requireCompleteAnswer()
}

func TestSlowStageIsReplacedWithItsCache(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
	warm := &collector{t: t, job: testJob("warm", 60)}
	require.NoError(t, b.dispatcher.Run(t.Context(), warm.job, warm.emit))
	job := testJob("r", 60)
	col := &collector{t: t, job: job}
	slowed := ""
	col.onPart = atPosition(5, 1, func(target string) {
		slowed = target
		delay := enginefaker.Duration(200 * time.Millisecond)
		require.NoError(t, b.engines[target].SetFaults(enginefaker.Fault{Kind: enginefaker.FaultDelay, Delay: delay}))
	})
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	col.requireCompleteAnswer()
	require.Equal(t, int64(1), b.counter("dispatcher.moved"))
	require.NotEqual(t, slowed, col.parts[59].Receipt.Stages[1].Target)
}

func TestStreamMovesOffADegradedLink(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
	warm := &collector{t: t, job: testJob("warm", 60)}
	require.NoError(t, b.dispatcher.Run(t.Context(), warm.job, warm.emit))
	job := testJob("r", 60)
	col := &collector{t: t, job: job}
	slowed := ""
	col.onPart = func(p Part) error {
		if p.Position == 5 {
			slowed = p.Route.Stages[1].Target
			require.NoError(t, b.engines[p.Route.Stages[0].Target].SetFaults(enginefaker.Fault{
				// Each token takes less than four times as long as usual, so that the stream is not slow by its mean gap.
				Kind: enginefaker.FaultSlowLink, Delay: enginefaker.Duration(25 * time.Millisecond), Peer: p.Route.Stages[1].Address,
			}))
		}
		return nil
	}
	require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
	col.requireCompleteAnswer()
	require.Equal(t, int64(1), b.counter("dispatcher.moved"))
	require.NotEqual(t, slowed, col.parts[59].Receipt.Stages[1].Target)
}
