package relayer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/rationer"
)

// answer defines how a target of a handoverFleet answers one send.
type answer struct {
	// refuses means that the target has no room, which it says after headAfter.
	refuses bool
	// err breaks the connection before the head.
	err error
	// hangs means that no answer comes.
	hangs bool
	// headAfter is how long the head takes.
	headAfter time.Duration
	// pauseAfter is the event after which the stream pauses for the time given by pause; 0 means that it does not.
	pauseAfter int
	pause      time.Duration
	// lastEvent is the last event that arrives before the stream falls silent, or breaks if breaks is true; 0 means that all arrive.
	lastEvent int
	breaks    bool
	// slowAfter is the event after which the time between two events grows by slowGap, until the stages are replaced; 0 means that it
	// does not.
	slowAfter int
	slowGap   time.Duration
}

// handoverFleet is a relayer with one stream of 60 events, one each 20 ms, whose sends are answered in order.
type handoverFleet struct {
	relayer *Relayer
	request *Request
	answers []answer

	mu     sync.Mutex
	calls  []Call
	sentAt []time.Time
	// endedAt holds when the relayer ended each send that was accepted, by call.
	endedAt map[int]time.Time
	// replaced is true once the stages of the stream were replaced.
	replaced bool
}

// newHandoverFleet returns a fleet with spare pipelines whose budget allows a number of repeats.
func newHandoverFleet(t *testing.T, repeats float64, answers ...answer) *handoverFleet {
	f := &handoverFleet{relayer: newTestRelayer(&fakeBackend{}), request: stream(true), answers: answers, endedAt: map[int]time.Time{}}
	for _, name := range []string{"c", "d", "e"} {
		putTarget(f.relayer, name+"1", cataloger.StateLive, 0, 5)
		putTarget(f.relayer, name+"2", cataloger.StateLive, 5, 10)
	}
	f.request.Route.MaxAttempts = 4
	f.relayer.Backend.Send = f.send
	f.relayer.DrainTime = 200 * time.Millisecond
	// Three quarters of the budget are used.
	f.relayer.Budget = rationer.Budget{Extra: repeats / 0.75, Window: 10 * time.Second}
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

func (f *handoverFleet) send(ctx context.Context, call Call) (*Reply, error) {
	f.mu.Lock()
	n := len(f.calls)
	f.calls, f.sentAt = append(f.calls, call), append(f.sentAt, time.Now())
	a := f.answers[min(n, len(f.answers)-1)]
	f.mu.Unlock()
	switch {
	case a.refuses:
		if err := f.relayer.Clock.Sleep(ctx, a.headAfter); err != nil {
			return nil, context.Cause(ctx)
		}
		return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	case a.err != nil:
		return nil, a.err
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endedAt[n] = time.Now()
	})
	if a.hangs {
		<-ctx.Done()
	}
	if err := f.relayer.Clock.Sleep(ctx, a.headAfter); err != nil {
		return nil, context.Cause(ctx)
	}
	body := newTimedEvents(ctx, call.ResumeAfter)
	ended := func() bool { return a.lastEvent > 0 && body.next > a.lastEvent }
	body.isSilent = func() bool {
		if a.pauseAfter > 0 && body.next == a.pauseAfter+1 {
			time.Sleep(a.pause)
		}
		if a.slowAfter > 0 && body.next > a.slowAfter && !f.isReplaced() {
			time.Sleep(a.slowGap)
		}
		return ended() && !a.breaks
	}
	body.breaks = func() bool { return ended() && a.breaks }
	return &Reply{Status: http.StatusOK, Header: http.Header{"Signature": {call.Target.Name}}, Body: body, Signed: true}, nil
}

// isReplaced reports whether the stages of the stream were replaced.
func (f *handoverFleet) isReplaced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replaced
}

// call returns the call of a send.
func (f *handoverFleet) call(n int) Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[n]
}

// leave makes the target of a stage of the first send leave after 100 ms.
func (f *handoverFleet) leave(stage int) {
	time.AfterFunc(100*time.Millisecond, func() {
		putTarget(f.relayer, f.call(0).Path[stage].Target, cataloger.StateLeaving, uint32(5*stage), uint32(5*stage+5))
	})
}

// requireWholeAnswer serves the stream and requires each event once, the head of the first target, and all memory returned.
func (f *handoverFleet) requireWholeAnswer(t *testing.T) {
	w, refusal, aborted := serve(f.relayer, f.request)
	require.False(t, aborted, "the answer was closed in the middle")
	require.Nil(t, refusal)
	require.Equal(t, eventRange(1, 60), w.Body.String(), "each event once, in order")
	require.Equal(t, f.calls[0].Target.Name, w.Header().Get("Signature"))
	synctest.Wait()
	load := 0.0
	for _, v := range f.relayer.Targets.Service("llm") {
		load += v.TokenLayers
	}
	require.Zero(t, load)
}

// TestStreamIsKeptWhereItsMoveIsRefused guards against streams that are closed in the middle as they leave a target which still serves
// them, when the next target refuses, at once or after the stream has waited there, and no repeat is left.
func TestStreamIsKeptWhereItsMoveIsRefused(t *testing.T) {
	for _, refusedAfter := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newHandoverFleet(t, 1, answer{}, answer{refuses: true, headAfter: refusedAfter})
			f.leave(0)
			f.requireWholeAnswer(t)
			require.Len(t, f.calls, 2, "the budget allows one repeat")
		})
	}
}

// TestPausedStreamIsKeptWhereItsMoveIsRefused guards against streams that are closed in the middle as they leave a target which still
// serves them, when they pause just as the next target, which refuses after a while, has not answered for handoverTimeout.
func TestPausedStreamIsKeptWhereItsMoveIsRefused(t *testing.T) {
	for _, pause := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		for _, refusedAfter := range []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			// The event after which the stream pauses; it is left after some 0.3 s, or as it pauses if its target vanishes.
			for _, pauseAfter := range []int{20, 30, 40, 55} {
				for _, vanishes := range []bool{false, true} {
					t.Run(fmt.Sprint(pause, " ", refusedAfter, " ", pauseAfter, " ", vanishes), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							f := newHandoverFleet(t, 1, answer{pauseAfter: pauseAfter, pause: pause}, answer{refuses: true, headAfter: refusedAfter})
							if vanishes {
								f.relayer.DrainTime = 2 * time.Second
								time.AfterFunc(100*time.Millisecond, func() { f.relayer.Targets.Remove(f.call(0).Target.Name) })
							} else {
								f.leave(0)
							}
							f.requireWholeAnswer(t)
						})
					})
				}
			}
		}
	}
}

// TestStreamIsHandedOver guards against a move that ends a send before the next one is accepted, whatever happens to either of them.
func TestStreamIsHandedOver(t *testing.T) {
	cases := []struct {
		name    string
		answers []answer
		calls   int
		// overlaps means that the first send ends only once the second one has begun.
		overlaps bool
	}{
		{"at the first attempt", []answer{{}, {headAfter: 20 * time.Millisecond}}, 2, true},
		{"to a target that begins late", []answer{{}, {headAfter: 200 * time.Millisecond}}, 2, true},
		{"after a refusal", []answer{{}, {refuses: true}, {}}, 3, false},
		{"after a connection that broke", []answer{{}, {err: errCut}, {}}, 3, false},
		{"while the old send breaks", []answer{{lastEvent: 29, breaks: true}, {headAfter: 200 * time.Millisecond}}, 2, false},
		{"to a target that hangs", []answer{{}, {hangs: true}}, 2, false},
		{"after refusals until the old send breaks", []answer{
			{lastEvent: 59, breaks: true}, {refuses: true}, {refuses: true}, {},
		}, 4, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHandoverFleet(t, 100, c.answers...)
				f.leave(0)
				f.requireWholeAnswer(t)
				require.Len(t, f.calls, c.calls)
				if c.overlaps {
					overlap := f.endedAt[0].Sub(f.sentAt[1])
					require.Equal(t, c.answers[1].headAfter, overlap)
				}
			})
		})
	}
}

// TestSilentStreamLeavesATargetThatHangs guards against streams that wait for a next target which hangs, with nothing to watch it.
func TestSilentStreamLeavesATargetThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 100, answer{lastEvent: 20}, answer{hangs: true}, answer{})
		time.AfterFunc(time.Second, func() { f.relayer.Targets.Suspect(f.call(0).Target.Name, 1, time.Now()) })
		time.AfterFunc(2*time.Second, func() { f.relayer.Targets.Suspect(f.call(1).Target.Name, 1, time.Now()) })
		began := time.Now()
		f.requireWholeAnswer(t)
		require.Less(t, time.Since(began), 5*time.Second)
	})
}

// TestSilentStreamDoesNotWaitForItsMove guards against streams whose first target is lost and that wait as long after a refusal as those
// that are still served.
func TestSilentStreamDoesNotWaitForItsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 100, answer{lastEvent: 20}, answer{refuses: true}, answer{refuses: true}, answer{})
		time.AfterFunc(time.Second, func() { f.relayer.Targets.Suspect(f.call(0).Target.Name, 1, time.Now()) })
		f.requireWholeAnswer(t)
		require.Len(t, f.calls, 4)
		require.LessOrEqual(t, f.sentAt[3].Sub(f.sentAt[1]), 3*watchInterval)
	})
}

// TestFailedHandoverCountsAtOnce guards against more runs than the route allows, when the current send breaks while that of a failed
// handover is still checked for a crash.
func TestFailedHandoverCountsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 100, answer{lastEvent: 28, breaks: true}, answer{err: errCut}, answer{})
		f.request.Route.MaxAttempts = 2
		f.relayer.Backend.Refuses = func(ctx context.Context, target cataloger.Target) bool {
			if target.Name != f.call(0).Target.Name {
				_ = f.relayer.Clock.Sleep(ctx, 300*time.Millisecond)
			}
			return false
		}
		f.leave(0)
		_, _, aborted := serve(f.relayer, f.request)
		require.True(t, aborted)
		require.Len(t, f.calls, 2)
		time.Sleep(time.Second)
	})
}

// TestLateOrderDoesNotMoveTheNextSend guards against a sound send that is moved as an order for the send before it gets no answer.
func TestLateOrderDoesNotMoveTheNextSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 100, answer{lastEvent: 32, breaks: true}, answer{})
		f.relayer.Backend.Repath = func(ctx context.Context, _ cataloger.Target, _ string, _ []cataloger.Stage) (RepathResult, string, error) {
			<-ctx.Done()
			return RepathUnknown, "", ctx.Err()
		}
		f.leave(1)
		f.requireWholeAnswer(t)
		require.Len(t, f.calls, 2)
	})
}

// TestHandoverEndsWithItsClient guards against sends that outlive the client.
func TestHandoverEndsWithItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 100, answer{}, answer{headAfter: 2 * time.Second})
		f.leave(0)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(570*time.Millisecond, cancel)
		func() {
			defer func() { _ = recover() }()
			f.relayer.Serve(ctx, httptest.NewRecorder(), f.request)
		}()
		synctest.Wait()
		require.Len(t, f.calls, 2)
		require.Len(t, f.endedAt, 2)
	})
}

// TestNoRepeatIsSpentOnARequestThatHasEnded guards against streams that are cut off because the budget was spent on requests whose clients
// had left or whose deadline had passed.
func TestNoRepeatIsSpentOnARequestThatHasEnded(t *testing.T) {
	const (
		repeats = 3
		end     = 300 * time.Millisecond
	)
	cases := []struct {
		name    string
		request func() *Request
		leaves  bool
	}{
		{"a stream whose client leaves", func() *Request { return stream(true) }, true},
		{"a stream whose deadline passes", func() *Request { return stream(true) }, false},
		{"a plain request whose client leaves", func() *Request { return plain(matcher.KindIdempotent) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHandoverFleet(t, repeats, answer{})
				f.request = c.request()
				before := budgetLeft(newHandoverFleet(t, repeats, answer{}).relayer, f.request)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if c.leaves {
					time.AfterFunc(end, leave)
				} else {
					f.request.Deadline = time.Now().Add(end)
				}
				func() {
					defer func() { _ = recover() }()
					f.relayer.Serve(ctx, httptest.NewRecorder(), f.request)
				}()
				require.Len(t, f.calls, 1)
				require.Equal(t, before, budgetLeft(f.relayer, f.request))
			})
		})
	}
}

// budgetLeft spends the rest of the budget of a relayer, and returns how much was left.
func budgetLeft(r *Relayer, req *Request) int {
	left := 0
	for r.spendRetry(req) {
		left++
	}
	return left
}
