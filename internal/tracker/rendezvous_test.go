package tracker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func namedMembers(n int) []cataloger.Member {
	var out []cataloger.Member
	for i := range n {
		out = append(out, cataloger.Member{Name: fmt.Sprintf("10.0.0.%d:7070", i)})
	}
	return out
}

func TestRendezvousIsEvenAndMovesLittle(t *testing.T) {
	const keys = 20000
	for _, size := range []int{2, 4, 40} {
		members := namedMembers(size)
		more := namedMembers(size + 1)
		counts := map[string]int{}
		moved := 0
		for i := range keys {
			key := fmt.Sprintf("journal/%d", i)
			owner, ok := Rendezvous(members, key)
			require.True(t, ok)
			require.Equal(t, owner.Name, RankMembers(members, key, 1)[0].Name)
			counts[owner.Name]++
			next, _ := Rendezvous(more, key)
			if next.Name != owner.Name {
				require.Equal(t, more[size].Name, next.Name, "keys move only to the member that joined")
				moved++
			}
		}
		for name, n := range counts {
			require.InEpsilon(t, keys/size, n, 0.2, name)
		}
		require.InEpsilon(t, keys/(size+1), moved, 0.2)
	}
	_, ok := Rendezvous(nil, "key")
	require.False(t, ok)
}

func TestRankFollowsWeights(t *testing.T) {
	candidates := []Candidate{{"a", 1}, {"b", 3}, {"c", 0}}
	counts := make([]int, len(candidates))
	const keys = 20000
	for i := range keys {
		order := Rank(candidates, fmt.Sprint(i), 2)
		require.Len(t, order, 2)
		require.NotEqual(t, order[0], order[1])
		counts[order[0]]++
	}
	require.InEpsilon(t, keys/5, counts[0], 0.1)
	require.InEpsilon(t, keys*3/5, counts[1], 0.1)
	require.InEpsilon(t, keys/5, counts[2], 0.1)
}

func TestRankingAgreesWithRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 0, 30, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(0, 32).Draw(t, "n")
		var members []cataloger.Member
		var candidates []Candidate
		for _, name := range names {
			members = append(members, cataloger.Member{Name: name})
			candidates = append(candidates, Candidate{Name: name})
		}
		want := []string{}
		for _, i := range Rank(candidates, key, n) {
			want = append(want, names[i])
		}
		got := []string{}
		for _, m := range NewRanking(members).Top(key, n) {
			got = append(got, m.Name)
		}
		require.Equal(t, want, got)
	})
}
