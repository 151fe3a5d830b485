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

func TestDiagnose(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	stream := func(ms int, names ...string) Stream {
		return Stream{Path: path(names...), Last: ago(ms), Patience: 250 * time.Millisecond}
	}
	cases := []struct {
		name    string
		streams []Stream
		lost    []string
		ask     []string
	}{
		{"all well", []Stream{stream(20, "a", "b"), stream(200, "a", "c")}, nil, nil},
		{"others clear all but one stage", []Stream{
			stream(400, "a", "b", "c"), stream(405, "a", "b", "c"), stream(10, "a", "d"), stream(10, "e", "c"),
		}, []string{"b"}, []string{"a"}},
		{"one stream alone convicts nobody", []Stream{stream(400, "a", "b", "c"), stream(10, "a", "d"), stream(10, "e", "c")}, nil, []string{"a"}},
		{"a stream that waits while all stages work", []Stream{stream(400, "a", "b"), stream(400, "a", "b"), stream(10, "a", "b")}, nil, []string{"a"}},
		{"the whole pipeline is silent", []Stream{stream(400, "a", "b"), stream(410, "a", "b")}, nil, []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Diagnose(now, c.streams)
			require.Equal(t, c.lost, d.Lost)
			var ask []string
			for _, s := range d.Ask {
				ask = append(ask, s.Target)
			}
			require.Equal(t, c.ask, ask)
		})
	}
}
