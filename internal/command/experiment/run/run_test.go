package run

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

// execute runs the command on a scenario file and returns its standard output.
func execute(scenario string, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := NewCmdRun(maker.New(&streamer.IOStreams{Out: &out, Err: io.Discard}, "test"), nil)
	cmd.SetArgs(append([]string{scenario}, args...))
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.Execute()
	return out.String(), err
}

func TestRun(t *testing.T) {
	example, err := os.ReadFile(filepath.Join("..", "..", "..", "..", "docs", "examples", "experiments", "calm.yaml"))
	require.NoError(t, err)
	short := strings.NewReplacer("seeds: [1, 2, 3]", "seeds: [1]", "length: 34s", "length: 2s", ", least-outstanding", "").Replace(string(example))
	path := filepath.Join(t.TempDir(), "short.yaml")
	require.NoError(t, os.WriteFile(path, []byte(short), 0o600))
	page := filepath.Join(t.TempDir(), "report.html")
	out, err := execute(path, "--page", page, "--json", "policy,served")
	require.NoError(t, err)
	require.Contains(t, out, `"policy": "product"`)
	written, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(written), "<svg")

	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(short, "layers: 80", "layers: many", 1)), 0o600))
	_, err = execute(path)
	require.ErrorContains(t, err, "line")
	_, err = execute(path + ".none")
	require.Error(t, err)
}
