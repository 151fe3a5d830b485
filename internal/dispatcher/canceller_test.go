package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// cancelRecorder answers the Cancels to engines that are not cut off, and records them.
type cancelRecorder struct {
	mu       sync.Mutex
	cutOff   map[string]bool
	answered map[string][]uint32
	tries    int
}

func (r *cancelRecorder) send(_ context.Context, address string, req *enginev1.CancelRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries++
	if r.cutOff[address] {
		return errors.New("cut off")
	}
	r.answered[address] = append(r.answered[address], req.Attempt)
	return nil
}

func (r *cancelRecorder) reconnect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff[address] = false
}

func (r *cancelRecorder) answeredBy(address string) []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.answered[address])
}

func (r *cancelRecorder) sendCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tries
}

func newTestCanceller(cutOff ...string) (*canceller, *cancelRecorder, *atomic.Int64) {
	r := &cancelRecorder{cutOff: map[string]bool{}, answered: map[string][]uint32{}}
	for _, address := range cutOff {
		r.cutOff[address] = true
	}
	dropped := &atomic.Int64{}
	c := newCanceller(timer.System{})
	c.send = r.send
	c.onDrop = func() { dropped.Add(1) }
	return c, r, dropped
}

func TestCancelReachesAnEngineThatWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r, dropped := newTestCanceller("cut")
		for attempt := uint32(1); attempt <= 3; attempt++ {
			c.enqueue("cut", &enginev1.CancelRequest{Attempt: attempt})
			c.enqueue("near", &enginev1.CancelRequest{Attempt: attempt})
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, []uint32{1, 2, 3}, r.answeredBy("near"))
		require.Empty(t, r.answeredBy("cut"))
		require.LessOrEqual(t, r.sendCount(), 20, "one call at a time, with growing backoff")
		r.reconnect("cut")
		time.Sleep(maxCancelBackoff)
		require.Equal(t, []uint32{1, 2, 3}, r.answeredBy("cut"))
		c.close()
		require.Zero(t, dropped.Load())
	})
}

func TestCancelsOfALostEngineAreDropped(t *testing.T) {
	cases := []struct {
		name    string
		cancels int
		wait    time.Duration
		dropped int
	}{
		{"after the retry time", 1, cancelRetryTime + maxCancelBackoff, 1},
		{"oldest first if too many are pending", maxPendingCancels + 5, time.Second, 5},
		{"not before the retry time", 1, cancelRetryTime / 2, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _, dropped := newTestCanceller("lost")
				for i := range tt.cancels {
					c.enqueue("lost", &enginev1.CancelRequest{Attempt: uint32(i)})
				}
				time.Sleep(tt.wait)
				require.EqualValues(t, tt.dropped, dropped.Load())
				c.close()
				require.EqualValues(t, tt.cancels, dropped.Load(), "close sends the remaining Cancels once more and ends")
			})
		})
	}
}

// On shutdown the daemon does not wait for every caller, so that a request may end after the dispatcher was closed.
func TestCancelAfterCloseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r, dropped := newTestCanceller()
		c.enqueue("near", &enginev1.CancelRequest{Attempt: 1})
		c.close()
		c.enqueue("near", &enginev1.CancelRequest{Attempt: 2})
		synctest.Wait()
		require.Equal(t, []uint32{1}, r.answeredBy("near"))
		require.EqualValues(t, 1, dropped.Load())
		require.Empty(t, c.queues)
	})
}
