package chooser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/pacer"
)

// A target that is held back is used only where others have no room, and one that is full only for streams that have begun.
func TestPacedTargetsGetWhatOthersHaveNoRoomFor(t *testing.T) {
	now := time.Unix(100, 0)
	sameHead := testTarget{"a-head-2", "a", 0, 2}
	c := newTestChooser(&now, head, sameHead, tail)
	verdicts := map[string]pacer.Verdict{head.name: pacer.HeldBack}
	c.Pace = func(string) map[string]pacer.Verdict { return verdicts }
	d := testDemand()
	for range 20 {
		path, ok := c.Path(d, nil)
		require.True(t, ok)
		require.Equal(t, sameHead.name, path[0].Target)
	}
	c.Targets.Suspect(sameHead.name, 1, now)
	path, ok := c.Path(d, nil)
	require.True(t, ok, "a late answer is better than none")
	require.Equal(t, head.name, path[0].Target)
	verdicts[head.name] = pacer.Full
	_, ok = c.Path(d, nil)
	require.False(t, ok)
	require.Contains(t, c.NoPathReason(d), "layers 0 to 2 are held only by targets that have just started or come back")
	d.Precedence.Begun = true
	_, ok = c.Path(d, nil)
	require.True(t, ok)
}
