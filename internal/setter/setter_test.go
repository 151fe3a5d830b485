package setter

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
)

func setEnvironment(t *testing.T, lines ...string) {
	t.Helper()
	old := Environ
	Environ = func() []string { return lines }
	t.Cleanup(func() { Environ = old })
}

func newFlags() (*pflag.FlagSet, *time.Duration, *string) {
	set := pflag.NewFlagSet("test", pflag.ContinueOnError)
	return set, set.Duration("drain-timeout", time.Minute, ""), set.String("peer-secret", "", "")
}

func TestBindReadsTheEnvironmentWhereNoFlagIsSet(t *testing.T) {
	setEnvironment(t, "RATTANTRAY_DRAIN_TIMEOUT=5s", "RATTANTRAY_PEER_SECRET=from-env", "HOME=/")
	set, timeout, secret := newFlags()
	require.NoError(t, set.Parse([]string{"--peer-secret", "from-flag"}))
	require.NoError(t, BindEnvironment(set))
	require.Equal(t, 5*time.Second, *timeout)
	require.Equal(t, "from-flag", *secret)
}

func TestBindReportsTheVariableOfABadValue(t *testing.T) {
	setEnvironment(t, "RATTANTRAY_DRAIN_TIMEOUT=soon")
	set, _, _ := newFlags()
	err := BindEnvironment(set)
	require.EqualError(t, err, `setting RATTANTRAY_DRAIN_TIMEOUT: "soon" is not accepted: want a duration, as 1m30s`)
	require.True(t, IsBadSetting(err))
}

func TestUnknownVariablesListsUnreadVariables(t *testing.T) {
	setEnvironment(t, "RATTANTRAY_DRAIN_TIMEOUT=5s", "RATTANTRAY_PEER_SECRTE=x", "OTHER=1")
	set, _, _ := newFlags()
	require.Equal(t, []string{"RATTANTRAY_PEER_SECRTE"}, UnknownVariables(set))
}

func TestLogMasksSecrets(t *testing.T) {
	set, _, _ := newFlags()
	require.NoError(t, set.Parse([]string{"--peer-secret", "hidden"}))
	var out bytes.Buffer
	LogSettings(zerolog.New(&out), set, "peer-secret")
	require.Contains(t, out.String(), `"peer-secret":"(set)"`)
	require.Contains(t, out.String(), `"drain-timeout":"1m0s"`)
	require.NotContains(t, out.String(), "hidden")
}
