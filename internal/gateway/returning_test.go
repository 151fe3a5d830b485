package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReturningGatewayDropsWhatWasRemoved guards against a gateway that uses removed targets, as the store had turned it alone away: it
// took them for ones whose entries lapsed in an outage.
func TestReturningGatewayDropsWhatWasRemoved(t *testing.T) {
	// A gateway is only held to the bound once it has been in touch for this long.
	const contact, targets = 3 * time.Second, 12
	for _, n := range []int{4, 31} {
		for offset := range 8 {
			t.Run(fmt.Sprint(n, " ", offset), func(t *testing.T) {
				if n > 4 && raced {
					t.Skip("larger fleets run without the race detector")
				}
				synctest.Test(t, func(t *testing.T) {
					f := newBoundedFleet(t, n, drainTime)
					for i := range targets {
						f.writeTarget(fmt.Sprint("gone-", i))
					}
					time.Sleep(5 * time.Second)
					away := f.watchers(false)[:1]
					f.turnAway(away)
					// A change that it misses makes it notice.
					f.writeTarget("came")
					time.Sleep(9*time.Second + time.Duration(offset)*200*time.Millisecond)
					f.readmit(away)
					back := time.Now()
					removed := map[string]time.Time{}
					for next := 0; time.Since(back) < 8*time.Second; time.Sleep(50 * time.Millisecond) {
						if next < targets && time.Since(back) >= time.Duration(next+1)*200*time.Millisecond {
							name := fmt.Sprint("gone-", next)
							f.removeTarget(name)
							removed[name] = time.Now()
							next++
						}
						for name, at := range removed {
							if time.Since(back) > contact && time.Since(at) > drainTime {
								require.Zero(t, f.listing(name), "%s, %s after its removal", name, time.Since(at))
							}
						}
					}
				})
			})
		}
	}
}

// TestLapsedTargetsAreKeptThroughAnOutage guards against targets that are dropped, as their entries lapsed in an outage of the store. The
// calls that gateways make in it fail, or are answered after it.
func TestLapsedTargetsAreKeptThroughAnOutage(t *testing.T) {
	const n = 8
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second} {
		for offset := range 48 {
			t.Run(fmt.Sprint(bound, " ", offset), func(t *testing.T) {
				if offset%8 > 0 && raced {
					t.Skip("some of the cases run with the race detector")
				}
				synctest.Test(t, func(t *testing.T) {
					f := newBoundedFleet(t, n, bound)
					f.answersLate = offset%4 > 0
					// The time until the next write of the lease holder varies, and the outage takes two renewals and more.
					time.Sleep(time.Duration(offset%12) * 55 * time.Millisecond)
					f.turnAway(f.all)
					time.Sleep(2*renewal + time.Duration(offset/4)*160*time.Millisecond)
					f.removeTarget("stays")
					f.readmit(f.all)
					// The owner writes its entry again within the return window.
					for range 20 {
						time.Sleep(95 * time.Millisecond)
						require.Equal(t, n, f.listing("stays"))
					}
					f.writeTarget("stays")
					time.Sleep(5 * time.Second)
					require.Equal(t, n, f.listing("stays"))
				})
			})
		}
	}
}
