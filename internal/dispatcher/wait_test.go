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

// script is a fake engine that sends a token each gap and, on its first Generate, fails after some tokens.
type script struct {
	gap       time.Duration
	failAfter int
	// fail returns the error of the stream; it may block until ctx is done.
	fail func(ctx context.Context) error
	// hang makes Resume, ExportKV and Load answer never.
	hang bool

	failedAt time.Time
	starts   []time.Time
	canceled atomic.Int64
}

func (s *script) engine(string) *engineer.Engine {
	return &engineer.Engine{
		Generate: func(ctx context.Context, req *enginev1.GenerateRequest) (*engineer.Stream, error) {
			s.starts = append(s.starts, time.Now())
			return s.stream(ctx, req, len(s.starts) == 1), nil
		},
		Resume: func(ctx context.Context, _ *enginev1.ResumeRequest) (*engineer.Stream, error) {
			return nil, s.absent(ctx)
		},
		ExportKV: func(ctx context.Context, _ *enginev1.ExportKVRequest) (*enginev1.ExportKVResponse, error) {
			return nil, s.absent(ctx)
		},
		Load: func(ctx context.Context, _ *enginev1.LoadRequest) (*enginev1.LoadResponse, error) {
			if s.hang {
				return nil, s.absent(ctx)
			}
			return &enginev1.LoadResponse{}, nil
		},
		Cancel: func(context.Context, *enginev1.CancelRequest) (*enginev1.CancelResponse, error) {
			s.canceled.Add(1)
			return &enginev1.CancelResponse{}, nil
		},
	}
}

func (s *script) absent(ctx context.Context) error {
	if s.hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return connect.NewError(connect.CodeNotFound, errors.New("not held"))
}

func (s *script) stream(ctx context.Context, req *enginev1.GenerateRequest, first bool) *engineer.Stream {
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

// dispatcher returns a dispatcher over the script with one target.
func (s *script) dispatcher() *Dispatcher {
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

func block(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func reset(context.Context) error {
	return connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
}

func named(context.Context) error {
	return engineer.WithFailedTarget(connect.NewError(connect.CodeUnavailable, errors.New("stage lost")), "a")
}

// TestTimeToReplace holds the dispatcher to the stated target: 50 ms after a broken stream, 2 s after a stall.
func TestTimeToReplace(t *testing.T) {
	cases := []struct {
		name   string
		script *script
		within time.Duration
	}{
		{"connection reset, engine gone", &script{fail: reset, failAfter: 10}, 50 * time.Millisecond},
		{"connection reset, engine silent", &script{fail: reset, failAfter: 10, hang: true}, 50 * time.Millisecond},
		{"stage lost", &script{fail: named, failAfter: 10}, 50 * time.Millisecond},
		{"stage lost, export silent", &script{fail: named, failAfter: 10, hang: true}, 50 * time.Millisecond},
		{"ended early", &script{fail: func(context.Context) error { return io.EOF }, failAfter: 10}, 50 * time.Millisecond},
		{"broken before the first token", &script{fail: named}, 50 * time.Millisecond},
		{"stall, engine answers", &script{fail: block, failAfter: 10}, 2 * time.Second},
		{"stall, engine silent", &script{fail: block, failAfter: 10, hang: true}, 2 * time.Second},
		{"stall at the second token", &script{fail: block, failAfter: 1, hang: true}, 2 * time.Second},
		{"stall before the first token", &script{fail: block, hang: true}, 2 * time.Second},
		{"stall of a slow stream", &script{fail: block, failAfter: 10, gap: time.Second, hang: true}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := c.script
				if s.gap == 0 {
					s.gap = 20 * time.Millisecond
				}
				d := s.dispatcher()
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

// TestSlowCallerIsNoStall lets the caller take its time, which must not count as the engine's.
func TestSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{gap: 20 * time.Millisecond, failAfter: -1}
		d := s.dispatcher()
		col := &collector{t: t, job: testJob("r", 30), each: func(Part) error {
			time.Sleep(5 * time.Second)
			return nil
		}}
		require.NoError(t, d.Run(t.Context(), col.job, col.emit))
		require.Len(t, s.starts, 1)
	})
}

// TestNoRetryStorm breaks every attempt of many jobs and counts the attempts that reach the engines.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 400
		s := &script{gap: time.Millisecond}
		d := s.dispatcher()
		engine := s.engine("")
		attempts := 0
		engine.Generate = func(context.Context, *enginev1.GenerateRequest) (*engineer.Stream, error) {
			attempts++
			return nil, named(t.Context())
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

// TestNoChainForAWhile leaves an answer in progress without a chain; it goes on when there is one again.
func TestNoChainForAWhile(t *testing.T) {
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
				s := &script{gap: 20 * time.Millisecond, fail: named, failAfter: 10}
				d := s.dispatcher()
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
