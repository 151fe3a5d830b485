package relayer

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/pacer"
)

// newPacingRelayer returns a relayer that paces a target that has just started beside its peers.
func newPacingRelayer(f *fakeBackend, name string) *Relayer {
	r := newTestRelayer(f)
	now := time.Now()
	r.Pacer.Now = func() time.Time { return now }
	r.Pacer.Enabled = func(string) bool { return true }
	v, _ := r.Targets.Get(name)
	for range 10 {
		r.Pacer.RecordRequest(v.Service)
	}
	r.Pacer.Update(cataloger.Target{}, false, v.Target)
	return r
}

// A target that rejects its first request, or is gone before it has answered, leaves nothing waiting and serves no fewer clients.
func TestRequestIsServedWhereAPacedTargetFails(t *testing.T) {
	served := script{status: http.StatusOK, body: eventRange(1, 3)}
	for name, failure := range map[string]script{
		"rejects": {status: http.StatusServiceUnavailable, notRun: true, blamed: "a1:80"},
		"is gone": {err: errCut},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{scripts: []script{failure, served}, down: map[string]bool{}}
			r := newPacingRelayer(f, "a1")
			first := true
			r.Chooser.Pace = func(string) map[string]pacer.Verdict {
				// The first choice is the paced target, all later ones its peer.
				if first {
					first = false
					return map[string]pacer.Verdict{"b1": pacer.HeldBack}
				}
				return nil
			}
			w, refusal, _ := serve(r, stream(true))
			require.Nil(t, refusal)
			require.Equal(t, eventRange(1, 3), w.Body.String())
			require.Equal(t, "a1", f.calls[0].Target.Name)
			counts := r.Pacer.Own()
			r.Pacer.Forget("a1")
			for key := range r.Pacer.Own() {
				delete(counts, key)
			}
			require.Equal(t, []uint32{1}, slices.Collect(maps.Values(counts)), "it waits no more, and its end is counted")
			require.Zero(t, r.Pacer.Paced())
		})
	}
}

// A paced instance of a plain service gets a request that no other may have.
func TestPlainRequestsUseOtherInstancesFirst(t *testing.T) {
	f := &fakeBackend{scripts: []script{{status: http.StatusOK, body: "done"}}}
	r := newPacingRelayer(f, "p1")
	r.Pacer.Draw = func() float64 { return 1 }
	for range 10 {
		_, refusal, _ := serve(r, plain(matcher.KindIdempotent))
		require.Nil(t, refusal)
	}
	for _, call := range f.calls {
		require.Equal(t, "p2", call.Target.Name)
	}
	r.Targets.Suspect("p2", 1, time.Now())
	_, refusal, _ := serve(r, plain(matcher.KindIdempotent))
	require.Nil(t, refusal)
	require.Equal(t, "p1", f.calls[len(f.calls)-1].Target.Name)
	require.NotEqual(t, pacer.Open, r.Pacer.Verdicts("app")["p1"])
}
