package printer

import (
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

func newListing() Listing {
	return Listing{
		Fields: []string{"name", "state", "address"},
		Hidden: []string{"address"},
		Empty:  "nothing here",
		Rows: []Row{
			{"name": "a", "state": "live", "address": "10.0.0.1:1"},
			{"name": "b\tc", "state": nil, "address": "10.0.0.2:1"},
		},
	}
}

func TestPrint(t *testing.T) {
	tests := []struct {
		name   string
		tty    bool
		export Export
		want   string
	}{
		{"table on a terminal", true, Export{}, "NAME  STATE\na     live\nb c   \n"},
		{"tabs elsewhere", false, Export{}, "a\tlive\nb c\t\n"},
		{"json", true, Export{JSON: []string{"name"}}, "[\n  {\n    \"name\": \"a\"\n  },\n  {\n    \"name\": \"b\\tc\"\n  }\n]\n"},
		{"jq", false, Export{JSON: []string{"name", "address"}, JQ: ".[0].address"}, "10.0.0.1:1\n"},
		{"jq with a value that is no text", false, Export{JSON: []string{"name"}, JQ: "length"}, "2\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			io, _, out, _ := streamer.Test()
			require.NoError(t, Print(io.WithTTY(tt.tty), newListing(), tt.export))
			require.Equal(t, tt.want, out.String())
		})
	}
}

func TestPrintEmptyTable(t *testing.T) {
	io, _, out, _ := streamer.Test()
	l := newListing()
	l.Rows = nil
	require.NoError(t, Print(io.WithTTY(true), l, Export{}))
	require.Equal(t, "nothing here\n", out.String())
}

func TestUnknownFieldsAndLoneFilterAreFlagErrors(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"unknown field", []string{"--json", "name,size"}, `unknown field "size" for --json; choose from name, state`},
		{"jq alone", []string{"--jq", "."}, "--jq needs --json"},
		{"good", []string{"--json", "state"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Export
			cmd := &cobra.Command{RunE: func(*cobra.Command, []string) error { return nil }, SilenceErrors: true, SilenceUsage: true}
			AddFlags(cmd, &e, []string{"name", "state"})
			cmd.SetArgs(tt.args)
			err := cmd.Execute()
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.want)
			var flag *exiter.FlagError
			require.ErrorAs(t, err, &flag)
		})
	}
}

func TestInvalidFilterIsAFlagError(t *testing.T) {
	io, _, _, _ := streamer.Test()
	for _, jq := range []string{"[", ".[0].name + 1"} {
		var flag *exiter.FlagError
		require.ErrorAs(t, Print(io, newListing(), Export{JSON: []string{"name"}, JQ: jq}), &flag, jq)
	}
}
