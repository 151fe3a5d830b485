package dispatcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const benchmarkTokens = 64

// instantEngine returns an engine that answers immediately, without a network.
func instantEngine() *engineer.Engine {
	return &engineer.Engine{
		Generate: func(_ context.Context, req *enginev1.GenerateRequest) (*engineer.Stream, error) {
			receipt := &v1.Receipt{Version: "v1"}
			for _, s := range req.Route {
				receipt.Stages = append(receipt.Stages, &v1.StageRun{Target: s.Target, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer})
			}
			position := req.StartPosition
			return &engineer.Stream{
				Close: func() error { return nil },
				Receive: func() (*enginev1.GenerateResponse, error) {
					position++
					return &enginev1.GenerateResponse{RequestId: req.RequestId, Attempt: req.Attempt, Position: position - 1, Receipt: receipt}, nil
				},
			}, nil
		},
		Cancel: func(context.Context, *enginev1.CancelRequest) (*enginev1.CancelResponse, error) { return nil, nil },
	}
}

// BenchmarkToken measures the dispatcher's own cost per token, including selection, checks, watchdog and accounting.
func BenchmarkToken(b *testing.B) {
	for _, streams := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			w := newTestbed(b, threeStagesTwoTargetsEach, nil)
			engine := instantEngine()
			w.dispatcher.Engine = func(string) *engineer.Engine { return engine }
			var id atomic.Int64
			b.SetParallelism(max(streams/10, 1))
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				remaining := 0
				emit := func(Part) error {
					remaining--
					return nil
				}
				for pb.Next() {
					if remaining > 0 {
						remaining--
						continue
					}
					remaining = benchmarkTokens
					if err := w.dispatcher.Run(b.Context(), testJob(fmt.Sprint(id.Add(1)), benchmarkTokens), emit); err != nil {
						b.Error(err)
						return
					}
					remaining = benchmarkTokens - 1
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkLoopback compares complete answers through the dispatcher with direct calls of the same fake engine.
func BenchmarkLoopback(b *testing.B) {
	unlimited := func(c *enginefaker.Config) { c.PrefillRate, c.DecodeRate = 0, 0 }
	w := newTestbed(b, [][2]uint32{{0, 12}}, unlimited)
	var id atomic.Int64
	run := map[string]func() error{
		"direct": func() error {
			req := &enginev1.GenerateRequest{
				Workspace: "w", RequestId: fmt.Sprint("d", id.Add(1)), Attempt: 1, Model: "m", Version: "v1", MaxTokens: benchmarkTokens,
				Prompt: testJob("", 1).Prompt, Route: []*enginev1.Stage{{Target: "e0", EndLayer: 12}},
			}
			s, err := w.dispatcher.Engine(w.fleet.Targets[0].Address).Generate(b.Context(), req)
			if err != nil {
				return err
			}
			for range benchmarkTokens {
				if _, err := s.Receive(); err != nil {
					return err
				}
			}
			return s.Close()
		},
		"dispatcher": func() error {
			return w.dispatcher.Run(b.Context(), testJob(fmt.Sprint("r", id.Add(1)), benchmarkTokens), func(Part) error { return nil })
		},
	}
	for _, name := range []string{"direct", "dispatcher"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := run[name](); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N*benchmarkTokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkRecovery measures the time from the token before a fault to the token after it, on loopback engines.
func BenchmarkRecovery(b *testing.B) {
	for _, kind := range []enginefaker.FaultKind{enginefaker.FaultBreak, enginefaker.FaultDie, enginefaker.FaultStall, enginefaker.FaultWrongVersion} {
		for stage := range 3 {
			b.Run(fmt.Sprintf("%s/stage=%d", kind, stage), func(b *testing.B) {
				var total, worst time.Duration
				for b.Loop() {
					gap := measureRecovery(b, kind, stage)
					total += gap
					worst = max(worst, gap)
				}
				b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms-gap")
				b.ReportMetric(float64(worst.Milliseconds()), "ms-gap-worst")
			})
		}
	}
}

func measureRecovery(b *testing.B, kind enginefaker.FaultKind, stage int) time.Duration {
	w := newTestbed(b, threeStagesTwoTargetsEach, nil)
	w.dispatcher.MinStall = DefaultMinStall
	job := testJob("r", 30)
	var longest time.Duration
	last := time.Now()
	col := &collector{t: b, job: job}
	fault := atPosition(5, stage, func(target string) {
		require.NoError(b, w.engines[target].SetFaults(enginefaker.Fault{Kind: kind}))
	})
	col.onPart = func(p Part) error {
		if p.Position > 0 {
			longest = max(longest, time.Since(last))
		}
		err := fault(p)
		last = time.Now()
		return errors.Wrap(err, "fault")
	}
	require.NoError(b, w.dispatcher.Run(b.Context(), job, col.emit))
	return longest
}
