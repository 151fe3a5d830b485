package auditor

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

func TestMissedChanges(t *testing.T) {
	cases := []struct {
		name string
		// writes holds the revisions of the daemon's own writes, seen those that watches deliver.
		writes []storer.Point
		seen   []storer.Point
		missed int
	}{
		{"own writes only", []storer.Point{10, 11, 12}, nil, 0},
		{"a change that a watch delivered", []storer.Point{10, 12}, []storer.Point{11}, 0},
		{"a change that no watch delivered", []storer.Point{10, 12, 13}, nil, 1},
		{"one of two changes", []storer.Point{10, 13}, []storer.Point{11}, 1},
		{"changes before the first write are not checked", []storer.Point{10}, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var missed atomic.Int64
				a := New(timer.System{}, func() { missed.Add(1) })
				for _, w := range c.writes {
					a.RecordWrite(w, time.Now())
					time.Sleep(watchGrace / 2)
					for _, s := range c.seen {
						if s < w {
							a.RecordChange(s)
						}
					}
					time.Sleep(time.Second)
				}
				require.EqualValues(t, c.missed, missed.Load())
			})
		})
	}
}

// TestLateWatchEventIsNotMissed delivers a change by a watch shortly after the write that reveals it.
func TestLateWatchEventIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(timer.System{}, func() { t.Error("nothing was missed") })
		a.RecordWrite(10, time.Now())
		time.Sleep(time.Second)
		a.RecordWrite(12, time.Now())
		time.Sleep(watchGrace - time.Millisecond)
		a.RecordChange(11)
		time.Sleep(time.Second)
	})
}
