package relayer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/rationer"
)

// addStreams registers streams that pass a1 and a2 and counts those that are moved to another pipeline.
func addStreams(r *Relayer, n int, resumable bool, moved *atomic.Int64) {
	path, _ := r.Chooser.Path(stream(true).demand(), map[string]bool{"b1": true, "b2": true})
	for i := range n {
		req := stream(resumable)
		req.ID = fmt.Sprint("r", i)
		g := &generation{relayer: r, request: req, avoid: map[string]bool{}, started: true, lastProgress: time.Now(), release: func() {}}
		first, _ := r.Targets.Get(path[0].Target)
		g.path = path
		g.cancel = func(cause error) {
			if errors.Is(cause, errMoved) {
				moved.Add(1)
			}
		}
		g.current = &leg{parent: context.Background(), ctx: context.Background(), cancel: g.cancel, first: first.Target, path: path, release: g.release}
		r.mu.Lock()
		r.streams[g] = struct{}{}
		r.mu.Unlock()
	}
}

func putTarget(r *Relayer, name string, state cataloger.State, first, end uint32) {
	putIncarnation(r, name, 1, state, first, end)
}

func putIncarnation(r *Relayer, name string, incarnation uint64, state cataloger.State, first, end uint32) {
	target := cataloger.Target{
		Name: name, Service: "llm", Address: name + ":80", DataCentre: "a", Kind: "l4", State: state, Incarnation: incarnation,
	}
	if end > first {
		target.Holdings = []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}}
	}
	r.Targets.Put(target)
}

// TestStreamsLeaveAStageUnderLoad: when a target leaves or releases layers, the streams that pass it leave it one after
// the other, all of them before it ends. If nothing is served until it has loaded others, they leave it immediately.
func TestStreamsLeaveAStageUnderLoad(t *testing.T) {
	const streams = 100
	cases := []struct {
		name      string
		change    func(r *Relayer)
		within    time.Duration
		immediate bool
	}{
		{"a stage leaves", func(r *Relayer) { putTarget(r, "a2", cataloger.StateLeaving, 5, 10) }, 2*time.Second + leavingMargin, false},
		{"a stage releases its layers", func(r *Relayer) { putTarget(r, "a2", cataloger.StateLive, 0, 0) }, handoverTime, false},
		{"a stage restarts without layers", func(r *Relayer) { putIncarnation(r, "a2", 2, cataloger.StateLive, 0, 0) }, 2 * watchInterval, true},
		{"a stage releases layers while nobody stays to hold others", func(r *Relayer) {
			putTarget(r, "a2", cataloger.StateLive, 0, 0)
			putTarget(r, "b1", cataloger.StateLeaving, 0, 5)
			putTarget(r, "a1", cataloger.StateLeaving, 0, 5)
		}, 2 * watchInterval, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeBackend{}
				r := newTestRelayer(f)
				r.DrainTime = 2 * time.Second
				addStreams(r, streams, false, new(atomic.Int64))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = r.Watch(ctx) }()
				time.Sleep(time.Second)
				c.change(r)
				replaced, maxPerCheck := 0, 0
				for began := time.Now(); time.Since(began) < c.within+2*watchInterval; {
					time.Sleep(watchInterval)
					f.mu.Lock()
					maxPerCheck = max(maxPerCheck, len(f.repaths)-replaced)
					replaced = len(f.repaths)
					f.mu.Unlock()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				require.Len(t, f.repaths, streams)
				for _, path := range f.repaths {
					require.Equal(t, "b2", path[1].Target)
				}
				if !c.immediate {
					require.LessOrEqual(t, maxPerCheck, streams/8, "in one check")
				}
			})
		})
	}
}

// TestStreamsLeaveTheFirstTargetUnderLoad: streams that may be resumed move to other pipelines one after the other.
func TestStreamsLeaveTheFirstTargetUnderLoad(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRelayer(&fakeBackend{scripts: []script{{status: 200, body: eventRange(1, 1)}}})
			r.DrainTime = 2 * time.Second
			r.Budget = rationer.Budget{Extra: 1000, Window: 10 * time.Second}
			var moved atomic.Int64
			addStreams(r, 100, resumable, &moved)
			putTarget(r, "a1", cataloger.StateLeaving, 0, 5)
			maxPerCheck := 0
			for range int((r.DrainTime+leavingMargin)/watchInterval) + 1 {
				time.Sleep(watchInterval)
				before := moved.Load()
				r.checkStreams(t.Context())
				synctest.Wait()
				maxPerCheck = max(maxPerCheck, int(moved.Load()-before))
			}
			want := 0
			if resumable {
				want = 100
			}
			require.EqualValues(t, want, moved.Load())
			require.LessOrEqual(t, maxPerCheck, 100/8)
		})
	}
}
