package dispatcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const (
	handOverTokens  = 12
	handOverEntries = 6
	// handOverStride is the number of attempt numbers of each entry.
	handOverStride = 64
)

// streamEvent is what happens at the next step of an engine's stream, or to the entry that reads it.
type streamEvent string

var streamEvents = []streamEvent{"token", "token", "token", "token", "reset", "lost", "end", "skip", "stale", "repeat", "entry dies"}

// oracleEngine is the oracle: one target that holds one stream of one request, fences by attempt and records the attempts.
type oracleEngine struct {
	t *rapid.T
	// faultless is true if the engine sends one token after another without faults.
	faultless bool
	mu        sync.Mutex
	fence     uint32
	// held is the attempt whose stream the engine holds, 0 for none; start is its first position.
	held          uint32
	start         uint64
	begunAttempts map[uint32]bool
}

// entry is one router's connection to the engine; nothing passes through it once it is dead.
type entry struct {
	e    *oracleEngine
	dead bool
}

var errConnectionReset = connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))

func (x *entry) engine(string) *engineer.Engine {
	return &engineer.Engine{
		Generate: x.generate,
		Resume:   x.resume,
		Cancel: func(_ context.Context, req *enginev1.CancelRequest) (*enginev1.CancelResponse, error) {
			return &enginev1.CancelResponse{}, x.callIfAlive(func() error { return x.e.cancel(req.Attempt) })
		},
		Load: func(context.Context, *enginev1.LoadRequest) (*enginev1.LoadResponse, error) {
			return &enginev1.LoadResponse{}, x.callIfAlive(func() error { return nil })
		},
		ExportKV: func(context.Context, *enginev1.ExportKVRequest) (*enginev1.ExportKVResponse, error) {
			return nil, errConnectionReset
		},
	}
}

// callIfAlive calls do on the engine if the entry is alive.
func (x *entry) callIfAlive(do func() error) error {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	if x.dead {
		return errConnectionReset
	}
	return do()
}

func refusalError(code connect.Code) error {
	return engineer.WithFailedTarget(connect.NewError(code, errors.New(code.String())), "a")
}

func (e *oracleEngine) cancel(attempt uint32) error {
	e.fence = max(e.fence, attempt+1)
	if e.held <= attempt {
		e.held = 0
	}
	return nil
}

func (x *entry) generate(_ context.Context, req *enginev1.GenerateRequest) (*engineer.Stream, error) {
	err := x.callIfAlive(func() error {
		require.False(x.e.t, x.e.begunAttempts[req.Attempt], "attempt %d is begun twice", req.Attempt)
		x.e.begunAttempts[req.Attempt] = true
		if req.Attempt < x.e.fence {
			return refusalError(connect.CodeAborted)
		}
		x.e.fence, x.e.held, x.e.start = req.Attempt, req.Attempt, req.StartPosition
		return nil
	})
	return x.stream(req.Attempt, req.StartPosition), err
}

func (x *entry) resume(_ context.Context, req *enginev1.ResumeRequest) (*engineer.Stream, error) {
	err := x.callIfAlive(func() error {
		if x.e.held != req.Attempt || req.FromPosition < x.e.start {
			return refusalError(connect.CodeNotFound)
		}
		return nil
	})
	return x.stream(req.Attempt, req.FromPosition), err
}

func token(position uint64) []byte { return fmt.Appendf(nil, "token %d", position) }

func (x *entry) stream(attempt uint32, position uint64) *engineer.Stream {
	part := func(attempt uint32, position uint64) *enginev1.GenerateResponse {
		return &enginev1.GenerateResponse{
			RequestId: "r", Attempt: attempt, Position: position, Data: token(position), Last: position+1 == handOverTokens,
			Receipt: &v1.Receipt{Version: "v1", Stages: []*v1.StageRun{{Target: "a", EndLayer: testLayers}}},
		}
	}
	return &engineer.Stream{
		Close: func() error { return nil },
		Receive: func() (*enginev1.GenerateResponse, error) {
			var m *enginev1.GenerateResponse
			err := x.callIfAlive(func() error {
				if x.e.held != attempt {
					return refusalError(connect.CodeCanceled)
				}
				f := streamEvents[0]
				if !x.e.faultless {
					f = rapid.SampledFrom(streamEvents).Draw(x.e.t, "fate")
				}
				switch f {
				case "reset":
					return errConnectionReset
				case "lost":
					x.e.held = 0
					return refusalError(connect.CodeUnavailable)
				case "end":
					return io.EOF
				case "entry dies":
					x.dead = true
					return errConnectionReset
				case "stale":
					m = part(attempt-1, position)
				case "repeat":
					m = part(attempt, max(position, 1)-1)
				case "skip":
					m = part(attempt, position+1)
				default:
					m = part(attempt, position)
					position++
				}
				return nil
			})
			return m, err
		},
	}
}

// handOverCaller is a caller that continues the answer at one entry after another.
type handOverCaller struct {
	t         *rapid.T
	delivered [][]byte
	last      HeldAttempt
	streams   uint32
}

var errCallerGone = errors.New("the caller is gone")

// job returns the request as the receiver of the next entry forwards it.
func (c *handOverCaller) job() Job {
	job := testJob("r", handOverTokens)
	job.FirstAttempt = 1
	if len(c.delivered) > 0 {
		c.streams++
		job.FirstAttempt = c.streams * handOverStride
	}
	job.EndAttempt = (job.FirstAttempt/handOverStride + 1) * handOverStride
	job.Held = c.last
	job.Delivered = c.delivered
	job.StartPosition = uint64(len(c.delivered))
	return job
}

func (c *handOverCaller) emit(x *entry, calm bool) func(Part) error {
	return func(p Part) error {
		require.NoError(c.t, x.callIfAlive(func() error { return nil }), "a lost entry delivers nothing")
		if !calm && rapid.IntRange(0, 9).Draw(c.t, "cut") == 0 {
			// The part is lost on the way; either the entry dies or it learns that its caller is gone.
			dies := rapid.Bool().Draw(c.t, "dies")
			_ = x.callIfAlive(func() error {
				x.dead = dies
				return nil
			})
			return errCallerGone
		}
		require.Equal(c.t, uint64(len(c.delivered)), p.Position, "no token twice, none missing")
		require.Equal(c.t, string(token(p.Position)), string(p.Data))
		require.GreaterOrEqual(c.t, p.Attempt, c.last.Attempt, "callers drop parts of older attempts")
		c.delivered = append(c.delivered, p.Data)
		c.last = HeldAttempt{Attempt: p.Attempt, Route: p.Route}
		return nil
	}
}

// TestHandOverAgainstOracle hands an answer over from entry to entry, where streams break and entries die at any step. It
// guards against tokens that are lost, repeated or delivered by an old attempt.
func TestHandOverAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Without this wrapper rapid asks for the test's deadline, which a synctest bubble does not have.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			e := &oracleEngine{t: t, begunAttempts: map[uint32]bool{}}
			c := &handOverCaller{t: t}
			for n := 0; len(c.delivered) < handOverTokens; n++ {
				e.faultless = n >= handOverEntries
				require.LessOrEqual(t, n, handOverEntries+1, "an entry without faults completes the answer")
				if len(c.delivered) == 0 {
					// A caller without a token begins a new execution.
					e.begunAttempts, e.fence, e.held = map[uint32]bool{}, 0, 0
				}
				x := &entry{e: e}
				d := New(timer.System{}, rand.New(rand.NewPCG(1, uint64(n))), zerolog.Nop(), nil, nil, nil)
				d.Engine = x.engine
				d.Pick = func(selector.Request) (cataloger.Route, *selector.Permit, error) {
					return cataloger.Route{Model: "m", Version: "v1", Stages: []cataloger.Stage{{Target: "a", EndLayer: testLayers}}}, nil, nil
				}
				err := d.Run(t.Context(), c.job(), c.emit(x, e.faultless))
				require.Equal(t, err == nil, len(c.delivered) == handOverTokens, "%v", err)
				d.Close()
			}
		})
	})
}
