package repairer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func path(names ...string) []cataloger.Stage {
	var out []cataloger.Stage
	for i, n := range names {
		out = append(out, cataloger.Stage{Target: n, FirstLayer: uint32(i), EndLayer: uint32(i + 1)})
	}
	return out
}

func TestStagesToQuery(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	stream := func(ms int, names ...string) Stream {
		return Stream{Path: path(names...), Last: ago(ms), Patience: 250 * time.Millisecond}
	}
	cases := []struct {
		name    string
		streams []Stream
		ask     []string
	}{
		{"no silent stream", []Stream{stream(20, "a", "b"), stream(200, "a", "c")}, nil},
		{"a stage that no stream passes", []Stream{stream(400, "a", "b", "c"), stream(10, "a", "d"), stream(10, "e", "c")}, []string{"a"}},
		{"one query for all streams of a first stage", []Stream{stream(400, "a", "b"), stream(410, "a", "b"), stream(300, "e", "b")}, []string{"a", "e"}},
		{"a silent stream whose stages all work", []Stream{stream(400, "a", "b"), stream(10, "a", "b")}, nil},
		{"a stage that worked until the stream went silent", []Stream{stream(400, "a", "b"), stream(380, "a", "b"), stream(10, "a", "c")}, []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, s := range StagesToQuery(now, c.streams) {
				got = append(got, s.Target)
			}
			require.Equal(t, c.ask, got)
		})
	}
}
