package gateway

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// TestOddEntriesPassBetweenGateways guards against entries of other writers that keep gateways from following each other, and against
// targets that stay in use after their entries no longer name any.
func TestOddEntriesPassBetweenGateways(t *testing.T) {
	odd := map[string]string{
		"nested": strings.Repeat("[", 20000), "bytes": "\xff\xfe\x00\x01", "empty": "", "huge": strings.Repeat("x", 200<<10), "null": "null",
	}
	synctest.Test(t, func(t *testing.T) {
		const n = 40 // more than the gateways that read the store and those that follow one of them
		f := newServingFleet(t, n)
		for _, g := range f.all {
			decode := g.Adapter.DecodeTarget
			g.Adapter.DecodeTarget = func(key string, value []byte) (cataloger.Target, error) {
				if !strings.HasPrefix(string(value), "10.") {
					return cataloger.Target{}, errors.New("names no target")
				}
				return decode(key, value)
			}
		}
		store := f.platform.Store()
		put := func(name, value string) {
			_, err := store.Put(t.Context(), "servers/"+name, []byte(value), 0)
			require.NoError(t, err)
		}
		first, err := store.Put(t.Context(), "servers/replaced", []byte("10.0.0.1:80"), 0)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		for i, g := range f.all {
			v, ok := g.targets.Get("replaced")
			require.True(t, ok && v.Usable(), "gateway %d", i)
		}
		_, err = store.Put(t.Context(), "servers/replaced", []byte(odd["bytes"]), first)
		require.NoError(t, err)
		for name, value := range odd {
			put("odd-"+name, value)
			put("beside-"+name, "10.0.0.2:80")
		}
		time.Sleep(5 * time.Second)
		late := f.start(n, false)
		time.Sleep(5 * time.Second)
		usable := func(g *Gateway, name string) bool {
			v, ok := g.targets.Get(name)
			return ok && v.Usable()
		}
		for i, g := range f.all[:n] {
			require.False(t, usable(g, "replaced"), "gateway %d: its entry names no target", i)
			for name := range odd {
				require.False(t, usable(g, "odd-"+name), "gateway %d: %s", i, name)
			}
		}
		for name := range odd {
			for i, g := range f.all[:n] {
				require.True(t, usable(g, "beside-"+name), "gateway %d: beside %s", i, name)
			}
			require.True(t, usable(late, "beside-"+name), "a gateway that starts late: beside %s", name)
		}
	})
}
