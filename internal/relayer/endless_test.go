package relayer

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// endlessBody repeats a piece until it is closed, with a pause before each; it counts the bytes that were read.
type endlessBody struct {
	piece  string
	pause  time.Duration
	read   atomic.Int64
	closed atomic.Bool
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	time.Sleep(b.pause)
	n := copy(p, strings.Repeat(b.piece, len(p)/len(b.piece)+1))
	if b.pause > 0 {
		n = copy(p, b.piece)
	}
	b.read.Add(int64(n))
	return n, nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.closed.Store(true)
	return nil
}

// TestEndlessPlainAnswers guards against a target that uses up a gateway's memory, or a client's time, with an endless
// body: it is abandoned at the bound, and a repeatable request is answered by another target before the deadline.
func TestEndlessPlainAnswers(t *testing.T) {
	cases := []struct {
		name     string
		kind     matcher.Kind
		unsigned bool
		status   int
		pause    time.Duration
		answered bool
		fact     refuser.Fact
	}{
		{"bytes that are no answer, repeatable", matcher.KindIdempotent, true, 200, 0, true, 0},
		{"bytes that are no answer, not repeatable", matcher.KindNonIdempotent, true, 200, 0, false, refuser.FactMayHaveRun},
		{"a byte at a time, repeatable", matcher.KindIdempotent, false, 200, time.Millisecond, true, 0},
		{"a byte at a time, not repeatable", matcher.KindNonIdempotent, false, 200, time.Millisecond, false, refuser.FactMayHaveRun},
		{"an endless failure, repeatable", matcher.KindIdempotent, false, 500, 0, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &endlessBody{piece: "x", pause: c.pause}
				f := &fakeBackend{scripts: []script{{status: c.status, unsigned: c.unsigned, endless: body}, {status: 200, body: "ok"}}}
				req := plain(c.kind)
				w, refusal, aborted := serve(newTestRelayer(f), req)
				require.False(t, aborted)
				require.True(t, body.closed.Load(), "its connection is closed")
				require.LessOrEqual(t, body.read.Load(), int64(2*maxBufferedBytes))
				require.LessOrEqual(t, time.Since(req.Deadline), c.pause, "within the deadline, except for the last byte")
				if c.answered {
					require.Nil(t, refusal)
					require.Equal(t, "ok", w.Body.String())
					return
				}
				require.Equal(t, c.fact, refusal.Fact)
				require.Empty(t, w.Header())
			})
		})
	}
}

// TestLongPlainAnswerIsPassedOn: a signed success longer than maxBufferedBytes is not cut, and one that breaks does not
// look complete.
func TestLongPlainAnswerIsPassedOn(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 1<<18)
	for _, kind := range []matcher.Kind{matcher.KindIdempotent, matcher.KindNonIdempotent} {
		f := &fakeBackend{scripts: []script{{status: 200, body: long}}}
		w, refusal, aborted := serve(newTestRelayer(f), plain(kind))
		require.Nil(t, refusal)
		require.False(t, aborted)
		require.Equal(t, long, w.Body.String())
		require.NotEmpty(t, w.Header().Get("Signature"))
		f = &fakeBackend{scripts: []script{{status: 200, body: long, err: errCut}}}
		_, _, aborted = serve(newTestRelayer(f), plain(kind))
		require.True(t, aborted)
	}
}

// TestEndlessStreamsWithoutEvents guards against a first stage that sends endless bytes in place of events: the stream
// continues elsewhere if allowed, and none of these bytes reach the client.
func TestEndlessStreamsWithoutEvents(t *testing.T) {
	cases := []struct{ name, begin, piece string }{
		{"an endless line", "", "x"},
		{"an endless event", "id: 1\n", "data: x\n"},
		{"endless comments", "", ": x\n\n"},
		{"events without ids", "", "data: x\n\n"},
		{"blank lines", "", "\n"},
		{"endless comments after an event", eventRange(1, 1), ": x\n\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &endlessBody{piece: c.piece}
				f := &fakeBackend{scripts: []script{{status: 200, body: c.begin, endless: body}, {status: 200, body: eventRange(1, 3)}}}
				w, refusal, aborted := serve(newTestRelayer(f), stream(true))
				require.Nil(t, refusal)
				require.False(t, aborted)
				require.True(t, body.closed.Load())
				require.LessOrEqual(t, body.read.Load(), int64(2*maxEvent))
				var events []string
				for event := range strings.SplitSeq(w.Body.String(), "\n\n") {
					if strings.HasPrefix(event, "id:") {
						events = append(events, event+"\n\n")
					}
				}
				require.Equal(t, eventRange(1, 3), strings.Join(events, ""))

				body = &endlessBody{piece: c.piece}
				f = &fakeBackend{scripts: []script{{status: 200, body: c.begin, endless: body}}}
				_, refusal, aborted = serve(newTestRelayer(f), stream(false))
				require.True(t, body.closed.Load())
				require.True(t, aborted || refusal.Fact == refuser.FactMayHaveRun, "it ends visibly if it may not continue")
			})
		})
	}
}

// TestIdleStreamIsNotCut: a stream that is kept open by comments through long pauses continues.
func TestIdleStreamIsNotCut(t *testing.T) {
	var b strings.Builder
	for id := 1; id <= 5; id++ {
		b.WriteString(strings.Repeat(": still there\n\n", 1000))
		b.WriteString(eventRange(id, id))
	}
	f := &fakeBackend{scripts: []script{{status: 200, body: b.String()}}}
	w, refusal, aborted := serve(newTestRelayer(f), stream(false))
	require.Nil(t, refusal)
	require.False(t, aborted)
	require.Equal(t, b.String(), w.Body.String())
}
