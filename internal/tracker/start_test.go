package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// startSlowly starts all nodes of a fleet simultaneously on a network that drops the messages between two nodes for the time
// opening after the first one, as while a connection is being opened.
func startSlowly(size int, opening time.Duration) *network {
	n := newNetwork(3)
	n.grow(size, dataCentresFor(size))
	firstAttempts := map[[2]string]time.Duration{}
	n.blocked = func(from, to *node) bool {
		pair := [2]string{from.name, to.name}
		if _, ok := firstAttempts[pair]; !ok {
			firstAttempts[pair] = n.now
		}
		return n.now-firstAttempts[pair] < opening
	}
	return n
}

func TestSlowConnectionsAtStartCauseNoSuspicion(t *testing.T) {
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

// The grace at the start must not delay the detection of members that have sent a message before.
func TestLossSoonAfterStartIsDetected(t *testing.T) {
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
