package forwarder

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// The preferred instances are those that pick draws from, and asking changes nothing.
func TestPreferences(t *testing.T) {
	b := balancer(nil)
	all := instances(5)
	all[4] = all[4].WithState(cataloger.StateSuspect)
	require.Len(t, b.Preferences(all, nil), 5)
	require.Empty(t, b.instances, "asking adds no state")
	b.state("i0").Start()
	for range 20 {
		b.state("i1").Fail(b.Clock.Now(), rand.New(rand.NewPCG(1, 1)))
	}
	before := *b.state("i1")
	preferences := b.Preferences(all, nil)
	require.Equal(t, before, *b.state("i1"))
	var names []string
	preferred := map[string]bool{}
	for _, p := range preferences {
		names = append(names, p.Target.Name)
		if p.Preferred {
			preferred[p.Target.Name] = true
		}
	}
	require.Equal(t, []string{"i2", "i3", "i0"}, names[:3])
	require.Equal(t, map[string]bool{"i2": true, "i3": true}, preferred)
	require.True(t, preferences[3].Open || preferences[4].Open)
	for range 100 {
		picked, ok := b.pick(all, nil)
		require.True(t, ok)
		require.True(t, preferred[picked.Name], picked.Name)
		b.abandon(picked.Name)
	}

	held := []string{"i2", "i3"}
	require.Equal(t, "i0", b.Preferences(all, held)[0].Target.Name)
	picked, _ := b.pick(all, held)
	require.Equal(t, "i0", picked.Name)
	require.True(t, b.Preferences(all[2:4], held)[1].Preferred, "there are no others")
}
