package prober

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// The watches must match the owners of each target, computed again for every view.
func TestAssignmentFollowsEachView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(24, 60)
		p := &Prober{Self: "r001", Fleet: func() cataloger.Fleet { return fleet }}
		p.init()
		states := []cataloger.State{cataloger.StateLive, cataloger.StateSuspect, cataloger.StateLeaving}
		t.Repeat(map[string]func(*rapid.T){
			"member": func(t *rapid.T) {
				fleet.Members = slices.Clone(fleet.Members)
				m := &fleet.Members[rapid.IntRange(0, len(fleet.Members)-1).Draw(t, "member")]
				m.State = rapid.SampledFrom(states).Draw(t, "state")
				m.PeerAddress = fmt.Sprint(m.Name, "/", rapid.IntRange(0, 1).Draw(t, "address"))
				m.Load += 0.1
			},
			"target": func(t *rapid.T) {
				fleet.Targets = slices.Clone(fleet.Targets)
				target := &fleet.Targets[rapid.IntRange(0, len(fleet.Targets)-1).Draw(t, "target")]
				target.State = rapid.SampledFrom(states).Draw(t, "state")
				target.Address = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "address"))
			},
			"target goes": func(t *rapid.T) {
				if len(fleet.Targets) > 1 {
					fleet.Targets = fleet.Targets[:len(fleet.Targets)-1]
				}
			},
			"": func(t *rapid.T) {
				p.updateWatches(p.Clock.Now())
				mine := 0
				for _, target := range fleet.Targets {
					owners := Owners(fleet.Members, target)
					if len(owners) == 0 || owners[0].Name != p.Self {
						continue
					}
					mine++
					require.Contains(t, p.watches, target.Name)
					require.Equal(t, target, p.watches[target.Name].target)
					if len(owners) > 1 {
						require.Equal(t, owners[1].PeerAddress, p.watches[target.Name].second.PeerAddress)
					}
				}
				require.Len(t, p.watches, mine)
			},
		})
	})
}
