package chooser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryAfterThePausesOfAllLayers: while targets want a pause, clients come back when those that hold all layers have ended theirs.
func TestRetryAfterThePausesOfAllLayers(t *testing.T) {
	c := newFleet(1, 3, func(int) string { return "slow" })[0]
	d := Demand{Service: "llm", Engine: fleetEngine(), Tokens: 840, PrefillTokens: 700}
	require.Zero(t, c.RetryAfter(d))
	for i, name := range []string{"p00-0", "p01-0", "p02-0"} {
		c.Targets.RecordPause(name, 1, time.Duration(3-i)*time.Second)
	}
	require.Equal(t, time.Second, c.RetryAfter(d), "the first of them suffices")
	for i, name := range []string{"p00-2", "p01-2", "p02-2"} {
		c.Targets.RecordPause(name, 1, time.Duration(4+i)*time.Second)
	}
	require.Equal(t, 4*time.Second, c.RetryAfter(d), "two layers are needed")
	for _, name := range []string{"p00-3", "p01-3", "p02-3"} {
		c.Targets.Suspect(name, 1, c.Now())
	}
	require.Zero(t, c.RetryAfter(d), "no pause is what is missing")
}
