package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func engineVM(address string, leaving bool) []cataloger.VM {
	return []cataloger.VM{{
		Name:       "vm",
		DataCentre: "dc00",
		Role:       cataloger.RoleTarget,
		Leaving:    leaving,
		Targets:    []cataloger.Target{{Name: "t", Address: address, Type: cataloger.TypeEngine}},
	}}
}

// targetOf returns the address and state of the target in a node's view; both are empty where it is not there.
func targetOf(nd *node) (string, cataloger.State) {
	for _, t := range nd.m.Fleet(func(time.Duration) time.Time { return time.Time{} }).Targets {
		return t.Address, t.State
	}
	return "", ""
}

func TestTargetsFollowListAndReports(t *testing.T) {
	list := func(address string, leaving bool) func(*network) {
		return func(n *network) {
			n.post(n.order[0], n.order[0].m.SetVMs(n.now, engineVM(address, leaving), func(cataloger.VM) string { return "" }))
		}
	}
	empty := func(n *network) {
		n.post(n.order[0], n.order[0].m.SetVMs(n.now, nil, func(cataloger.VM) string { return "" }))
	}
	report := func(i int, r TargetReport) func(*network) {
		return func(n *network) { n.post(n.order[i], n.order[i].m.ReportTarget(n.now, "t", r)) }
	}
	wait := func(d time.Duration) func(*network) { return func(n *network) { n.run(d) } }
	up, down := TargetReport{State: cataloger.StateLive}, TargetReport{State: cataloger.StateDead}
	absence := DefaultOptions().TargetAbsence
	tests := []struct {
		name    string
		moves   []func(*network)
		address string
		state   cataloger.State
	}{
		{"listed", []func(*network){list("a", false)}, "a", cataloger.StateJoining},
		{"answers", []func(*network){list("a", false), report(1, up)}, "a", cataloger.StateLive},
		{"marked as leaving by the list", []func(*network){list("a", false), report(1, up), list("a", true)}, "a", cataloger.StateLeaving},
		{"reports itself that it leaves", []func(*network){list("a", false), report(1, TargetReport{State: cataloger.StateLive, Leaving: true})}, "a", cataloger.StateLeaving},
		{"a lagging list does not undo its leaving", []func(*network){list("a", true), list("a", false), report(1, up)}, "a", cataloger.StateLeaving},
		{"a lagging list does not move it while it answers", []func(*network){list("a", false), report(1, up), list("b", false)}, "a", cataloger.StateLive},
		{"it moves when it does not answer", []func(*network){list("a", false), report(1, down), list("b", false)}, "b", cataloger.StateJoining},
		{"a leaving target that moved is a new one", []func(*network){list("a", true), report(1, down), list("b", false)}, "b", cataloger.StateJoining},
		{"another daemon's report against a recent own probe", []func(*network){list("a", false), report(1, up), report(2, down)}, "a", cataloger.StateLive},
		{"another daemon's report against an old own probe", []func(*network){list("a", false), report(1, up), wait(ownProbePrecedence), report(2, down)}, "a", cataloger.StateDead},
		{"an own probe that fails after one that succeeded", []func(*network){list("a", false), report(1, up), report(1, down)}, "a", cataloger.StateDead},
		{"a leaving mark from a daemon that finds it down", []func(*network){list("a", false), report(1, up), report(2, TargetReport{State: cataloger.StateDead, Leaving: true})}, "a", cataloger.StateLeaving},
		{"missing once", []func(*network){list("a", false), empty}, "a", cataloger.StateJoining},
		{"missing for long", []func(*network){list("a", false), empty, wait(absence), empty}, "", ""},
		{"a lagging list after its removal", []func(*network){list("a", false), empty, wait(absence), empty, list("a", false)}, "", ""},
		{"it returns much later", []func(*network){list("a", true), empty, wait(absence), empty, wait(returnAfterFactor * absence), list("a", false)}, "a", cataloger.StateJoining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(1)
			n.grow(3, 2)
			n.run(5 * time.Second)
			for _, move := range tt.moves {
				move(n)
				n.run(time.Second)
			}
			for _, nd := range n.order {
				address, state := targetOf(nd)
				require.Equal(t, tt.address, address, nd.name)
				require.Equal(t, tt.state, state, nd.name)
			}
		})
	}
}

func TestTargetViewsConvergeAndLeaversStayLeaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(rt, "network"))
		n.grow(4, 2)
		n.run(5 * time.Second)
		left := map[string]map[string]bool{}
		n.onStep = func(nd *node) {
			e := nd.m.targets["t"]
			if e == nil {
				return
			}
			if left[nd.name] == nil {
				left[nd.name] = map[string]bool{}
			}
			switch {
			case e.Removed:
				clear(left[nd.name])
			case e.Leaving:
				left[nd.name][e.Address] = true
			case left[nd.name][e.Address]:
				rt.Fatalf("%s does not have the leaving target at %s as leaving anymore", nd.name, e.Address)
			}
		}
		for range rapid.IntRange(1, 25).Draw(rt, "moves") {
			nd := n.order[rapid.IntRange(0, 3).Draw(rt, "node")]
			n.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "loss")
			switch rapid.IntRange(0, 2).Draw(rt, "move") {
			case 0:
				n.post(nd, nd.m.SetVMs(n.now, engineVM("a", rapid.IntRange(0, 4).Draw(rt, "leaving") == 0), func(cataloger.VM) string { return "" }))
			case 1:
				state := rapid.SampledFrom([]cataloger.State{cataloger.StateLive, cataloger.StateSuspect, cataloger.StateDead}).Draw(rt, "state")
				n.post(nd, nd.m.ReportTarget(n.now, "t", TargetReport{State: state}))
			}
			n.run(time.Duration(rapid.IntRange(0, 5).Draw(rt, "wait")) * 100 * time.Millisecond)
		}
		n.loss = 0
		n.run(20 * time.Second)
		address, state := targetOf(n.order[0])
		for _, nd := range n.order {
			a, s := targetOf(nd)
			if a != address || s != state || nd.m.Digest() != n.order[0].m.Digest() {
				rt.Fatalf("%s sees %s as %s, %s sees %s as %s", n.order[0].name, address, state, nd.name, a, s)
			}
		}
	})
}
