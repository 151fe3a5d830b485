package router

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/selector"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestTheDocumentAcceptedLastNamesTheVersion(t *testing.T) {
	type applied struct {
		name, version, adapter string
		accepted               uint64
	}
	cases := []struct {
		name     string
		applied  []applied
		version  string
		services map[string][]string
		keys     int
	}{
		{"one service", []applied{{"a", "v1", "", 1}}, "v1", map[string][]string{"v1": {"a"}}, 1},
		{"last by name is older", []applied{{"a", "v2", "", 9}, {"b", "v1", "", 4}}, "v2", map[string][]string{"v1": {"b"}, "v2": {"a"}}, 2},
		{"last by name is newer", []applied{{"a", "v2", "", 4}, {"b", "v1", "", 9}}, "v1", map[string][]string{"v1": {"b"}, "v2": {"a"}}, 2},
		{"adapters", []applied{{"b", "v1", "x", 2}, {"a", "v1", "y", 1}}, "v1", map[string][]string{"v1": {"a", "b"}}, 2},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			models := map[string]*wantedModel{}
			for _, a := range tt.applied {
				d := &documenter.Document{Name: a.name, Model: &documenter.Model{Name: "m", Version: a.version, Adapter: a.adapter, Layers: testLayers}}
				addWanted(models, d, a.accepted)
			}
			w := models["m"]
			require.Equal(t, tt.version, w.Model.Version)
			require.Equal(t, tt.services, w.services)
			require.Len(t, w.keys, tt.keys)
		})
	}
}

func TestBoundOfAModelIsThatOfItsBestAdapter(t *testing.T) {
	w := &wantedModel{keys: []selector.Key{{Name: "m", Version: "v1"}, {Name: "m", Version: "v1", Adapter: "x"}}}
	bounds := map[selector.Key]float64{
		{Name: "m", Version: "v1"}:               200,
		{Name: "m", Version: "v1", Adapter: "x"}: 150,
		{Name: "m", Version: "v2", Adapter: "x"}: 30,
	}
	boundOf := func(k selector.Key) float64 { return bounds[k] }
	require.InDelta(t, 200, w.bound("v1", boundOf), 0)
	require.InDelta(t, 30, w.bound("v2", boundOf), 0)
	require.Zero(t, w.bound("v3", boundOf))
}

// TestModelStatusFollowsARollout: every router returns the same status of a rollout, whichever of them plans it.
func TestModelStatusFollowsARollout(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 3, withMemory(fourChains(), 5), func(w *world) {
		w.apply(placedDocument)
		time.Sleep(10 * time.Second)
		for _, d := range w.routers {
			requireSettled(w, d, "v1")
		}
		w.apply(strings.Replace(placedDocument, "version: v1", "version: v2", 1))
		sawChange := false
		for range 240 {
			status := w.modelStatus(w.routers[0])
			require.Equal(w.t, "v2", status.Model.Version)
			sawChange = sawChange || status.Plan != nil && len(status.Plan.Changes) > 0
			if status.Model.Bound >= fleetBound-flowTolerance && len(status.Versions) == 1 {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		require.True(w.t, sawChange, "the status listed a change in progress")
		time.Sleep(5 * time.Second)
		for _, d := range w.routers {
			requireSettled(w, d, "v2")
		}
		_, err := w.operator(w.routers[0]).ModelStatus(context.Background(), connect.NewRequest(&v1.ModelStatusRequest{Name: "other"}))
		require.Equal(w.t, refuser.ModelNotFound, refuser.From(err).Code)
	})
}

func (w *world) modelStatus(d *daemon) *v1.ModelStatusResponse {
	resp, err := w.operator(d).ModelStatus(context.Background(), connect.NewRequest(&v1.ModelStatusRequest{Name: "m"}))
	require.NoError(w.t, err)
	return resp.Msg
}

// requireSettled requires that a router sees all engines on one version and a fresh plan without changes.
func requireSettled(w *world, d *daemon, version string) {
	status := w.modelStatus(d)
	require.Len(w.t, status.Versions, 1)
	v := status.Versions[0]
	require.Equal(w.t, version, v.Version)
	require.Equal(w.t, []string{"assistant"}, v.Services)
	require.EqualValues(w.t, len(w.engines), v.Targets)
	require.Zero(w.t, v.Loading)
	require.InDelta(w.t, fleetBound, v.Bound, flowTolerance)
	require.NotNil(w.t, status.Plan, status.PlanMissing)
	require.Less(w.t, status.Plan.Age.AsDuration(), 3*placementInterval)
	require.Empty(w.t, status.Plan.Changes)
	require.InDelta(w.t, fleetBound, status.Plan.Bound, flowTolerance)

	list, err := w.operator(d).ListModels(context.Background(), connect.NewRequest(&v1.ListModelsRequest{}))
	require.NoError(w.t, err)
	require.Len(w.t, list.Msg.Models, 1)
	require.Equal(w.t, version, list.Msg.Models[0].Version)
	require.EqualValues(w.t, len(w.engines), list.Msg.Models[0].Targets)
}
