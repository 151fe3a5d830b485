package relayer

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// TestRequestsWithoutAnAnswerAreRefusedAtTheEnd guards against connections that a shutdown closes although their requests have got neither
// an answer nor a refusal, because their target is silent.
func TestRequestsWithoutAnAnswerAreRefusedAtTheEnd(t *testing.T) {
	const end = 300 * time.Millisecond
	for _, req := range []func() *Request{
		func() *Request { return stream(true) },
		func() *Request { return plain(matcher.KindIdempotent) },
		func() *Request { return plain(matcher.KindNonIdempotent) },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRelayer(&fakeBackend{scripts: []script{{hang: true}}})
			began := time.Now()
			time.AfterFunc(end, r.RefuseUnanswered)
			w, refusal, aborted := serve(r, req())
			require.False(t, aborted)
			require.Equal(t, refuser.Draining, refusal.Code)
			require.Equal(t, refuser.FactMayHaveRun, refusal.Fact)
			require.Equal(t, end, time.Since(began))
			require.Empty(t, w.Header())
		})
	}
}

// TestAnswersThatHaveBegunGoOnAtTheEnd: the requests without an answer are refused while a stream is written.
func TestAnswersThatHaveBegunGoOnAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHandoverFleet(t, 100, answer{})
		time.AfterFunc(100*time.Millisecond, f.relayer.RefuseUnanswered)
		w, refusal, aborted := serve(f.relayer, f.request)
		require.False(t, aborted)
		require.Nil(t, refusal)
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, eventRange(1, 60), w.Body.String())
	})
}
