package selector

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestSpeedsFollowLinks(t *testing.T) {
	s, clock := newTestSelector()
	f := evenFleet(6, func(int) float64 { return 1000 })
	a, b := &f.Targets[0], &f.Targets[3]
	s.Update(f, []Model{mixModel})
	before := s.Speeds()
	require.Equal(t, s.SameDataCentre.Bandwidth, before.Bandwidth(a, b))
	require.Equal(t, s.BetweenDataCentres.Bandwidth, before.Bandwidth(a, &f.Targets[1]))

	l := s.linkOf(a.Name, b.Name)
	l.observe(clock.Now(), 1.1, 1)
	require.Equal(t, before.Version, s.Speeds().Version, "noise")
	for range 40 {
		l.observe(clock.Now(), 100, 1)
	}
	slow := s.Speeds()
	require.NotEqual(t, before.Version, slow.Version)
	require.Less(t, slow.Bandwidth(a, b), before.Bandwidth(a, b)/50)
	require.Equal(t, before.Bandwidth(b, a), slow.Bandwidth(b, a))

	f.Links = []cataloger.Link{{From: b.Name, To: a.Name, Bandwidth: 5}}
	s.Update(f, []Model{mixModel})
	listed := s.Speeds()
	require.NotEqual(t, slow.Version, listed.Version)
	require.Equal(t, 5.0, listed.Bandwidth(b, a))
}
