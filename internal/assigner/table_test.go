package assigner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestOwnersAreLookedUpOncePerView(t *testing.T) {
	view, lookups := uint64(1), 0
	table := Table{
		Shards: 4,
		View:   func() uint64 { return view },
		Lookup: func(shard uint32) (cataloger.Member, bool) {
			lookups++
			return cataloger.Member{Name: "a", Incarnation: view}, shard != 3
		},
	}
	for range 3 {
		require.True(t, table.Get(0).Is(cataloger.Member{Name: "a", Incarnation: 1}))
		require.False(t, table.Get(3).Found)
		require.False(t, table.Get(3).Is(cataloger.Member{}))
	}
	require.Equal(t, 4, lookups)
	view = 2
	require.True(t, table.Get(1).Is(cataloger.Member{Name: "a", Incarnation: 2}))
	require.Equal(t, 8, lookups)
	table.View = nil
	table.Get(1)
	table.Get(1)
	require.Equal(t, 10, lookups, "without a view every call looks up")
}
