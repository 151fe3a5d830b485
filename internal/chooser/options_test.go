package chooser

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/throttler"
)

// A snapshot has all that its chooser was given, and chooses alike without records of its own in it.
func TestSnapshot(t *testing.T) {
	now := time.Unix(100, 0)
	c := newTestChooser(&now, head, otherTail)
	c.DataCentre = "a"
	d := testDemand()
	s := c.Snapshot(c.Draw)
	for i := range reflect.TypeFor[Chooser]().NumField() {
		if f := reflect.TypeFor[Chooser]().Field(i); f.IsExported() {
			require.False(t, reflect.ValueOf(s).Elem().Field(i).IsZero(), "Snapshot does not copy %s", f.Name)
		}
	}
	path, ok := s.Path(d, nil)
	require.True(t, ok)
	s.RecordCrossings(d, nil, path)
	require.Empty(t, c.pipes.all)
	for {
		if path, ok = c.Path(d, nil); !ok {
			break
		}
		c.RecordCrossings(d, nil, path)
	}
	s = c.Snapshot(c.Draw)
	require.Equal(t, c.NoPathReason(d), s.NoPathReason(d), "the pipes of a snapshot are as full")
	_, ok = s.Path(d, nil)
	require.False(t, ok)
	now = now.Add(4 * time.Second)
	_, ok = s.Path(d, nil)
	require.True(t, ok)
}

func TestOptions(t *testing.T) {
	for want, change := range map[Obstacle]func(c *Chooser, d *Demand){
		ObstacleNone: func(*Chooser, *Demand) {},
		ObstacleLeaving: func(c *Chooser, _ *Demand) {
			v, _ := c.Targets.Get(head.name)
			c.Targets.Put(v.WithState(cataloger.StateLeaving))
		},
		ObstacleNotLive: func(c *Chooser, _ *Demand) {
			v, _ := c.Targets.Get(head.name)
			c.Targets.Put(v.WithState(cataloger.StateJoining))
		},
		ObstacleSuspected: func(c *Chooser, _ *Demand) { c.Targets.Suspect(head.name, 1, c.Now()) },
		ObstaclePaused:    func(c *Chooser, _ *Demand) { c.Targets.RecordPause(head.name, 1, time.Second) },
		ObstacleRefusing:  func(c *Chooser, _ *Demand) { c.Targets.RecordRefusal(head.name) },
		ObstacleNoLayers: func(c *Chooser, _ *Demand) {
			v, _ := c.Targets.Get(head.name)
			v.Holdings = nil
			c.Targets.Put(v.Target)
		},
		ObstacleNoRoom:   func(c *Chooser, _ *Demand) { c.Targets.Reserve(pathOf(head), 1e9) },
		ObstacleRoomKept: func(_ *Chooser, d *Demand) { d.Precedence = Precedence{Rank: 3, Ahead: 1, Contended: true} },
		ObstacleAtLimit: func(c *Chooser, _ *Demand) {
			c.Limits = func() map[string]throttler.State {
				return map[string]throttler.State{head.name: {Wait: time.Second, Fill: 1}}
			}
		},
	} {
		t.Run(string("obstacle "+want), func(t *testing.T) {
			now := time.Unix(100, 0)
			c := newTestChooser(&now, head, tail)
			c.Daemons = func() int { return 1 }
			d := testDemand()
			if want == ObstacleRoomKept {
				for c.Options(d)[0].Fill < 0.7 {
					c.Targets.Reserve(pathOf(head), 1000)
				}
			}
			change(c, &d)
			options := c.Options(d)
			require.Len(t, options, 2)
			require.Equal(t, head.name, options[0].Name)
			require.Equal(t, want, options[0].Obstacle)
			require.Equal(t, ObstacleNone, options[1].Obstacle)
			_, ok := c.Path(d, nil)
			require.Equal(t, want == ObstacleNone, ok, "Path decides alike")
		})
	}
}
