package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/breaker"
)

// TestOverloadFromTheStart checks the goodput when the load exceeds the capacity of the targets from the start and the
// limit starts far above that capacity, with a known floor.
func TestOverloadFromTheStart(t *testing.T) {
	for _, knee := range []int{4, 8, 16, 64} {
		w := newSimulation(knee)
		var tenants []*tenant
		for i := range 4 {
			tenants = append(tenants, &tenant{
				name: fmt.Sprint("w", i), share: 1, deadline: 8 * time.Second, rate: steady(1.5 * w.capacity() / meanCost / 4),
			})
		}
		limit := breaker.NewLimit(defaultInitialLimit)
		limit.SetFloor(float64(knee))
		w.useFairScheduler(tenants, limit, defaultReserve)
		w.run(tenants, time.Minute)
		t.Logf("knee %2d goodput in the first 30 s %.3f, then %.3f", knee, w.goodput(2, 30), w.goodput(30, 60))
		require.GreaterOrEqual(t, w.goodput(2, 30), 0.9, "knee %d", knee)
		require.GreaterOrEqual(t, w.goodput(30, 60), 0.9, "knee %d", knee)
	}
}
