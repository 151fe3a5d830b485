package explain

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

const lines = `{"level":"warn","node":"a-1","request":"r1","config":7,"code":"unauthenticated","time":1000,"message":"request refused"}` + "\n"

// execute runs the command and returns its standard output.
func execute(stdin string, args ...string) (string, error) {
	var out bytes.Buffer
	f := maker.New(&streamer.IOStreams{In: io.NopCloser(strings.NewReader(stdin)), Out: &out, Err: io.Discard}, "test")
	cmd := NewCmdExplain(f, nil)
	cmd.SetArgs(args)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.Execute()
	return out.String(), err
}

func TestExplain(t *testing.T) {
	out, err := execute(lines, "r1")
	require.NoError(t, err)
	require.Contains(t, out, "cause: its key is not in version 7 of the configuration")

	path := t.TempDir() + "/a-1.log"
	require.NoError(t, os.WriteFile(path, []byte(lines), 0o600))
	out, err = execute("", "r1", path, "--json", "cause")
	require.NoError(t, err)
	require.Contains(t, out, `"cause"`)

	_, err = execute(lines, "r2")
	require.ErrorContains(t, err, "no line names request r2 (1 lines read, 0 are no log lines)")
	_, err = execute("", "r1", path+".none")
	require.Error(t, err)
	_, err = execute("")
	require.Error(t, err)
}
