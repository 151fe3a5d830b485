package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
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
	// acceptAfter is how long a target takes to begin to answer a second send.
	acceptAfter time.Duration
	// breakAt is when the first send breaks off; zero if it does not.
	breakAt time.Time
	calls   []Call
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
	refuses, wait := n > 0 && !f.hasRoom, time.Duration(0)
	if n > 0 {
		wait = f.acceptAfter
	}
	f.mu.Unlock()
	if refuses {
		return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended[n] = time.Now()
	})
	if err := f.relayer.Clock.Sleep(ctx, wait); err != nil {
		return nil, context.Cause(ctx)
	}
	body := newTimedEvents(ctx, call.ResumeAfter)
	if n == 0 {
		body.breaks = func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return !f.breakAt.IsZero() && !time.Now().Before(f.breakAt)
		}
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{"Signature": {call.Target.Name}}, Body: body, Signed: true}, nil
}

// leave makes the target of a stage of the stream leave.
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

// TestStreamIsHandedOver: a stream continues on another pipeline once that has begun to answer, also where its first attempt to move is
// refused, or its first target is gone by then.
func TestStreamIsHandedOver(t *testing.T) {
	cases := []struct {
		name    string
		change  func(f *fullFleet)
		calls   int
		accepts bool
	}{
		{"at the first attempt", func(f *fullFleet) { f.hasRoom = true }, 2, true},
		{"after a refusal", func(f *fullFleet) {
			time.AfterFunc(600*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.hasRoom = true
			})
		}, 3, true},
		{"the old send breaks off first", func(f *fullFleet) {
			f.hasRoom, f.acceptAfter, f.breakAt = true, 300*time.Millisecond, time.Now().Add(850*time.Millisecond)
		}, 2, true},
		{"the old send completes first", func(f *fullFleet) { f.hasRoom, f.acceptAfter = true, 2*time.Second }, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFullFleet(t, 100)
				c.change(f)
				time.AfterFunc(100*time.Millisecond, func() { f.leave(0) })
				w, refusal, aborted := serve(f.relayer, f.request)
				require.False(t, aborted)
				require.Nil(t, refusal)
				require.Equal(t, eventRange(1, 60), w.Body.String(), "each event once, in order")
				synctest.Wait()
				require.Len(t, f.calls, c.calls)
				require.Len(t, f.ended, len(f.calls)-(c.calls-2), "each send that was accepted has ended")
				require.Equal(t, f.calls[0].Target.Name, w.Header().Get("Signature"), "the head is that of the first target")
				last := f.calls[c.calls-1]
				if c.accepts {
					require.NotEqual(t, f.calls[0].Target.Name, last.Target.Name)
					require.NotEmpty(t, last.ResumeAfter)
				}
				load := 0.0
				for _, v := range f.relayer.Targets.Service("llm") {
					load += v.TokenLayers
				}
				require.Zero(t, load, "all memory was returned")
			})
		})
	}
}

// TestHandoverEndsWithItsClient: neither send outlives the client.
func TestHandoverEndsWithItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFullFleet(t, 100)
		f.hasRoom, f.acceptAfter = true, 2*time.Second
		time.AfterFunc(100*time.Millisecond, func() { f.leave(0) })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(900*time.Millisecond, cancel)
		func() {
			defer func() { _ = recover() }()
			f.relayer.Serve(ctx, httptest.NewRecorder(), f.request)
		}()
		synctest.Wait()
		require.Len(t, f.calls, 2)
		require.Len(t, f.ended, 2)
	})
}
