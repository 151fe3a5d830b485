package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestAdmitGrantsAndRefuses(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	a := New(clock)
	a.Configure([]*documenter.Document{{Name: "assistant", Workspaces: []documenter.Workspace{{Name: "counter"}}}})

	g, err := a.Admit(t.Context(), Request{Service: "assistant", Workspace: "counter", Cost: 10})
	require.NoError(t, err)
	g.Done(Result{OK: true})
	g.Done(Result{OK: true})

	for _, c := range []struct {
		name string
		req  Request
		code refuser.Code
	}{
		{"unknown service", Request{Service: "none", Workspace: "counter"}, refuser.UnknownService},
		{"foreign workspace", Request{Service: "assistant", Workspace: "other"}, refuser.UnknownWorkspace},
		{"deadline too short", Request{
			Service: "assistant", Workspace: "counter", Deadline: clock.Now().Add(time.Second), Expected: time.Minute,
		}, refuser.DeadlineTooShort},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := a.Admit(t.Context(), c.req)
			require.Equal(t, c.code, refuser.From(err).Code)
			require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
		})
	}
}
