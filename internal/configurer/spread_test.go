package configurer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const (
	maxSpreadTime      = 2 * time.Second
	maxFaultSpreadTime = 7 * time.Second
)

func TestInForceOn40(t *testing.T) {
	inBubble(t, 40, 4, func(t *testing.T, f *fleet) {
		version, worst := uint64(0), time.Duration(0)
		for i := range 20 {
			version = f.mustApply(f.daemons[i], "cards", "desk", version)
			worst = max(worst, f.waitInForce("cards", version, maxSpreadTime))
			version = f.mustApply(f.daemons[39-i], "cards", "counter", version)
			worst = max(worst, f.waitInForce("cards", version, maxSpreadTime))
		}
		t.Logf("in force on 40 of 40 within %s", worst)
	})
}

// At one change a watcher dies, the other watcher of its data centre misses the event and pushes are lost.
// The others detect the dead watcher after 3 s, and until then messages to it get no answer.
func TestInForceOn40UnderFaults(t *testing.T) {
	inBubble(t, 40, 4, func(t *testing.T, f *fleet) {
		version, worst := f.mustApply(f.daemons[0], "cards", "desk", 0), time.Duration(0)
		f.waitInForce("cards", version, maxSpreadTime)
		f.detection = 3 * time.Second
		for i := range 60 {
			dc := cataloger.DataCentre("dc-1")
			watchers := f.watchers(dc)
			watchers[0].kill()
			f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultWatchGap, Count: 1 + i%8})
			f.dropNext(1 + i%3)
			applier := f.daemons[4*i%40]
			for !applier.running {
				applier = f.daemons[0]
			}
			version = f.mustApply(applier, "cards", []string{"a", "b"}[i%2], version)
			worst = max(worst, f.waitInForce("cards", version, maxFaultSpreadTime))
			f.platform.ClearFaults()
			watchers[0].start()
			f.waitInForce("cards", version, maxFaultSpreadTime)
		}
		t.Logf("in force on 39 of 39 within %s", worst)
	})
}

// Every watch misses the events, but the daemons that stored the versions stay alive and spread them.
func TestInForceWithoutWatches(t *testing.T) {
	inBubble(t, 40, 4, func(t *testing.T, f *fleet) {
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultWatchGap})
		version := uint64(0)
		for i := range 20 {
			version = f.mustApply(f.daemons[2*i], "cards", []string{"a", "b"}[i%2], version)
			f.waitInForce("cards", version, maxSpreadTime)
		}
	})
}

// Every watch misses the event and the daemon that accepted the change dies immediately: only lists of the store show it.
func TestEveryWatchMissesTheEvent(t *testing.T) {
	inBubble(t, 8, 2, func(t *testing.T, f *fleet) {
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultWatchGap})
		var d *daemon
		for _, d = range f.daemons {
			// The death of a watcher would make another daemon a watcher, which lists the store.
			if !slices.Contains(f.watchers(d.member.DataCentre), d) {
				break
			}
		}
		f.cutOff(d)
		version := f.mustApply(d, "cards", "desk", 0)
		d.kill()
		f.waitInForce("cards", version, 4*fleetListInterval+maxFaultSpreadTime)
	})
}

// The connections of all watches die without an error: watches are restarted after watchIdleTimeout, and lists of the
// store deliver changes until then.
func TestSilentWatchesAreRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4, 2)
		silent := make(chan struct{})
		f.wrapStore = func(_ *daemon, s storer.Store) storer.Store {
			watch := s.Watch
			s.Watch = func(ctx context.Context, prefix string, after storer.Point, emit func(storer.Event) error) error {
				return watch(ctx, prefix, after, func(e storer.Event) error {
					select {
					case <-silent:
						<-ctx.Done()
						return ctx.Err()
					default:
						return emit(e)
					}
				})
			}
			return s
		}
		f.startAll()
		defer f.stopAll()
		f.waitReady()
		close(silent)
		time.Sleep(watchIdleTimeout + 2*time.Second)
		calls := f.platform.Ledger().Calls[platformfaker.OperationWatch]
		require.GreaterOrEqual(t, calls, uint64(8), "each watcher started a second watch")
		f.cutOff(f.daemons[0])
		version := f.mustApply(f.daemons[0], "cards", "desk", 0)
		f.waitInForce("cards", version, 4*fleetListInterval+maxFaultSpreadTime)
	})
}

func TestPeersSpreadVersionsDuringStoreOutage(t *testing.T) {
	inBubble(t, 8, 2, func(t *testing.T, f *fleet) {
		f.partition(4)
		version := f.mustApply(f.daemons[7], "cards", "desk", 0)
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage})
		time.Sleep(10 * time.Second)
		f.heal()
		f.waitInForce("cards", version, maxFaultSpreadTime)
	})
}

func TestRestart(t *testing.T) {
	cases := []struct {
		name   string
		before func(f *fleet)
		ready  bool
		newest bool
	}{
		{"ordinary", func(*fleet) {}, true, true},
		{"stale list", func(f *fleet) {
			f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultStaleRead, Revisions: 2})
		}, true, true},
		{"store down", func(f *fleet) { f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage}) }, true, true},
		{"store down, cut off from all peers", func(f *fleet) {
			f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage})
			f.partition(1)
		}, false, false},
		{"cut off from all peers", func(f *fleet) { f.partition(1) }, true, true},
		{"messages lost", func(f *fleet) { f.dropNext(3) }, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 6, 2, func(t *testing.T, f *fleet) {
				version := f.mustApply(f.daemons[1], "cards", "desk", 0)
				version = f.mustApply(f.daemons[1], "cards", "counter", version)
				f.waitInForce("cards", version, maxSpreadTime)
				d := f.daemons[0]
				d.kill()
				c.before(f)
				d.start()
				require.False(t, d.Ready(), "not ready before it has the state")
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					if d.Ready() {
						_, got, ok := d.Lookup("cards")
						require.True(t, ok)
						require.Equal(t, version, got, "ready with the newest version only")
					}
				}
				require.Equal(t, c.ready, d.Ready())
			})
		})
	}
}

// A daemon without peers does not become ready on a stale list: it waits for its watch to catch up.
func TestRestartAloneWithStaleList(t *testing.T) {
	inBubble(t, 1, 1, func(t *testing.T, f *fleet) {
		d := f.daemons[0]
		version := f.mustApply(d, "cards", "desk", 0)
		version = f.mustApply(d, "cards", "counter", version)
		d.kill()
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultStaleRead, Revisions: 1})
		d.start()
		for !d.Ready() {
			time.Sleep(time.Millisecond)
		}
		_, got, _ := d.Lookup("cards")
		require.Equal(t, version, got)
	})
}

func TestIsolatedDaemonServesLastKnownVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4, 2)
		f.startAll()
		defer f.stopAll()
		f.waitReady()
		version := f.mustApply(f.daemons[1], "cards", "desk", 0)
		f.waitInForce("cards", version, maxSpreadTime)
		limited := f.daemons[1]
		limited.MaxAge = time.Minute
		f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage})
		f.partition(1)
		time.Sleep(10 * time.Minute)
		d := f.daemons[0]
		_, got, ok := d.Lookup("cards")
		require.True(t, ok)
		require.Equal(t, version, got)
		require.True(t, d.Ready(), "no limit on the age by default")
		age, known := d.Age()
		require.True(t, known)
		require.InDelta(t, 10*time.Minute, age, float64(10*time.Second))
		require.False(t, limited.Ready(), "an exchange with peers of the same age does not lower the age")
		f.platform.ClearFaults()
		f.heal()
		time.Sleep(20 * time.Second)
		require.True(t, limited.Ready())
	})
}

func TestStatusCountsLaggingDaemons(t *testing.T) {
	inBubble(t, 8, 2, func(t *testing.T, f *fleet) {
		version := f.mustApply(f.daemons[0], "cards", "desk", 0)
		f.waitInForce("cards", version, maxSpreadTime)
		f.partition(2)
		f.isolate(f.daemons[0], f.daemons[1])
		newer := f.mustApply(f.daemons[5], "cards", "counter", version)
		time.Sleep(maxFaultSpreadTime)
		status := func(d *daemon) *v1.StatusResponse {
			resp, err := d.Status(t.Context(), &v1.StatusRequest{Name: "cards"})
			require.NoError(t, err)
			return resp
		}
		s := status(f.daemons[5])
		require.Equal(t, newer, s.Version)
		require.Equal(t, uint32(6), s.InForce)
		require.Equal(t, uint32(8), s.Members)
		require.Len(t, s.Lagging, 2)
		require.False(t, s.Lagging[0].Answered)
		f.mu.Lock()
		clear(f.cutLinks)
		f.mu.Unlock()
		require.Equal(t, uint32(6), status(f.daemons[5]).InForce, "daemons that answer with an older version lag")
		f.heal()
		f.waitInForce("cards", newer, maxFaultSpreadTime)
		s = status(f.daemons[0])
		require.Equal(t, uint32(8), s.InForce)
		require.Empty(t, s.Lagging)
	})
}
