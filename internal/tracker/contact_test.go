package tracker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// TestAbsentAddressesAreContactedInTurn guards against a daemon that is found late, as others happen to try addresses at which nobody
// listens.
func TestAbsentAddressesAreContactedInTurn(t *testing.T) {
	const seeds = 5
	for seed := range uint64(100) {
		var addresses []string
		for i := range seeds {
			addresses = append(addresses, fmt.Sprint("seed-", i))
		}
		m := NewMachine(Options{}, cataloger.Member{Name: "self", PeerAddress: "self"}, 1, addresses, rand.New(rand.NewPCG(seed, 1)), 0)
		m.synced = true
		now, last := time.Duration(0), map[string]time.Duration{}
		for ; now < time.Minute; now += m.options.TickInterval {
			for _, message := range m.Tick(now) {
				last[message.To] = now
			}
			for _, address := range addresses {
				require.LessOrEqual(t, now-last[address], seeds*(m.options.ContactInterval+m.options.TickInterval), "seed %d, %s", seed, address)
			}
		}
	}
}
