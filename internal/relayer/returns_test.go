package relayer

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReturning(t *testing.T) {
	var r returns
	for _, c := range []struct {
		route string
		left  time.Duration
		want  bool
	}{
		{"letters", 17 * time.Second, false},
		{"letters", 20 * time.Second, false},
		{"letters", 17 * time.Second, false},
		{"letters", 15 * time.Second, true},
		{"lookups", 15 * time.Second, false},
	} {
		require.Equal(t, c.want, r.returning(c.route, c.left), "%s %s", c.route, c.left)
	}
	for i := range 2 * mostRoutes {
		r.returning(strconv.Itoa(i), time.Second)
	}
	require.LessOrEqual(t, len(r.longest), mostRoutes)
}
