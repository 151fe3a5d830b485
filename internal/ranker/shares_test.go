package ranker

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sharesFleet is a fleet of gateways that exchange the demand of workspaces every 150 ms.
type sharesFleet struct {
	now      time.Time
	gateways []*Shares
	next     int
}

func newSharesFleet(size int) *sharesFleet {
	f := &sharesFleet{now: time.Unix(1000, 0)}
	for range size {
		f.gateways = append(f.gateways, &Shares{})
	}
	return f
}

// run sends requests of workspaces, a number in each 150 ms, to the gateways in turn.
func (f *sharesFleet) run(d time.Duration, requests map[string]int) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(150 * time.Millisecond)
		for _, workspace := range slices.Sorted(maps.Keys(requests)) {
			for range requests[workspace] {
				f.gateways[f.next%len(f.gateways)].Record("llm", workspace, 1000, f.now)
				f.next++
			}
		}
		sums := map[uint32]float64{}
		for _, g := range f.gateways {
			for key, rate := range g.Rates(f.now) {
				sums[key] += rate
			}
		}
		for _, g := range f.gateways {
			others, own := map[uint32]float64{}, g.Rates(f.now)
			for key, rate := range sums {
				others[key] = rate - own[key]
			}
			g.SetOthers(others, f.now)
		}
	}
}

// One workspace of several asks for many times its share. Most of its demand counts as beyond it on every gateway that it asks, none of
// the others' does, and a large workspace is not beyond its share for being large.
func TestOneWorkspaceSurges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newSharesFleet(rapid.IntRange(1, 30).Draw(rt, "gateways"))
		requests := map[string]int{"large": 12}
		for i := range rapid.IntRange(4, 12).Draw(rt, "small workspaces") {
			requests[fmt.Sprint("small", i)] = 2
		}
		f.run(40*time.Second, requests)
		for _, g := range f.gateways {
			for workspace := range requests {
				require.Zero(rt, g.Beyond("llm", workspace, f.now), workspace)
			}
		}
		requests["small0"] = 40
		f.run(5*time.Second, requests)
		for _, g := range f.gateways {
			require.Greater(rt, g.Beyond("llm", "small0", f.now), 0.4)
			require.Zero(rt, g.Beyond("llm", "small1", f.now))
			require.Zero(rt, g.Beyond("llm", "large", f.now))
		}
	})
}

// Everybody asks for more at a time, as in a burst of all: nobody is beyond their share. A workspace that is new is not either.
func TestBurstOfAllIsNobodysSurge(t *testing.T) {
	f := newSharesFleet(9)
	f.run(30*time.Second, map[string]int{"a": 3, "b": 3, "c": 6})
	f.run(6*time.Second, map[string]int{"a": 9, "b": 9, "c": 18})
	f.run(2*time.Second, map[string]int{"a": 9, "b": 9, "c": 18, "new": 30})
	for _, g := range f.gateways {
		for _, workspace := range []string{"a", "b", "c", "new", "unknown"} {
			require.Zero(t, g.Beyond("llm", workspace, f.now), workspace)
		}
	}
}

// The workspaces that are kept are bounded, whatever keys callers use.
func TestWorkspacesAreBounded(t *testing.T) {
	s, now := &Shares{}, time.Unix(1000, 0)
	for i := range maxDemands + 100 {
		s.Record("llm", fmt.Sprint(i), 1, now.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, s.demands, maxDemands)
}
