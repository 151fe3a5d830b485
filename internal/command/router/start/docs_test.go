package start

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/router"
	"github.com/rattantray/rattantray/internal/setter"
)

const docsPath = "../../../../docs/settings.md"

var update = flag.Bool("update", false, "rewrite docs/settings.md from the flags")

const docsHead = `# Settings

` + "`rattantray router start`" + ` takes each setting as a flag or as an environment
variable; the flag goes first. A value that is not accepted ends the program
with exit code 2 and a message that names the setting, the value and what is
accepted. The effective settings are logged once at the start, secrets masked.
Variables that begin with RATTANTRAY_ and that no flag reads are warned about.

| flag | variable | default | meaning |
| --- | --- | --- | --- |
`

func renderDocs(flags *pflag.FlagSet) string {
	var b strings.Builder
	b.WriteString(docsHead)
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" {
			return
		}
		_, usage := pflag.UnquoteUsage(f)
		value := f.DefValue
		if value == "" || value == "[]" {
			value = "-"
		}
		fmt.Fprintf(&b, "| --%s | %s | %s | %s |\n", f.Name, setter.VariableName(f.Name), value, usage)
	})
	return b.String()
}

func TestDocsAgreeWithTheFlags(t *testing.T) {
	io, _, _, _ := streamer.Test()
	cmd := NewCmdStart(maker.New(io, "test"), nil)
	want := renderDocs(cmd.Flags())
	if *update {
		require.NoError(t, os.WriteFile(docsPath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(docsPath)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run: go test ./internal/command/router/start -run TestDocs -update")
}

func TestStartRejectsInvalidSettings(t *testing.T) {
	valid := []string{"--data-centre", "kochi", "--insecure-peers"}
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no data centre", []string{"--insecure-peers"}, `setting --data-centre: "" is not accepted: want a value that is not empty`},
		{"host name", append(valid, "--listen", "localhost:80"), `setting --listen: "localhost:80" is not accepted: want an IP address and a port`},
		{"no port", append(valid, "--platform", "10.0.0.1"), `setting --platform: "10.0.0.1" is not accepted`},
		{"negative time", append(valid, "--drain-timeout", "-1s"), `setting --drain-timeout: "-1s" is not accepted: want a value above 0`},
		{"long time to live", append(valid, "--resolve-ttl", "1h"), `want at most 1m0s`},
		{"level", append(valid, "--log-level", "loud"), `setting --log-level: "loud" is not accepted: want one of debug, info, warn, error`},
		{"certificate without a key", append(valid, "--tls-cert", "a.pem"), `want --tls-cert and --tls-key together`},
		{"no peer security", []string{"--data-centre", "kochi"}, `setting --peer-ca: ""`},
		{"short resume key", append(valid, "--resume-key", "abcd"), `at least 32 hexadecimal digits`},
		{"peer address", append(valid, "--peer", "10.0.0.1"), `setting --peer: "10.0.0.1"`},
		{"every interface", append(valid, "--listen", "0.0.0.0:7070"), `setting --advertise: "0.0.0.0:7070" is not accepted`},
		{"argument", append(valid, "now"), `unknown argument "now"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			io, _, _, errOut := streamer.Test()
			cmd := NewCmdStart(maker.New(io, "test"), func(context.Context, *Options) error { return nil })
			cmd.SilenceErrors = true
			cmd.SilenceUsage = true
			cmd.SetArgs(tt.args)
			err := cmd.ExecuteContext(t.Context())
			require.ErrorContains(t, err, tt.want)
			require.Equal(t, exiter.Usage, exiter.Report(errOut, cmd, err))
		})
	}
}

func TestStartAcceptsValidSettings(t *testing.T) {
	io, _, _, _ := streamer.Test()
	var got router.Settings
	cmd := NewCmdStart(maker.New(io, "test"), func(_ context.Context, o *Options) error {
		got = o.Settings
		return nil
	})
	cmd.SetArgs([]string{"--data-centre", "kochi", "--peer-secret", "s3cret", "--listen", "10.0.0.5:7070", "--peer", "10.0.0.6:7071,10.0.0.7:7071"})
	require.NoError(t, cmd.ExecuteContext(t.Context()))
	require.Equal(t, []string{"10.0.0.6:7071", "10.0.0.7:7071"}, got.Peers)
	require.Equal(t, "10.0.0.5:7070", got.WithDefaults().Name)
	require.Equal(t, "test", got.Release)
}
