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

// cancelRecorder answers Cancels of engines that are not cut off.
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

func (r *cancelRecorder) heal(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff[address] = false
}

func (r *cancelRecorder) seen(address string) []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.answered[address])
}

func (r *cancelRecorder) tried() int {
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
	c.dropped = func() { dropped.Add(1) }
	return c, r, dropped
}

func TestCancelReachesAnEngineThatWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r, dropped := newTestCanceller("cut")
		for attempt := uint32(1); attempt <= 3; attempt++ {
			c.cancel("cut", &enginev1.CancelRequest{Attempt: attempt})
			c.cancel("near", &enginev1.CancelRequest{Attempt: attempt})
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, []uint32{1, 2, 3}, r.seen("near"))
		require.Empty(t, r.seen("cut"))
		require.LessOrEqual(t, r.tried(), 20, "one try at a time, at a growing pause")
		r.heal("cut")
		time.Sleep(maxCancelPause)
		require.Equal(t, []uint32{1, 2, 3}, r.seen("cut"))
		c.close()
		require.Zero(t, dropped.Load())
	})
}

func TestCancelsOfALostEngineAreGivenUp(t *testing.T) {
	cases := []struct {
		name    string
		cancels int
		wait    time.Duration
		dropped int
	}{
		{"after their life", 1, cancelLife + maxCancelPause, 1},
		{"oldest first where too many wait", maxCancels + 5, time.Second, 5},
		{"not before", 1, cancelLife / 2, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _, dropped := newTestCanceller("lost")
				for i := range tt.cancels {
					c.cancel("lost", &enginev1.CancelRequest{Attempt: uint32(i)})
				}
				time.Sleep(tt.wait)
				require.EqualValues(t, tt.dropped, dropped.Load())
				c.close()
				require.EqualValues(t, tt.cancels, dropped.Load(), "close tries what is left once more and ends")
			})
		})
	}
}

// A caller that the daemon no longer waits for may end its request after the dispatcher has stopped.
func TestCancelAfterCloseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r, dropped := newTestCanceller()
		c.cancel("near", &enginev1.CancelRequest{Attempt: 1})
		c.close()
		c.cancel("near", &enginev1.CancelRequest{Attempt: 2})
		synctest.Wait()
		require.Equal(t, []uint32{1}, r.seen("near"))
		require.EqualValues(t, 1, dropped.Load())
		require.Empty(t, c.queues)
	})
}
