package exiter

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestReport(t *testing.T) {
	dialErr := &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	tests := []struct {
		name   string
		err    error
		code   int
		output string
	}{
		{"nothing", nil, OK, ""},
		{"cancelled in silence", context.Canceled, Canceled, ""},
		{"already reported", &CodeError{Code: Conflict}, Conflict, ""},
		{"flag", Flagf("--rate must be above 0"), Usage, "See 'rattantray bench --help'."},
		{"plain error", errors.New("disk full"), Error, "error: disk full"},
		{"no router", dialErr, Error, "--router"},
		{"not run", refuser.New(refuser.QueueFull, "full").WithRetryAfter(time.Second), NotRun, "Try again in 1s."},
		{"not run, no time", refuser.New(refuser.QueueFull, "full"), NotRun, "It is safe to try again."},
		{"may have run", refuser.New(refuser.OutcomeUncertain, ""), MayHaveRun, "rattantray request get"},
		{"conflict", refuser.New(refuser.VersionConflict, ""), Conflict, "service view"},
		{"unknown", refuser.New(refuser.ApplyUncertain, ""), Uncertain, "apply-uncertain"},
		{"over the wire", refuser.New(refuser.UnknownService, "x").Connect(), NotRun, "service list"},
	}
	cmd := &cobra.Command{Use: "rattantray"}
	bench := &cobra.Command{Use: "bench"}
	cmd.AddCommand(bench)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, Report(&out, bench, tt.err))
			if tt.output == "" {
				require.Empty(t, out.String())
				return
			}
			require.Contains(t, out.String(), tt.output)
		})
	}
}

func TestArgs(t *testing.T) {
	cmd := &cobra.Command{Use: "view"}
	require.NoError(t, ExactArgs("service")(cmd, []string{"a"}))
	require.ErrorContains(t, ExactArgs("service")(cmd, nil), "missing argument: service")
	require.ErrorContains(t, ExactArgs("service")(cmd, []string{"a", "b"}), `unknown argument "b"`)
	require.ErrorContains(t, NoArgs(cmd, []string{"a"}), `unknown argument "a" for "view"`)
}
