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
		// writes are the own ones, seen what watches bring of the rest.
		writes []storer.Point
		seen   []storer.Point
		missed int
	}{
		{"nothing but own writes", []storer.Point{10, 11, 12}, nil, 0},
		{"a change that a watch brought", []storer.Point{10, 12}, []storer.Point{11}, 0},
		{"a change that no watch brought", []storer.Point{10, 12, 13}, nil, 1},
		{"one of two changes", []storer.Point{10, 13}, []storer.Point{11}, 1},
		{"the first write says nothing of what was before", []storer.Point{10}, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var missed atomic.Int64
				a := New(timer.System{}, func() { missed.Add(1) })
				for _, w := range c.writes {
					a.RecordWrite(w)
					time.Sleep(grace / 2)
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

// TestLateEventIsNoAlarm lets a watch bring a change shortly after the write that shows it.
func TestLateEventIsNoAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(timer.System{}, func() { t.Error("nothing was missed") })
		a.RecordWrite(10)
		time.Sleep(time.Second)
		a.RecordWrite(12)
		time.Sleep(grace - time.Millisecond)
		a.RecordChange(11)
		time.Sleep(time.Second)
	})
}
