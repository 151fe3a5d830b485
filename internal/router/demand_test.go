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

func TestDemandReportRateIsBounded(t *testing.T) {
	const maxPerSecond = 40
	for _, members := range []int{1, 4, 40, 80, 200, 400} {
		interval := demandInterval(members)
		require.GreaterOrEqual(t, interval, minDemandInterval)
		require.LessOrEqual(t, float64(members)/interval.Seconds(), float64(maxPerSecond), "%d members", members)
	}
	require.Equal(t, minDemandInterval, demandInterval(4), "small fleet")
}

// TestNewDemandIsNotUnderreported guards against a planner that lets the bound fall below the load, as an average over a window
// that a new load has not filled yet is too low.
func TestNewDemandIsNotUnderreported(t *testing.T) {
	const (
		rate     = 70.0
		interval = 100 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	r := &decayingRate{}
	deliver := func(d time.Duration, check func(since time.Duration)) {
		for since := time.Duration(0); since < d; since += interval {
			r.add(now, rate*interval.Seconds())
			now = now.Add(interval)
			check(since + interval)
		}
	}
	full := func(since time.Duration) {
		if since >= minDemandAge {
			require.InEpsilon(t, rate, r.valueAt(now), 0.05, "after %s", since)
		}
	}
	require.Zero(t, r.valueAt(now))
	deliver(30*time.Second, full)
	now = now.Add(demandIdleTime + time.Second)
	require.Less(t, r.valueAt(now), 0.05*rate, "idle")
	deliver(30*time.Second, full)
}

// TestFleetDemandDespiteLostReports: while reports and daemons are lost, the sum at the planner stays close to what the
// remaining daemons deliver.
func TestFleetDemandDespiteLostReports(t *testing.T) {
	cases := []struct {
		name          string
		members, lost int
		loss          float64
	}{
		{"small fleet", 4, 0, 0},
		{"one of four is lost", 4, 1, 0},
		{"large fleet", 400, 0, 0.2},
		{"large fleet loses a data centre", 400, 31, 0.05},
	}
	const rate = 3000.0
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				d := newDemandTracker(timer.System{})
				interval := demandInterval(tt.members)
				report := func(members int) {
					for i := range members {
						if random.Float64() >= tt.loss {
							d.recordReport(fmt.Sprint(i), "m", rate)
						}
					}
				}
				for range 6 {
					report(tt.members)
					time.Sleep(interval)
				}
				require.InEpsilon(t, rate*float64(tt.members), d.total("m", demandLifetimeIntervals*interval), 0.01)
				for range demandLifetimeIntervals + 1 {
					report(tt.members - tt.lost)
					time.Sleep(interval)
				}
				require.InEpsilon(t, rate*float64(tt.members-tt.lost), d.total("m", demandLifetimeIntervals*interval), 0.01)
				require.Zero(t, d.total("other", demandLifetimeIntervals*interval))
			})
		})
	}
}
