package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangeIsAppliedThoughSomeWatchesAreSilent guards against a gateway that uses a removed target or an old configuration over the
// bound, as its own watches are silent while those of the lease holder, whose writes show missed changes, are not.
func TestChangeIsAppliedThoughSomeWatchesAreSilent(t *testing.T) {
	const gateways = 4
	for subset := 1; subset < 1<<gateways; subset++ {
		t.Run(fmt.Sprintf("%04b", subset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, gateways)
				f.writeTarget("gone")
				time.Sleep(5 * time.Second)
				require.Equal(t, gateways, f.listing("gone"), "the fleet has started")
				for i, g := range f.all {
					if subset&(1<<i) != 0 {
						f.silenceWatchesOf(g)
					}
				}
				f.writeConfig(2)
				f.removeTarget("gone")
				time.Sleep(drainTime)
				require.Zero(t, f.listing("gone"))
				require.Zero(t, f.behind(2))
			})
		})
	}
}

// TestChangeIsInForceThoughOpenConnectionsAreSilent guards against gateways that follow an old configuration over the bound, as the
// connections to the peers that they follow went silent together with those to the store, and they heard of it by random updates only.
func TestChangeIsInForceThoughOpenConnectionsAreSilent(t *testing.T) {
	for _, n := range []int{8, 31, 118} {
		// The time until the next write of the lease holder varies.
		for offset := range 4 {
			t.Run(fmt.Sprint(n, " ", offset), func(t *testing.T) {
				if n > 8 && raced {
					t.Skip("CI plays larger fleets without the race detector")
				}
				synctest.Test(t, func(t *testing.T) {
					f := newServingFleet(t, n)
					time.Sleep(time.Duration(offset) * leaseDuration / 3 / 4)
					f.silenceWatches()
					f.silencePeers()
					time.Sleep(time.Second)
					f.writeConfig(2)
					time.Sleep(applyBounds[n])
					require.Zero(t, f.behind(2), "in force on all within %s", applyBounds[n])
				})
			})
		}
	}
}
