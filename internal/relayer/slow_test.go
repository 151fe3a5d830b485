package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// TestSlowStreamKeepsItsDeadline guards against streams that run to their deadlines as a target on their pipelines turned slow or lost
// them without failing, and against changes of streams that end in time, pause, or may not be sent again.
func TestSlowStreamKeepsItsDeadline(t *testing.T) {
	slow := answer{slowAfter: 12, slowGap: 600 * time.Millisecond}
	cases := []struct {
		name string
		// stage is the slow stage of the first pipeline, and repeats what the budget allows.
		stage     int
		repeats   float64
		resumable bool
		shares    bool
		first     answer
		// calls and replaced are how often the stream was sent and its stages were replaced; served means that it ends in time.
		calls, replaced int
		served          bool
	}{
		{"slow later stage", 1, 0, false, true, slow, 1, 1, true},
		{"slow first stage", 0, 100, true, true, slow, 2, 0, true},
		{"slow first stage, no repeat to spare", 0, 1, true, true, slow, 1, 0, false},
		{"slow first stage, may not be sent again", 0, 100, false, true, slow, 1, 0, false},
		{"slow later stage without shared loads", 1, 100, true, false, slow, 1, 0, false},
		{"silent for a second", 0, 100, true, true, answer{pauseAfter: 20, pause: time.Second}, 1, 0, true},
		{"stalled", 0, 100, true, true, answer{lastEvent: 20}, 2, 0, true},
		{"stalled, may not be sent again", 0, 100, false, true, answer{lastEvent: 20}, 1, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHandoverFleet(t, c.repeats, c.first, answer{})
				f.request.SharesLoads, f.request.MaxTokens, f.request.HintTokens = c.shares, 60, 48
				f.request.Service.Engine.StepsPerPass, f.request.Route.Resumable = 1, c.resumable
				f.relayer.Backend.Report = func(_ context.Context, target cataloger.Target) (Report, error) {
					if target.Name == f.call(0).Path[c.stage].Target {
						return Report{Pace: 12}, nil
					}
					return Report{Pace: 1}, nil
				}
				replaced := 0
				f.relayer.Backend.Repath = func(_ context.Context, _ cataloger.Target, _ string, path []cataloger.Stage) (RepathResult, string, error) {
					f.mu.Lock()
					defer f.mu.Unlock()
					require.NotEqual(t, f.calls[0].Path[c.stage].Target, path[c.stage].Target)
					replaced++
					f.replaced = true
					return RepathDone, "", nil
				}
				if c.served {
					f.requireWholeAnswer(t)
				} else {
					_, _, aborted := serve(f.relayer, f.request)
					require.True(t, aborted, "the deadline passes")
				}
				require.Len(t, f.calls, c.calls)
				require.Equal(t, c.replaced, replaced)
				if c.calls > 1 {
					require.False(t, f.endedAt[0].Before(f.sentAt[1]), "the first send ends once the second one has begun")
				}
			})
		})
	}
}

// TestRequestWithoutFirstEventIsSentAgain guards against clients that leave as the first target has lost their requests, and says so or
// not.
func TestRequestWithoutFirstEventIsSentAgain(t *testing.T) {
	for saysSo, sentWithin := range map[bool]time.Duration{false: 1500 * time.Millisecond, true: 500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newHandoverFleet(t, 100, answer{hangs: true}, answer{})
			f.request.SharesLoads = true
			f.relayer.Backend.Repath = func(context.Context, cataloger.Target, string, []cataloger.Stage) (RepathResult, string, error) {
				return RepathEnded, "", nil
			}
			if saysSo {
				time.AfterFunc(100*time.Millisecond, func() { f.relayer.Targets.Suspect(f.call(0).Path[1].Target, 1, time.Now()) })
			}
			w, _, _ := serve(f.relayer, f.request)
			require.Len(t, f.calls, 2)
			require.Equal(t, eventRange(1, 60), w.Body.String(), "each event once, in order")
			require.LessOrEqual(t, f.sentAt[1].Sub(f.sentAt[0]), sentWithin)
		})
	}
}

// TestPatienceWithSlowStreams guards against targets that are found lost only after the clients of the slow streams there have left.
func TestPatienceWithSlowStreams(t *testing.T) {
	g := &generation{relayer: newTestRelayer(&fakeBackend{}), request: stream(true), started: true, meanGap: 400 * time.Millisecond}
	require.Equal(t, gapPatienceFactor*g.meanGap, g.stream().Patience)
	g.request.SharesLoads = true
	require.Equal(t, maxPatience, g.stream().Patience)
}
