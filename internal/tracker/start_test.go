package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// startSlowly lets a fleet start at one moment on a network where a message opens a connection that takes its time.
func startSlowly(size int, opening time.Duration) *network {
	n := newNetwork(3)
	n.grow(size, dataCentresFor(size))
	begun := map[[2]string]time.Duration{}
	n.blocked = func(from, to *node) bool {
		pair := [2]string{from.name, to.name}
		if _, ok := begun[pair]; !ok {
			begun[pair] = n.now
		}
		return n.now-begun[pair] < opening
	}
	return n
}

func TestSlowConnectionsAtTheStartAreNoSilence(t *testing.T) {
	for _, size := range []int{40, 120} {
		n := startSlowly(size, 3*time.Second)
		n.run(25 * time.Second)
		suspicions := uint64(0)
		for _, nd := range n.order {
			suspicions += nd.m.Counts().Suspicions
			require.Equal(t, map[cataloger.State]int{cataloger.StateLive: size - 1}, n.states(nd.name))
		}
		require.Zero(t, suspicions, size)
	}
}

// The patience at the start is for large fleets, and for members that were never heard.
func TestLossSoonAfterTheStartIsFound(t *testing.T) {
	for _, size := range []int{4, 40, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(3)
			n.grow(size, dataCentresFor(size))
			n.run(4 * time.Second)
			n.order[2].alive = false
			n.run(2 * time.Second)
			require.Zero(t, n.states(n.order[2].name)[cataloger.StateLive])
		})
	}
}
