package router

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/engineer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// TestAnswerContinuesThroughAnotherEntry kills the entry while it streams an answer.
func TestAnswerContinuesThroughAnotherEntry(t *testing.T) {
	const tokens, killAt = 40, 10
	cases := []struct {
		name string
		// dropped makes the engines drop the stream before the caller reconnects.
		dropped  bool
		attempts int
	}{
		{"engines hold the stream", false, 1},
		{"engines have dropped the stream", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 3, fourChains(), func(w *world) {
				prompt := bytes.Repeat([]byte("word"), 2000)
				next := 0
				var killedAt time.Time
				var pause time.Duration
				err := w.client.Send(context.Background(), &v1.Request{
					Workspace: "counter", Service: "assistant", RequestId: "r", Payload: prompt,
					MaxTokens: tokens, Timeout: durationpb.New(20 * time.Second),
				}, func(p *v1.SendResponse) error {
					require.Equal(w.t, uint64(next), p.Position)
					next++
					if next == killAt {
						w.kill(w.busyRouter())
						if c.dropped {
							w.dropStreams()
						}
						killedAt = time.Now()
					}
					if next == killAt+1 {
						pause = time.Since(killedAt)
					}
					return nil
				})
				require.NoError(w.t, err)
				require.Equal(w.t, tokens, next)
				require.Len(w.t, w.attempts(), c.attempts, "prefills")
				w.t.Logf("%s from the loss of the entry to the next token", pause)
			})
		})
	}
}

// TestTwoEntriesLostBeforeTheNextToken kills the entry of an answer, and then, during its prefill, the entry that
// continues the answer.
func TestTwoEntriesLostBeforeTheNextToken(t *testing.T) {
	const tokens, killAt = 20, 5
	inWorld(t, 4, fourChains(), func(w *world) {
		next := 0
		secondKilled := make(chan struct{})
		err := w.client.Send(context.Background(), &v1.Request{
			Workspace: "counter", Service: "assistant", RequestId: "r", Payload: bytes.Repeat([]byte("word"), 2000),
			MaxTokens: tokens, Timeout: durationpb.New(20 * time.Second),
		}, func(p *v1.SendResponse) error {
			require.Equal(t, uint64(next), p.Position)
			next++
			if next == killAt {
				w.kill(w.busyRouter())
				w.dropStreams()
				go func() {
					defer close(secondKilled)
					for len(w.attempts()) < 2 {
						time.Sleep(10 * time.Millisecond)
					}
					w.kill(w.busyRouter())
				}()
			}
			return nil
		})
		require.NoError(t, err)
		<-secondKilled
		require.Equal(t, tokens, next)
		require.Len(t, w.attempts(), 3)
		for _, e := range w.engines {
			runs := map[uint32]int{}
			for _, r := range e.Ledger().Runs {
				runs[r.Attempt]++
				require.Equal(t, 1, runs[r.Attempt], "attempt %d", r.Attempt)
			}
		}
	})
}

// attempts returns the numbers of the attempts that engines ran, of all requests.
func (w *world) attempts() map[uint32]bool {
	seen := map[uint32]bool{}
	for _, e := range w.engines {
		for _, r := range e.Ledger().Runs {
			seen[r.Attempt] = true
		}
	}
	return seen
}

// busyRouter returns the daemon that has a request in progress.
func (w *world) busyRouter() *daemon {
	i := slices.IndexFunc(w.routers, func(d *daemon) bool { return !d.dead && d.router.InProgress() > 0 })
	require.GreaterOrEqual(w.t, i, 0)
	return w.routers[i]
}

// dropStreams makes the engines cancel every attempt that they ran.
func (w *world) dropStreams() {
	for i, e := range w.engines {
		for _, r := range e.Ledger().Runs {
			_, err := engineer.New(w.httpClient, engineIP(i)+":7400").Cancel(context.Background(), &enginev1.CancelRequest{
				Workspace: r.Workspace, RequestId: r.RequestID, Attempt: r.Attempt,
			})
			require.NoError(w.t, err)
		}
	}
}
