package relayer

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/matcher"
)

// TestSecondSendToATargetIsMarked guards against a copy of the first send's refusal that is taken for the answer to a later send to the
// same target.
func TestSecondSendToATargetIsMarked(t *testing.T) {
	refused := script{status: 503, notRun: true}
	cases := []struct {
		name    string
		request *Request
		scripts []script
		// marked are the sends that must be marked.
		marked []bool
	}{
		{"plain request, elsewhere", plain(matcher.KindNonIdempotent), []script{refused, {status: 200}}, []bool{false, false}},
		{"stream, elsewhere", stream(false), []script{refused, {status: 200, body: eventRange(1, 2)}}, []bool{false, false}},
		{"stream that has begun, third send", stream(true),
			[]script{{status: 200, body: eventRange(1, 2), err: errCut}, refused, {status: 200, body: eventRange(3, 4)}}, []bool{false, false, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeBackend{scripts: c.scripts}
				_, refusal, aborted := serve(newTestRelayer(f), c.request)
				require.Nil(t, refusal)
				require.False(t, aborted)
				var marked []bool
				for _, call := range f.calls {
					marked = append(marked, call.Repeated)
				}
				require.Equal(t, c.marked, marked)
			})
		})
	}
}
