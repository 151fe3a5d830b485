package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/enginefaker"
)

// TestStreamIsKeptWhereItsMoveIsRefused guards against answers that are cut as a stream moves: its old attempt is ended before
// the new one is accepted, the new one fails, and no retry is left, though the leaving target still serves.
func TestStreamIsKeptWhereItsMoveIsRefused(t *testing.T) {
	refuse := enginefaker.Fault{Kind: enginefaker.FaultRefuse, RPC: "Generate"}
	cases := []struct {
		name string
		// leaving is the stage whose target leaves.
		leaving int
		// faulty returns the target of the new attempt that fails, by the old route.
		faulty func(stages []cataloger.Stage) string
		fault  enginefaker.Fault
	}{
		{"the head stays and refuses", 1, func(stages []cataloger.Stage) string { return stages[0].Target }, refuse},
		{"the next head refuses", 0, func(stages []cataloger.Stage) string { return otherHolder(stages[0].Target) }, refuse},
		{
			"the next target breaks after the head has taken the new attempt", 2,
			func(stages []cataloger.Stage) string { return otherHolder(stages[2].Target) },
			enginefaker.Fault{Kind: enginefaker.FaultBreak},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
			job := testJob("r", 60)
			job.RetryBudget = -1
			col := &collector{t: t, job: job}
			col.onPart = func(p Part) error {
				if p.Position == 5 {
					require.NoError(t, b.engines[c.faulty(p.Route.Stages)].SetFaults(c.fault))
					b.setState(p.Route.Stages[c.leaving].Target, cataloger.StateLeaving)
				}
				return nil
			}
			require.NoError(t, b.dispatcher.Run(t.Context(), job, col.emit))
			col.requireCompleteAnswer()
			b.requireNothingOutstanding(t)
			require.Positive(t, b.counter("dispatcher.move-failed"))
			require.Zero(t, b.counter("dispatcher.recovered.prefill"))
			require.Equal(t, col.parts[0].Receipt.Stages[c.leaving].Target, col.parts[59].Receipt.Stages[c.leaving].Target)
		})
	}
}

// TestLeftAttemptIsEndedOnce guards against attempts that run on with nobody to read them after their stream has moved, and
// against permits that are never returned.
func TestLeftAttemptIsEndedOnce(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, slowDecode)
	col := &collector{t: t, job: testJob("r", 60)}
	left := ""
	col.onPart = atPosition(5, 1, func(target string) {
		left = target
		b.setState(target, cataloger.StateLeaving)
	})
	require.NoError(t, b.dispatcher.Run(t.Context(), col.job, col.emit))
	col.requireCompleteAnswer()
	b.dispatcher.Close()
	canceled := b.engines[left].Ledger().Canceled
	require.Len(t, canceled, 1)
	require.Equal(t, uint32(1), canceled[0].Attempt)
	b.requireNothingOutstanding(t)
}

// requireNothingOutstanding checks that the selector counts no work on any target.
func (b *testbed) requireNothingOutstanding(t *testing.T) {
	for name := range b.engines {
		require.Zero(t, b.selector.Outstanding(name), name)
	}
}

// otherHolder returns the other target of the same layers in threeStagesTwoTargetsEach.
func otherHolder(name string) string {
	return map[string]string{"e0": "e1", "e1": "e0", "e2": "e3", "e3": "e2", "e4": "e5", "e5": "e4"}[name]
}
