package orderer

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTargetWithTooManyLayersHidesNoGap guards against layers that are held nowhere, as an entry of another writer names a target that
// holds more layers than the model has.
func TestTargetWithTooManyLayersHidesNoGap(t *testing.T) {
	for _, end := range []uint32{testEngine.Layers + 1, 1 << 20, math.MaxUint32} {
		synctest.Test(t, func(t *testing.T) {
			e := newFakeFleet("a", "b")
			e.put("odd", 0, end)
			start(t, e)
			time.Sleep(settleTime + 10*time.Second)
			require.ElementsMatch(t, []string{"a 0-6", "b 6-12"}, e.orders(), "layers 0 to %d", end)
		})
	}
}
