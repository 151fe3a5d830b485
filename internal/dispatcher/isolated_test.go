package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestIsolatedDaemonHandsAnswersOver(t *testing.T) {
	cases := []struct {
		name     string
		isolated bool
		// recentToken is true if an engine has just sent a token of another stream.
		recentToken bool
		code        refuser.Code
	}{
		{"receives from neither daemons nor engines", true, false, refuser.StreamLost},
		{"receives from engines", true, true, refuser.NoPipeline},
		{"receives from daemons", false, false, refuser.NoPipeline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, nil)
			b.dispatcher.Isolated = func() bool { return c.isolated }
			b.dispatcher.Pick = onlyFirstPick(b.dispatcher.Pick)
			b.dispatcher.RecoveryTimeout = time.Millisecond
			if c.recentToken {
				b.dispatcher.lastToken.Store(time.Now().Add(time.Hour).UnixNano())
			}
			for _, e := range b.engines {
				require.NoError(t, e.SetFaults(enginefaker.Fault{Kind: enginefaker.FaultDie}))
			}
			err := b.dispatcher.Run(t.Context(), testJob("r", 10), func(Part) error { return nil })
			require.Equal(t, c.code, refuser.From(err).Code)
		})
	}
}

// onlyFirstPick returns a pick function that finds a route only on its first call.
func onlyFirstPick(pick pickFunc) pickFunc {
	picks := 0
	return func(req selector.Request) (cataloger.Route, *selector.Permit, error) {
		picks++
		if picks > 1 {
			return cataloger.Route{}, nil, refuser.New(refuser.NoPipeline, "no second route")
		}
		return pick(req)
	}
}

type pickFunc = func(selector.Request) (cataloger.Route, *selector.Permit, error)
