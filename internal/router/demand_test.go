package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
)

func TestDemandReachesThePlannerAtABoundedRate(t *testing.T) {
	const mostPerSecond = 40
	for _, members := range []int{1, 4, 40, 80, 200, 400} {
		interval := demandInterval(members)
		require.GreaterOrEqual(t, interval, leastDemandInterval)
		require.LessOrEqual(t, float64(members)/interval.Seconds(), float64(mostPerSecond), "%d members", members)
	}
	require.Equal(t, leastDemandInterval, demandInterval(4), "today's fleet")
}

// Reports are lost and daemons go; the planner's sum stays near what those that remain deliver.
func TestDemandOfAFleetIsKnownDespiteLoss(t *testing.T) {
	cases := []struct {
		name          string
		members, gone int
		loss          float64
	}{
		{"today's fleet", 4, 0, 0},
		{"one of four is lost", 4, 1, 0},
		{"the design size", 400, 0, 0.2},
		{"a data centre of the design size is lost", 400, 31, 0.05},
	}
	const rate = 3000.0
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				d := newDemands(timer.System{})
				interval := demandInterval(tt.members)
				report := func(members int) {
					for i := range members {
						if random.Float64() >= tt.loss {
							d.take(fmt.Sprint(i), "m", rate)
						}
					}
				}
				for range 6 {
					report(tt.members)
					time.Sleep(interval)
				}
				require.InEpsilon(t, rate*float64(tt.members), d.total("m", demandLife*interval), 0.01)
				for range demandLife + 1 {
					report(tt.members - tt.gone)
					time.Sleep(interval)
				}
				require.InEpsilon(t, rate*float64(tt.members-tt.gone), d.total("m", demandLife*interval), 0.01)
				require.Zero(t, d.total("other", demandLife*interval))
			})
		})
	}
}
