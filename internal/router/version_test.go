package router

import (
	"io"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestPickVersion(t *testing.T) {
	wanted := selector.Model{Name: "m", Version: "v2", Layers: 8}
	tests := []struct {
		name    string
		bounds  map[string]float64
		current string
		draw    float64
		want    string
	}{
		{"only the old version runs", map[string]float64{"v1": 10}, "", 0.99, "v1"},
		{"by share, low", map[string]float64{"v1": 30, "v2": 10}, "", 0.7, "v1"},
		{"by share, high", map[string]float64{"v1": 30, "v2": 10}, "", 0.8, "v2"},
		{"an answer keeps its version", map[string]float64{"v1": 1, "v2": 99}, "v1", 0.9, "v1"},
		{"its version is gone", map[string]float64{"v2": 99}, "v1", 0.9, "v2"},
		{"no version runs", nil, "", 0.5, "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bound := func(k selector.Key) float64 { return tt.bounds[k.Version] }
			require.Equal(t, tt.want, pickVersion(wanted, tt.current, []string{"v1", "v2"}, bound, tt.draw))
		})
	}
}

func TestModelVersionsIncludesHeldVersions(t *testing.T) {
	documents := []*documenter.Document{
		{Model: &documenter.Model{Name: "m", Version: "v2", Layers: 8}},
		{Model: &documenter.Model{Name: "m", Version: "v2", Layers: 8}},
		{Plain: &documenter.Plain{}},
	}
	fleet := cataloger.Fleet{Targets: []cataloger.Target{
		{Holdings: []cataloger.Holding{{Model: "m", Version: "v1"}, {Model: "m", Version: "v2"}}},
		{Holdings: []cataloger.Holding{{Model: "other", Version: "v9"}}},
	}}
	got := modelVersions(documents, heldVersions(fleet))
	require.Len(t, got, 2)
	require.Equal(t, "v2", got[0].Version)
	require.Equal(t, "v1", got[1].Version)
}

// TestRemovedVersionIsReplaced guards against requests that fail in a rollout, as all engines have removed the version that this
// daemon still lists, and a stage behind the first one refused it.
func TestRemovedVersionIsReplaced(t *testing.T) {
	refusedBy := func(code connect.Code) error {
		return engineer.WithFailedTarget(connect.NewError(code, errors.New("refused")), "engine-8")
	}
	notHeld := refusedBy(connect.CodeFailedPrecondition)
	for name, c := range map[string]struct {
		refusal *refuser.Refusal
		want    bool
	}{
		"no chain is listed":              {refuser.New(refuser.NoPipeline, ""), true},
		"refused by first stages":         {refuser.New(refuser.AttemptsExhausted, "").WithFact(refuser.FactNotRun), true},
		"not held by later stages":        {refuser.New(refuser.AttemptsExhausted, "").WithFact(refuser.FactMayHaveRun).WithCause(notHeld), true},
		"not held, no retry is left":      {refuser.New(refuser.RetryBudgetSpent, "").WithFact(refuser.FactMayHaveRun).WithCause(notHeld), true},
		"later stages are full":           {refuser.New(refuser.AttemptsExhausted, "").WithFact(refuser.FactMayHaveRun).WithCause(refusedBy(connect.CodeResourceExhausted)), false},
		"streams broke":                   {refuser.New(refuser.AttemptsExhausted, "").WithFact(refuser.FactMayHaveRun).WithCause(io.EOF), false},
		"the deadline passed":             {refuser.New(refuser.DeadlineExceeded, "").WithCause(notHeld), false},
		"a precondition of another party": {refuser.New(refuser.AttemptsExhausted, "").WithFact(refuser.FactMayHaveRun).WithCause(connect.NewError(connect.CodeFailedPrecondition, nil)), false},
	} {
		require.Equal(t, c.want, noChainLeft(c.refusal), name)
	}
}

func TestAssignedModel(t *testing.T) {
	models := []string{"a", "b", "c"}
	require.Equal(t, "x", assignedModel(cataloger.Target{Name: "t", Holdings: []cataloger.Holding{{Model: "x"}}}, models))
	require.Empty(t, assignedModel(cataloger.Target{Name: "t"}, nil))
	counts := map[string]int{}
	for i := range 300 {
		counts[assignedModel(cataloger.Target{Name: string(rune('A' + i))}, models)]++
	}
	for _, m := range models {
		require.Greater(t, counts[m], 50, "targets without holdings are spread over the models")
	}
}
