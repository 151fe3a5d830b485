package apply

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const document = `
format: rattantray/service/v1
name: bookings
owner: tests
type: plain
workspaces: [{name: counter}]
plain: {methods: [{name: POST /bookings}]}
`

// fakeOperator has one stored version and records the applied request.
type fakeOperator struct {
	rattantrayv1connect.OperatorServiceClient
	stored   uint64
	applied  *v1.ApplyRequest
	response *v1.ApplyResponse
}

func (f *fakeOperator) GetService(context.Context, *connect.Request[v1.GetServiceRequest]) (*connect.Response[v1.GetServiceResponse], error) {
	if f.stored == 0 {
		return nil, refuser.New(refuser.ServiceNotFound, "none").Connect()
	}
	return connect.NewResponse(&v1.GetServiceResponse{Service: &v1.ServiceVersion{Name: "bookings", Version: f.stored}}), nil
}

func (f *fakeOperator) Apply(_ context.Context, req *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
	f.applied = req.Msg
	return connect.NewResponse(f.response), nil
}

func TestApply(t *testing.T) {
	accepted := &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Version: 9}
	tests := []struct {
		name     string
		args     []string
		stored   uint64
		response *v1.ApplyResponse
		expected uint64
		code     int
		out, err string
	}{
		{name: "new", response: accepted, out: "accepted version 9\n"},
		{name: "over the newest", stored: 7, response: accepted, expected: 7, out: "accepted version 9\n"},
		{name: "over a named version", args: []string{"--version", "5"}, stored: 7, response: accepted, expected: 5, out: "accepted"},
		{name: "dry run", args: []string{"--dry-run"}, response: accepted, out: "nothing was stored"},
		{
			name:     "refused",
			response: &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_REFUSED, Problems: []*v1.Problem{{Path: "owner", Line: 3, Message: "missing"}}},
			code:     exiter.Error,
			err:      "doc.yaml:3: owner: missing",
		},
		{
			name:     "conflict",
			response: &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_CONFLICT, Version: 8, Difference: "-owner: a\n+owner: b\n"},
			code:     exiter.Conflict,
			err:      "+owner: b",
		},
		{
			name:     "unknown",
			response: &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_UNKNOWN, Message: "no answer"},
			code:     exiter.Uncertain,
			err:      "service view",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			io, _, out, errOut := streamer.Test()
			fake := &fakeOperator{stored: tt.stored, response: tt.response}
			f := maker.New(io, "test")
			f.Operator = func() (rattantrayv1connect.OperatorServiceClient, error) { return fake, nil }
			cmd := NewCmdApply(f, func(ctx context.Context, o *Options) error {
				o.ReadFile = func(string) ([]byte, error) { return []byte(document), nil }
				return run(ctx, o)
			})
			cmd.SilenceErrors = true
			cmd.SilenceUsage = true
			cmd.SetArgs(append([]string{"-f", "doc.yaml"}, tt.args...))
			err := cmd.ExecuteContext(t.Context())
			require.Equal(t, tt.code, exiter.Report(errOut, cmd, err))
			require.Contains(t, out.String(), tt.out)
			require.Contains(t, errOut.String(), tt.err)
			require.Equal(t, tt.expected, fake.applied.GetExpectedVersion())
		})
	}
}

func TestApplyNeedsAFile(t *testing.T) {
	io, _, _, errOut := streamer.Test()
	cmd := NewCmdApply(maker.New(io, "test"), nil)
	cmd.SilenceErrors = true
	cmd.SilenceUsage = true
	cmd.SetArgs(nil)
	require.Equal(t, exiter.Usage, exiter.Report(errOut, cmd, cmd.ExecuteContext(t.Context())))
}
