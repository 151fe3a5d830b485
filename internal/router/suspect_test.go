package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestSuspectCutOff(t *testing.T) {
	const live, suspect, leaving, dead = cataloger.StateLive, cataloger.StateSuspect, cataloger.StateLeaving, cataloger.StateDead
	self := cataloger.Member{Name: "a1", DataCentre: "a", State: live}
	tests := []struct {
		name    string
		members map[string]cataloger.State
		want    cataloger.State
	}{
		{"reached", map[string]cataloger.State{"a2": live, "b1": live, "b2": suspect}, live},
		{"reached while leaving", map[string]cataloger.State{"a2": live, "b1": leaving}, live},
		{"none reached", map[string]cataloger.State{"a2": live, "b1": suspect, "b2": dead}, suspect},
		{"no daemon tracked there", map[string]cataloger.State{"a2": live}, live},
		{"cut off itself", map[string]cataloger.State{"a2": suspect, "b1": suspect}, live},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := cataloger.Fleet{
				Members: []cataloger.Member{self},
				Targets: []cataloger.Target{
					{Name: "near", DataCentre: "a", State: live},
					{Name: "far", DataCentre: "b", State: live},
					{Name: "far-dead", DataCentre: "b", State: dead},
				},
			}
			for name, state := range tt.members {
				fleet.Members = append(fleet.Members, cataloger.Member{Name: name, DataCentre: cataloger.DataCentre(name[:1]), State: state})
			}
			got := suspectCutOff(fleet, self)
			require.Equal(t, live, got.Targets[0].State)
			require.Equal(t, tt.want, got.Targets[1].State)
			require.Equal(t, dead, got.Targets[2].State)
			require.Equal(t, live, fleet.Targets[1].State, "the original fleet is unchanged")
		})
	}
}

func TestIsolated(t *testing.T) {
	self := cataloger.Member{Name: "self", State: cataloger.StateLive}
	member := func(state cataloger.State) cataloger.Member { return cataloger.Member{Name: "other", State: state} }
	cases := []struct {
		name    string
		members []cataloger.Member
		want    bool
	}{
		{"alone in the fleet", []cataloger.Member{self}, false},
		{"another one is live", []cataloger.Member{self, member(cataloger.StateLive)}, false},
		{"another one leaves", []cataloger.Member{self, member(cataloger.StateLeaving)}, false},
		{"all others are suspect", []cataloger.Member{self, member(cataloger.StateSuspect)}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, isolated(cataloger.Fleet{Members: c.members}, self))
		})
	}
}
