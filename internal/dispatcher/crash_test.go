package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// TestRequestThatCrashesEnginesIsQuarantined guards against a prompt that crashes each engine which begins to answer it, and
// that is sent on to one engine after the other, by the router and by its client.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	const engines, clientTries, maxCrashes = 16, 4, 5
	// Crashes at the same moment would count as one.
	const readingTime = 60 * time.Millisecond
	ranges := make([][2]uint32, engines)
	for i := range ranges {
		ranges[i] = [2]uint32{0, testLayers}
	}
	b := newTestbed(t, ranges, nil)
	pick, crashed := b.dispatcher.Pick, map[string]bool{}
	b.dispatcher.Pick = func(r selector.Request) (cataloger.Route, *selector.Permit, error) {
		route, permit, err := pick(r)
		time.Sleep(readingTime)
		if err == nil {
			name := route.Stages[0].Target
			crashed[name] = true
			err = b.engines[name].SetFaults(enginefaker.Fault{Kind: enginefaker.FaultDie})
		}
		return route, permit, err
	}
	for i := range clientTries {
		job := testJob(fmt.Sprint("r", i), 10)
		job.MaxAttempts = 3
		require.Error(t, b.dispatcher.Run(t.Context(), job, func(Part) error { return nil }))
	}
	require.LessOrEqual(t, len(crashed), maxCrashes)

	refusal := refuser.From(b.dispatcher.Run(t.Context(), testJob("again", 10), func(Part) error { return nil }))
	require.Equal(t, refuser.Quarantined, refusal.Code)
	require.Equal(t, refuser.FactNotRun, refusal.Fact)
	b.dispatcher.Pick = pick
	job := testJob("other", 10)
	job.Prompt = []byte("another prompt")
	c := &collector{t: t, job: job}
	require.NoError(t, b.dispatcher.Run(t.Context(), job, c.emit))
	c.requireCompleteAnswer()
}
