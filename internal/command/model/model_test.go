package model_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/model"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// fakeOperator returns the status of one model.
type fakeOperator struct {
	rattantrayv1connect.OperatorServiceClient
	status *v1.ModelStatusResponse
}

func (f fakeOperator) ListModels(context.Context, *connect.Request[v1.ListModelsRequest]) (*connect.Response[v1.ListModelsResponse], error) {
	return connect.NewResponse(&v1.ListModelsResponse{Models: []*v1.ModelInfo{f.status.Model}}), nil
}

func (f fakeOperator) ModelStatus(context.Context, *connect.Request[v1.ModelStatusRequest]) (*connect.Response[v1.ModelStatusResponse], error) {
	return connect.NewResponse(f.status), nil
}

func rolloutStatus() *v1.ModelStatusResponse {
	return &v1.ModelStatusResponse{
		Model: &v1.ModelInfo{Name: "m", Version: "v2", Layers: 8, Services: []string{"a", "b"}, Targets: 2, Bound: 33.333},
		Versions: []*v1.ModelVersion{
			{Version: "v1", Services: []string{"b"}, Targets: 6, Bound: 150},
			{Version: "v2", Services: []string{"a"}, Targets: 2, Loading: 1, Bound: 33.333},
		},
		Plan: &v1.ModelPlan{
			Member: "router-2", Age: durationpb.New(420 * time.Millisecond), Bound: 183.333, Upper: 200, Offered: 75,
			Blocked: "a change on e-4 would take the bound from 80 to 40",
			Changes: []*v1.ModelChange{{Target: "e-3", Kind: "load", Version: "v2", FirstLayer: 4, EndLayer: 8, Bytes: 4096, Outcome: "accepted"}},
		},
	}
}

func TestModel(t *testing.T) {
	withoutPlan := rolloutStatus()
	withoutPlan.Plan, withoutPlan.PlanMissing = nil, "the planner router-2 gave no answer"
	tests := []struct {
		name     string
		args     []string
		status   *v1.ModelStatusResponse
		out, err string
	}{
		{name: "list", args: []string{"list"}, status: rolloutStatus(), out: "m\tv2\t8\t2\t33.3\ta,b\n"},
		{
			name: "status", args: []string{"status", "m"}, status: rolloutStatus(),
			out: "m: version v2 wanted, 8 layers\n" +
				"services name versions v1, v2; the one accepted last counts\n" +
				"planned by router-2 400ms ago: bound 183.3 of at most 200 tokens/s, 75 to be kept free for the load\n" +
				"1 changes under way; 'rattantray model changes m' lists them\n" +
				"waiting: a change on e-4 would take the bound from 80 to 40\n" +
				"v1\tfalse\t6\t0\t150\tb\nv2\ttrue\t2\t1\t33.3\ta\n",
		},
		{
			name: "status without a plan", args: []string{"status", "m"}, status: withoutPlan,
			out: "no plan: the planner router-2 gave no answer\n",
		},
		{
			name: "status as JSON", args: []string{"status", "m", "--json", "version,loading", "--jq", ".[1].loading"}, status: rolloutStatus(),
			out: "1\n",
		},
		{name: "changes", args: []string{"changes", "m"}, status: rolloutStatus(), out: "e-3\tload\tv2\t4-8\t4096\taccepted\n"},
		{name: "changes without a plan", args: []string{"changes", "m"}, status: withoutPlan, err: "no plan of m: the planner router-2 gave no answer"},
		{name: "no model", args: []string{"status"}, status: rolloutStatus(), err: "missing argument: model"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			io, _, out, _ := streamer.Test()
			f := maker.New(io, "test")
			f.Operator = func() (rattantrayv1connect.OperatorServiceClient, error) { return fakeOperator{status: tt.status}, nil }
			cmd := model.NewCmdModel(f)
			cmd.SetArgs(tt.args)
			cmd.SilenceErrors, cmd.SilenceUsage = true, true
			err := cmd.ExecuteContext(t.Context())
			if tt.err != "" {
				require.ErrorContains(t, err, tt.err)
				return
			}
			require.NoError(t, err)
			require.Contains(t, out.String(), tt.out)
		})
	}
}
