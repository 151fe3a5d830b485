package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestMembersFindEachOther(t *testing.T) {
	for _, size := range []int{1, 2, 4, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(1)
			n.grow(size, 3)
			n.run(10 * time.Second)
			for _, nd := range n.order {
				require.Len(t, Live(nd.m.Fleet(func(time.Duration) time.Time { return time.Time{} }).Members), size, nd.name)
				require.Equal(t, n.order[0].m.Digest(), nd.m.Digest())
			}
		})
	}
}

func TestSuddenLossIsNotNamedWithinTwoSeconds(t *testing.T) {
	for _, size := range []int{3, 4, 12, 40} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d/%d", size, seed), func(t *testing.T) {
				n := newNetwork(seed + 1)
				n.grow(size, 3)
				n.run(10 * time.Second)
				lost := n.order[size-1]
				lost.alive = false
				n.run(2 * time.Second)
				require.Zero(t, n.states(lost.name)[cataloger.StateLive])
				n.run(10 * time.Second)
				require.Equal(t, size-1, n.states(lost.name)[cataloger.StateDead])
			})
		}
	}
}
