package dispatcher

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// scriptedEngine is a fake engine that sends a token each gap and fails after some tokens on its first Generate.
type scriptedEngine struct {
	gap       time.Duration
	failAfter int
	// fail returns the error of the stream; it may block until ctx is done.
	fail func(ctx context.Context) error
	// unresponsive is true if Resume, ExportKV and Load never answer.
	unresponsive bool

	failedAt time.Time
	starts   []time.Time
	canceled atomic.Int64
}

func (s *scriptedEngine) engine(string) *engineer.Engine {
	return &engineer.Engine{
		Generate: func(ctx context.Context, req *enginev1.GenerateRequest) (*engineer.Stream, error) {
			s.starts = append(s.starts, time.Now())
			return s.stream(ctx, req, len(s.starts) == 1), nil
		},
		Resume: func(ctx context.Context, _ *enginev1.ResumeRequest) (*engineer.Stream, error) {
			return nil, s.notHeldOrHang(ctx)
		},
		ExportKV: func(ctx context.Context, _ *enginev1.ExportKVRequest) (*enginev1.ExportKVResponse, error) {
			return nil, s.notHeldOrHang(ctx)
		},
		Load: func(ctx context.Context, _ *enginev1.LoadRequest) (*enginev1.LoadResponse, error) {
			if s.unresponsive {
				return nil, s.notHeldOrHang(ctx)
			}
			return &enginev1.LoadResponse{}, nil
		},
		Cancel: func(context.Context, *enginev1.CancelRequest) (*enginev1.CancelResponse, error) {
			s.canceled.Add(1)
			return &enginev1.CancelResponse{}, nil
		},
	}
}

func (s *scriptedEngine) notHeldOrHang(ctx context.Context) error {
	if s.unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	return connect.NewError(connect.CodeNotFound, errors.New("not held"))
}

func (s *scriptedEngine) stream(ctx context.Context, req *enginev1.GenerateRequest, first bool) *engineer.Stream {
	position, sent := req.StartPosition, 0
	return &engineer.Stream{
		Close: func() error { return nil },
		Receive: func() (*enginev1.GenerateResponse, error) {
			if first && sent == s.failAfter {
				s.failedAt = time.Now()
				return nil, s.fail(ctx)
			}
			if sent == int(req.MaxTokens) {
				return nil, io.EOF
			}
			if err := (timer.System{}).Sleep(ctx, s.gap); err != nil {
				return nil, err
			}
			m := &enginev1.GenerateResponse{
				RequestId: req.RequestId, Attempt: req.Attempt, Position: position,
				Receipt: &v1.Receipt{Version: "v1", Stages: []*v1.StageRun{{Target: "a", EndLayer: testLayers}}},
			}
			position++
			sent++
			return m, nil
		},
	}
}

// newDispatcher returns a dispatcher whose only target is the engine.
func (s *scriptedEngine) newDispatcher() *Dispatcher {
	d := New(timer.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop(), nil, nil, nil)
	d.Engine = s.engine
	d.Pick = func(selector.Request) (cataloger.Route, *selector.Permit, error) {
		return cataloger.Route{Model: "m", Version: "v1", Stages: []cataloger.Stage{{Target: "a", EndLayer: testLayers}}}, nil, nil
	}
	d.Substitute = func(selector.Request, cataloger.Route, string) (cataloger.Route, *selector.Permit, bool) {
		return cataloger.Route{}, nil, false
	}
	return d
}

func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func connectionReset(context.Context) error {
	return connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
}

func stageLost(context.Context) error {
	return engineer.WithFailedTarget(connect.NewError(connect.CodeUnavailable, errors.New("stage lost")), "a")
}

// TestTimeToReplace checks the objective for the next attempt to start: 50 ms after a broken stream, 2 s after a stall.
func TestTimeToReplace(t *testing.T) {
	cases := []struct {
		name   string
		script *scriptedEngine
		within time.Duration
	}{
		{"connection reset, engine gone", &scriptedEngine{fail: connectionReset, failAfter: 10}, 50 * time.Millisecond},
		{"connection reset, engine silent", &scriptedEngine{fail: connectionReset, failAfter: 10, unresponsive: true}, 50 * time.Millisecond},
		{"stage lost", &scriptedEngine{fail: stageLost, failAfter: 10}, 50 * time.Millisecond},
		{"stage lost, export silent", &scriptedEngine{fail: stageLost, failAfter: 10, unresponsive: true}, 50 * time.Millisecond},
		{"ended early", &scriptedEngine{fail: func(context.Context) error { return io.EOF }, failAfter: 10}, 50 * time.Millisecond},
		{"broken before the first token", &scriptedEngine{fail: stageLost}, 50 * time.Millisecond},
		{"stall, engine answers", &scriptedEngine{fail: blockUntilDone, failAfter: 10}, 2 * time.Second},
		{"stall, engine silent", &scriptedEngine{fail: blockUntilDone, failAfter: 10, unresponsive: true}, 2 * time.Second},
		{"stall at the second token", &scriptedEngine{fail: blockUntilDone, failAfter: 1, unresponsive: true}, 2 * time.Second},
		{"stall before the first token", &scriptedEngine{fail: blockUntilDone, unresponsive: true}, 2 * time.Second},
		{"stall of a slow stream", &scriptedEngine{fail: blockUntilDone, failAfter: 10, gap: time.Second, unresponsive: true}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := c.script
				if s.gap == 0 {
					s.gap = 20 * time.Millisecond
				}
				d := s.newDispatcher()
				col := &collector{t: t, job: testJob("r", 30)}
				require.NoError(t, d.Run(t.Context(), col.job, col.emit))
				d.Close()
				require.Len(t, col.parts, 30)
				require.Len(t, s.starts, 2)
				require.LessOrEqual(t, s.starts[1].Sub(s.failedAt), c.within)
				require.Positive(t, s.canceled.Load(), "the old attempt is cancelled")
			})
		})
	}
}

// TestSlowCallerIsNotAStall guards against counting the time that a slow caller takes as silence of the engine.
func TestSlowCallerIsNotAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedEngine{gap: 20 * time.Millisecond, failAfter: -1}
		d := s.newDispatcher()
		col := &collector{t: t, job: testJob("r", 30), onPart: func(Part) error {
			time.Sleep(5 * time.Second)
			return nil
		}}
		require.NoError(t, d.Run(t.Context(), col.job, col.emit))
		require.Len(t, s.starts, 1)
	})
}

// TestNoRetryStorm breaks every attempt of many jobs and limits the attempts that reach the engines.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 400
		s := &scriptedEngine{gap: time.Millisecond}
		d := s.newDispatcher()
		engine := s.engine("")
		attempts := 0
		engine.Generate = func(context.Context, *enginev1.GenerateRequest) (*engineer.Stream, error) {
			attempts++
			return nil, stageLost(t.Context())
		}
		d.Engine = func(string) *engineer.Engine { return engine }
		for i := range jobs {
			col := &collector{t: t, job: testJob("r", 30)}
			r := refuser.From(d.Run(t.Context(), col.job, col.emit))
			require.Equal(t, refuser.FactMayHaveRun, r.Fact, i)
			require.Positive(t, r.RetryAfter)
		}
		d.Close()
		require.LessOrEqual(t, float64(attempts), jobs*(1+DefaultRetryBudget)+budgetBurst)
	})
}

// TestAnswerWaitsForAChain leaves an answer in progress without a chain; it must continue once there is one again.
func TestAnswerWaitsForAChain(t *testing.T) {
	cases := []struct {
		name string
		gone time.Duration
		code refuser.Code
	}{
		{"back in time", 3 * time.Second, refuser.OK},
		{"gone for good", time.Hour, refuser.NoPipeline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedEngine{gap: 20 * time.Millisecond, fail: stageLost, failAfter: 10}
				d := s.newDispatcher()
				pick := d.Pick
				d.Pick = func(req selector.Request) (cataloger.Route, *selector.Permit, error) {
					if !s.failedAt.IsZero() && time.Since(s.failedAt) < c.gone {
						return cataloger.Route{}, nil, refuser.New(refuser.NoPipeline, "none")
					}
					return pick(req)
				}
				col := &collector{t: t, job: testJob("r", 30)}
				err := d.Run(t.Context(), col.job, col.emit)
				d.Close()
				if c.code == refuser.OK {
					require.NoError(t, err)
					require.Len(t, col.parts, 30)
					return
				}
				require.Equal(t, c.code, refuser.From(err).Code)
				require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
				require.LessOrEqual(t, time.Since(s.failedAt), DefaultRecoveryTimeout+maxBackoff)
			})
		})
	}
}
