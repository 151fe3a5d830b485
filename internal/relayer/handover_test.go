package relayer

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/rationer"
)

// fullFleet is a relayer with one stream, whose other targets refuse it until they have room.
type fullFleet struct {
	relayer *Relayer
	request *Request

	mu sync.Mutex
	// hasRoom is true once targets accept the stream a second time.
	hasRoom bool
	// acceptAfter is how long a target takes to begin to answer.
	acceptAfter time.Duration
	calls       []Call
	// ended holds when each send was ended by the relayer, by call.
	ended map[int]time.Time
}

func newFullFleet(t *testing.T, extra float64) *fullFleet {
	f := &fullFleet{relayer: newTestRelayer(&fakeBackend{}), request: stream(true), ended: map[int]time.Time{}}
	f.relayer.Backend.Send = f.send
	f.relayer.DrainTime = 200 * time.Millisecond
	f.relayer.Budget = rationer.Budget{Extra: extra, Window: 10 * time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = f.relayer.Watch(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-watched
	})
	return f
}

// send streams an event each 20 ms; all targets but the first refuse while they have no room.
func (f *fullFleet) send(ctx context.Context, call Call) (*Reply, error) {
	f.mu.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, call)
	refuses, wait := n > 0 && !f.hasRoom, f.acceptAfter
	f.mu.Unlock()
	if refuses {
		return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	}
	if err := f.relayer.Clock.Sleep(ctx, wait); err != nil {
		return nil, context.Cause(ctx)
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended[n] = time.Now()
	})
	return &Reply{Status: http.StatusOK, Header: http.Header{"Signature": {call.Target.Name}}, Body: newTimedEvents(ctx, call.ResumeAfter), Signed: true}, nil
}

// leave makes the first target or the last stage of the stream leave, and reports whether there is such a stage.
func (f *fullFleet) leave(stage int) {
	f.mu.Lock()
	path := f.calls[0].Path
	f.mu.Unlock()
	first, end := uint32(5*stage), uint32(5*stage+5)
	putTarget(f.relayer, path[stage].Target, cataloger.StateLeaving, first, end)
}

// TestStreamIsKeptWhereItsMoveIsRefused guards against streams that are closed in the middle as they leave a target which still serves
// them, when the next target refuses and no repeat is left.
func TestStreamIsKeptWhereItsMoveIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFullFleet(t, 2)
		time.AfterFunc(100*time.Millisecond, func() { f.leave(0) })
		w, refusal, aborted := serve(f.relayer, f.request)
		require.False(t, aborted, "the answer was closed in the middle")
		require.Nil(t, refusal)
		require.Equal(t, eventRange(1, 60), w.Body.String())
		require.Len(t, f.calls, 2, "the budget allows one repeat")
	})
}
