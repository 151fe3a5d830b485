package relayer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// leavingNotice is the notice of a target that leaves.
var leavingNotice = Notice{Leaving: true}

// TestLeavingTargetReceivesNoNewRequests: once an answer said that the target leaves, it receives no new requests in any
// way, although the list still has it as live.
func TestLeavingTargetReceivesNoNewRequests(t *testing.T) {
	for _, n := range []int{1, 100, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeBackend{scripts: []script{{status: 200, body: eventRange(1, 2), notice: leavingNotice}, {status: 200, body: eventRange(1, 2)}}}
				r := newTestRelayer(f)
				for i := range n {
					putTarget(r, fmt.Sprint("c", i), cataloger.StateLive, 0, 5)
					putTarget(r, fmt.Sprint("d", i), cataloger.StateLive, 5, 10)
				}
				_, refusal, _ := serve(r, stream(true))
				require.Nil(t, refusal)
				leavingName := f.calls[0].Target.Name
				relist := func() {
					first, end, _ := f.calls[0].Target.ReadyLayers()
					putTarget(r, leavingName, cataloger.StateLive, first, end)
				}
				for range 200 {
					relist()
					_, refusal, _ := serve(r, stream(true))
					require.Nil(t, refusal)
				}
				for _, call := range f.calls[1:] {
					for _, s := range call.Path {
						require.NotEqual(t, leavingName, s.Target)
					}
				}
				path := f.calls[1].Path
				for range 50 {
					next, ok := r.Chooser.Replace(stream(true).demand(), path, map[string]bool{path[1].Target: true})
					require.True(t, ok)
					require.NotEqual(t, leavingName, next[1].Target, "not as a replacement either")
				}
			})
		})
	}
}

// TestRetrySkipsALeavingTarget: each attempt uses the current list of a plain service's instances.
func TestRetrySkipsALeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			f := &fakeBackend{scripts: []script{{status: 500, body: "failed"}, {status: 200, body: "whole"}}}
			r := newTestRelayer(f)
			send := r.Backend.Send
			r.Backend.Send = func(ctx context.Context, call Call) (*Reply, error) {
				// During the first attempt, a peer reports that the other instance leaves.
				other := map[string]string{"p1": "p2", "p2": "p1"}[call.Target.Name]
				r.Targets.RecordDeparture(other, 1, r.Clock.Now())
				return send(ctx, call)
			}
			_, _, _ = serve(r, plain(matcher.KindIdempotent))
			require.Equal(t, f.calls[0].Target.Name, f.calls[1].Target.Name, "the only one that stays")
		}
	})
}

func TestPausedTargetsReceiveNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := func(d time.Duration) script { return script{status: 503, notRun: true, notice: Notice{Pause: d}} }
		f := &fakeBackend{scripts: []script{pause(1500 * time.Millisecond), pause(3 * time.Second), {status: 200, body: "whole"}}}
		r := newTestRelayer(f)
		_, refusal, _ := serve(r, plain(matcher.KindIdempotent))
		require.NotNil(t, refusal)
		require.Len(t, f.calls, 2, "both instances ask for a pause")
		_, refusal, _ = serve(r, plain(matcher.KindNonIdempotent))
		require.Len(t, f.calls, 2, "refused without an attempt")
		require.Equal(t, refuser.FactNotRun, refusal.Fact)
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second, "until the first pause ends")
		require.Less(t, refusal.RetryAfter, 2250*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		_, refusal, _ = serve(r, plain(matcher.KindIdempotent))
		require.Nil(t, refusal)
		require.Equal(t, f.calls[0].Target.Name, f.calls[2].Target.Name, "the one whose pause is over")
	})
}

// TestPausedFirstStages: a generation uses other first stages. If there are none, it is refused with the time when the
// first one completes the model again.
func TestPausedFirstStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{
			{status: 503, notRun: true, notice: Notice{Pause: 4 * time.Second}}, {status: 503, notRun: true, notice: Notice{Pause: 2 * time.Second}},
		}}
		r := newTestRelayer(f)
		_, refusal, _ := serve(r, stream(true))
		require.Equal(t, refuser.FactNotRun, refusal.Fact)
		require.Len(t, f.calls, 2)
		require.NotEqual(t, f.calls[0].Target.Name, f.calls[1].Target.Name)
		require.GreaterOrEqual(t, refusal.RetryAfter, 1900*time.Millisecond)
		require.LessOrEqual(t, refusal.RetryAfter, 3*time.Second)
	})
}
