package relayer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// lostLinkFleet is a relayer whose connections that are open at a moment go silent for good.
type lostLinkFleet struct {
	relayer *Relayer

	mu sync.Mutex
	// cutAt is when connections go silent; zero if they don't. lostAt is when this is known.
	cutAt, lostAt time.Time
	checked       map[string]bool
	calls         []Call
}

func newLostLinkFleet(t *testing.T) *lostLinkFleet {
	f := &lostLinkFleet{relayer: newTestRelayer(&fakeBackend{}), checked: map[string]bool{}}
	r := f.relayer
	r.Backend.Send = f.send
	r.LinkLostSince = func(string) (time.Time, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.lostAt, !f.lostAt.IsZero()
	}
	r.CheckLink = func(_ context.Context, address string) {
		f.mu.Lock()
		f.checked[address] = true
		lost := !f.cutAt.IsZero() && f.lostAt.IsZero()
		if lost {
			f.lostAt = time.Now()
		}
		f.mu.Unlock()
		if lost {
			r.LeaveLostLinks()
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = r.Watch(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-watched
	})
	return f
}

// send streams an event each 20 ms over a connection that goes silent if it was opened before the cut.
func (f *lostLinkFleet) send(ctx context.Context, call Call) (*Reply, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	body := newTimedEvents(ctx, call.ResumeAfter)
	opened := time.Now()
	body.isSilent = func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.cutAt.IsZero() && opened.Before(f.cutAt) && !time.Now().Before(f.cutAt)
	}
	if call.Request.Service.Engine == nil {
		time.Sleep(20 * time.Millisecond)
		if body.isSilent() {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Signed: true}, nil
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: body, Signed: true}, nil
}

// timedEvents is a body of 60 events, one each 20 ms.
type timedEvents struct {
	ctx  context.Context
	next int
	// isSilent reports whether nothing arrives any more.
	isSilent func() bool
	// breaks reports whether the connection is broken.
	breaks func() bool
}

// newTimedEvents returns the events after the one with an id.
func newTimedEvents(ctx context.Context, resumeAfter string) *timedEvents {
	next := 1
	if resumeAfter != "" {
		_, _ = fmt.Sscan(resumeAfter, &next)
		next++
	}
	return &timedEvents{ctx: ctx, next: next, isSilent: func() bool { return false }, breaks: func() bool { return false }}
}

func (e *timedEvents) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	if e.isSilent() {
		<-e.ctx.Done()
	}
	if e.ctx.Err() != nil {
		return 0, context.Cause(e.ctx)
	}
	if e.breaks() {
		return 0, errCut
	}
	if e.next > 60 {
		return strings.NewReader("").Read(p)
	}
	n := copy(p, eventRange(e.next, e.next))
	e.next++
	return n, nil
}

func (e *timedEvents) Close() error { return nil }

// TestStreamsContinueWhenAllLinksAreLost guards against streams that hang on connections of a gateway which is cut off from all targets:
// when all are silent at once, it checks its links, and they continue from the same event without a pause that clients notice.
func TestStreamsContinueWhenAllLinksAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLostLinkFleet(t)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Microsecond)
				w, refusal, aborted := serve(f.relayer, stream(true))
				require.Nil(t, refusal)
				require.False(t, aborted)
				require.Equal(t, eventRange(1, 60), w.Body.String(), "each event once, in order")
			})
		}
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		require.Empty(t, f.checked, "while streams proceed")
		f.cutAt = time.Now()
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		f.mu.Lock()
		checked, calls := len(f.checked), len(f.calls)
		f.mu.Unlock()
		require.NotZero(t, checked)
		require.LessOrEqual(t, checked, maxLinkChecks)
		require.Equal(t, 16, calls, "each stream was sent once more")
		wg.Wait()
	})
}

// TestLoadOfUnheardEndsIsKept guards against streams that are sent again to targets whose memory the sends before still hold, as their
// end did not reach the targets over a lost link.
func TestLoadOfUnheardEndsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLostLinkFleet(t)
		load := func() float64 {
			sum := 0.0
			for _, v := range f.relayer.Targets.Service("llm") {
				sum += v.TokenLayers
			}
			return sum
		}
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { _, _, _ = serve(f.relayer, stream(true)) })
		}
		time.Sleep(500 * time.Millisecond)
		before := load()
		f.mu.Lock()
		f.cutAt, f.lostAt = time.Now(), time.Now()
		f.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		require.InDelta(t, 2*before, load(), 1)
		wg.Wait()
		time.Sleep(unheardEndTime)
		require.Zero(t, load())
	})
}

// TestLostLinkIsNoFaultOfAPlainService: a request that may be repeated continues over a peer, and the instance is used on; one that may
// not waits for its answer.
func TestLostLinkIsNoFaultOfAPlainService(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.KindIdempotent, matcher.KindNonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			f := newLostLinkFleet(t)
			f.relayer.Targets.Put(cataloger.Target{Name: "p2", Service: "gone", Address: "p2:80", State: cataloger.StateLive, Incarnation: 1})
			f.cutAt = time.Now().Add(10 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.lostAt = time.Now()
			})
			began := time.Now()
			w := httptest.NewRecorder()
			refusal := f.relayer.Serve(t.Context(), w, plain(kind))
			if kind == matcher.KindNonIdempotent {
				require.NotNil(t, refusal, "it may have run")
				require.Len(t, f.calls, 1)
				return
			}
			require.Nil(t, refusal)
			require.Less(t, time.Since(began), 300*time.Millisecond)
			require.Len(t, f.calls, 2)
			require.Equal(t, "p1", f.calls[1].Target.Name, "the only instance, which is sound")
		})
	}
}
