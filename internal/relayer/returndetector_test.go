package relayer

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReturning(t *testing.T) {
	var r returnDetector
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
		require.Equal(t, c.want, r.isReturning(c.route, c.left), "%s %s", c.route, c.left)
	}
	for i := range 2 * maxRoutes {
		r.isReturning(strconv.Itoa(i), time.Second)
	}
	require.LessOrEqual(t, len(r.longest), maxRoutes)
}
