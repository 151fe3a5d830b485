package refuser

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

func TestConnectRoundTrip(t *testing.T) {
	for _, e := range Table {
		if e.Code == OK {
			continue
		}
		sent := New(e.Code, "why").WithFact(FactMayHaveRun).WithDigest([]byte{1})
		ce := sent.Connect()
		require.Equal(t, e.Connect, ce.Code(), e.Name)
		got := From(error(ce))
		require.Equal(t, sent.Code, got.Code)
		require.Equal(t, sent.Fact, got.Fact)
		require.Equal(t, sent.Digest, got.Digest)
	}
}

func TestTableIsOrderedAndNamed(t *testing.T) {
	names := map[string]bool{}
	last := Code(0)
	for i, e := range Table {
		require.NotEmpty(t, e.Name)
		require.NotEmpty(t, e.Meaning)
		require.False(t, names[e.Name], "two codes named %s", e.Name)
		names[e.Name] = true
		if i > 0 {
			require.Greater(t, e.Code, last)
			require.NotEqual(t, FactUnspecified, e.Fact, e.Name)
		}
		last = e.Code
	}
}

func TestFromForeignError(t *testing.T) {
	got := From(connect.NewError(connect.CodeUnavailable, nil))
	require.Equal(t, Internal, got.Code)
	require.Equal(t, FactMayHaveRun, got.Fact)
	require.Nil(t, From(nil))
}
