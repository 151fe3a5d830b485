package checksettings

import (
	"bytes"
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

func TestErrorNamesEveryInvalidField(t *testing.T) {
	path := t.TempDir() + "/settings.toml"
	require.NoError(t, os.WriteFile(path, []byte("node_name = \"a-1\"\nip = \"10.0.0.1\"\nzone = \"a\"\ninternal_port_range = [1,2]\n"+
		"[listen]\nfront = \"10.0.0.1:1\"\nready = \"here\"\n[bounds]\ngrace_s = 8\n"), 0o600))
	var out bytes.Buffer
	cmd := NewCmdCheckSettings(maker.New(&streamer.IOStreams{Out: &out, Err: io.Discard}, "test"), nil)
	cmd.SetArgs([]string{path})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.Execute()
	for _, field := range []string{"listen.ready", "listen.directory", "platform.address", "budget_window_s"} {
		require.ErrorContains(t, err, field)
	}
	require.NotContains(t, err.Error(), "listen.front")
}
