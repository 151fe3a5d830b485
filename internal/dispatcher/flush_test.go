package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/engineer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// TestTokensAreFlushedBeforeEachWait guards against emitted tokens that stay in a buffer while the job waits. The engines
// deliver two tokens at a time, and the stream breaks in the middle of a pair.
func TestTokensAreFlushedBeforeEachWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tokens, pair = 20, 2
		s := &scriptedEngine{fail: connectionReset, failAfter: 7}
		d := s.newDispatcher()
		emitted, flushed := 0, 0
		inner := d.Engine
		d.Engine = func(address string) *engineer.Engine {
			e := inner(address)
			generate := e.Generate
			e.Generate = func(ctx context.Context, req *enginev1.GenerateRequest) (*engineer.Stream, error) {
				require.Equal(t, emitted, flushed)
				stream, err := generate(ctx, req)
				receive, received := stream.Receive, 0
				stream.Buffered = func() bool { return received%pair == 1 }
				stream.Receive = func() (*enginev1.GenerateResponse, error) {
					if !stream.Buffered() {
						require.Equal(t, emitted, flushed)
						time.Sleep(time.Millisecond)
					}
					received++
					return receive()
				}
				return stream, err
			}
			return e
		}
		flushes := 0
		job := testJob("r", tokens)
		job.Flush = func() {
			if flushed < emitted {
				flushes++
			}
			flushed = emitted
		}
		require.NoError(t, d.Run(t.Context(), job, func(Part) error {
			emitted++
			return nil
		}))
		require.Equal(t, tokens, emitted)
		require.Equal(t, tokens, flushed)
		require.LessOrEqual(t, flushes, tokens/pair+2)
	})
}
