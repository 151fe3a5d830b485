package spawner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/spawner"
)

func TestCloseWaitsForGoroutinesAndRefusesNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g spawner.Group
		var ended atomic.Int64
		for i := range 3 {
			require.True(t, g.Go(func() {
				time.Sleep(time.Duration(i) * time.Second)
				ended.Add(1)
			}))
		}
		g.Close()
		require.EqualValues(t, 3, ended.Load())
		require.False(t, g.Go(func() { ended.Add(1) }))
		synctest.Wait()
		require.EqualValues(t, 3, ended.Load())
	})
}

func TestGoDuringClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g spawner.Group
		var started, ended atomic.Int64
		for range 100 {
			go func() {
				if g.Go(func() { ended.Add(1) }) {
					started.Add(1)
				}
			}()
		}
		g.Close()
		synctest.Wait()
		require.Equal(t, started.Load(), ended.Load())
	})
}
