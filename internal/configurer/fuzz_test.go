package configurer

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// move is one step of a fuzzed schedule.
type move struct {
	Kind   string
	Daemon int
	Name   string
	Count  int
	Wait   time.Duration
}

const fuzzDaemons = 6

var moveKinds = []string{"apply", "apply", "apply", "race", "delete", "kill", "start", "lose", "duplicate", "delay", "partition", "isolate", "heal",
	"outage", "stale-read", "answer-lost", "request-lost", "watch-gap", "watch-reorder", "slow", "compact"}

func drawMove(t *rapid.T) move {
	return move{
		Kind:   rapid.SampledFrom(moveKinds).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, fuzzDaemons-1).Draw(t, "daemon"),
		Name:   rapid.SampledFrom([]string{"cards", "reports"}).Draw(t, "name"),
		Count:  rapid.IntRange(1, 4).Draw(t, "count"),
		Wait:   time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond,
	}
}

// oracle records the results that operators received and the versions that daemons had in force.
type oracle struct {
	mu sync.Mutex
	// results maps an owner, which identifies an attempt, to the result that its operator received.
	results map[string]v1.ApplyResult
	// versions maps accepted versions, by name and number, to their owners.
	versions       map[string]string
	newestAccepted map[string]uint64
	// newestInForce is the last version in force of each service in each run of a daemon.
	newestInForce map[string]uint64
	shownOwners   map[string]string
	failure       string
	attempts      int
}

func newOracle() *oracle {
	return &oracle{
		results:        map[string]v1.ApplyResult{},
		versions:       map[string]string{},
		newestAccepted: map[string]uint64{},
		newestInForce:  map[string]uint64{},
		shownOwners:    map[string]string{},
	}
}

func (o *oracle) fail(format string, args ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) nextOwner() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
	return fmt.Sprintf("attempt-%d", o.attempts)
}

func (o *oracle) recordResult(name, owner string, result v1.ApplyResult, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results[owner] = result
	if result != accepted {
		return
	}
	id := fmt.Sprintf("%s/%d", name, version)
	if other, ok := o.versions[id]; ok {
		o.fail("%s was accepted for %s and for %s", id, other, owner)
	}
	o.versions[id] = owner
	o.newestAccepted[name] = max(o.newestAccepted[name], version)
}

// checkDaemons checks that no daemon's version in force decreased and that daemons agree on the document of a version.
func (o *oracle) checkDaemons(f *fleet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range f.daemons {
		f.mu.Lock()
		running, c, run := d.running, d.Configurer, d.member.Incarnation
		f.mu.Unlock()
		if !running {
			continue
		}
		for name, e := range c.view.Load().entries {
			runName := fmt.Sprintf("%s/%d/%s", d.member.Name, run, name)
			if e.inForce < o.newestInForce[runName] {
				o.fail("%s went from version %d back to %d", runName, o.newestInForce[runName], e.inForce)
			}
			o.newestInForce[runName] = e.inForce
			if e.document == nil {
				continue
			}
			id := fmt.Sprintf("%s/%d", name, e.inForce)
			if other, ok := o.shownOwners[id]; ok && other != e.document.Owner {
				o.fail("%s is %s on one daemon and %s on another", id, other, e.document.Owner)
			}
			o.shownOwners[id] = e.document.Owner
		}
	}
}

func (f *fleet) runMove(o *oracle, m move) {
	d := f.daemons[m.Daemon]
	switch m.Kind {
	case "apply":
		f.applyEdit(o, d, m.Name, d.newestVersion(m.Name))
	case "race":
		expected := d.newestVersion(m.Name)
		go f.applyEdit(o, d, m.Name, expected)
		f.applyEdit(o, f.daemons[(m.Daemon+1)%fuzzDaemons], m.Name, expected)
	case "delete":
		if !d.running {
			return
		}
		owner := o.nextOwner()
		resp, err := d.Delete(f.ctx, &v1.DeleteServiceRequest{Name: m.Name, ExpectedVersion: d.newestVersion(m.Name), Author: owner})
		if err == nil {
			o.recordResult(m.Name, owner, resp.Result, resp.Version)
		}
	case "kill":
		if d.running {
			d.kill()
		}
	case "start":
		if !d.running {
			d.start()
		}
	case "lose", "duplicate", "delay":
		f.mu.Lock()
		*map[string]*int{"lose": &f.dropCount, "duplicate": &f.duplicateCount, "delay": &f.delayCount}[m.Kind] = m.Count * 3
		f.mu.Unlock()
	case "partition":
		f.partition(1 + m.Daemon/2)
	case "isolate":
		f.isolate(d)
	case "heal":
		f.heal()
		f.platform.ClearFaults()
	case "compact":
		f.platform.Compact()
	default:
		f.platform.Inject(platformfaker.Fault{
			Kind:      platformfaker.FaultKind(m.Kind),
			Count:     m.Count,
			Duration:  platformfaker.Duration(20 * time.Second),
			Delay:     platformfaker.Duration(m.Wait * 2),
			Revisions: uint64(m.Count),
		})
	}
	time.Sleep(m.Wait)
}

func (d *daemon) newestVersion(name string) uint64 { return d.view.Load().entries[name].newest.Version }

func (f *fleet) applyEdit(o *oracle, d *daemon, name string, expected uint64) {
	f.mu.Lock()
	running := d.running
	f.mu.Unlock()
	if !running {
		return
	}
	owner := o.nextOwner()
	resp, err := d.Apply(f.ctx, &v1.ApplyRequest{Document: source(name, owner), ExpectedVersion: &expected, Author: owner})
	if err == nil {
		o.recordResult(name, owner, resp.Result, resp.Version)
	}
}

// runMoves runs a schedule, ends every fault and returns the first failure that the oracle found.
func runMoves(t *testing.T, seed uint64, moves []move, wrapStore func(storer.Store) storer.Store) string {
	o := newOracle()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, fuzzDaemons, 2)
		if wrapStore != nil {
			f.wrapStore = func(_ *daemon, s storer.Store) storer.Store { return wrapStore(s) }
		}
		f.startAll()
		defer f.stopAll()
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					o.checkDaemons(f)
				}
			}
		}()
		for _, m := range moves {
			f.runMove(o, m)
		}
		f.heal()
		f.platform.ClearFaults()
		for _, d := range f.daemons {
			if !d.running {
				d.start()
			}
		}
		time.Sleep(4 * fleetListInterval)
		time.Sleep(maxFaultSpreadTime)
		o.checkDaemons(f)
		close(stop)
		<-stopped
		o.checkConverged(f)
	})
	return o.failure
}

// checkConverged checks that every daemon has the stored version and that operators received the true results.
func (o *oracle) checkConverged(f *fleet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored := map[string]uint64{}
	for _, name := range []string{"cards", "reports"} {
		h, err := f.daemons[0].History(f.ctx, &v1.HistoryRequest{Name: name})
		if err != nil {
			if o.newestAccepted[name] > 0 {
				o.fail("%s was accepted and is not stored: %s", name, err)
			}
			continue
		}
		stored[name] = h.Versions[0].Version
		kept := map[string]string{}
		for _, v := range h.Versions {
			kept[fmt.Sprintf("%s/%d", name, v.Version)] = v.Author
			if result := o.results[v.Author]; result == refused || result == conflict {
				o.fail("%s version %d is stored, but its operator received %s", name, v.Version, result)
			}
		}
		for id, owner := range o.versions {
			if strings.HasPrefix(id, name+"/") && kept[id] != owner {
				o.fail("%s was accepted for %s, but the store has %q", id, owner, kept[id])
			}
		}
	}
	for _, d := range f.daemons {
		have := map[string]uint64{}
		for name, e := range d.view.Load().entries {
			have[name] = e.inForce
		}
		if !d.Ready() || !maps.Equal(have, stored) {
			o.fail("%s is ready %t with %v after the faults ended, the store has %v", d.member.Name, d.Ready(), have, stored)
		}
	}
}

func TestFuzzInForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		moves := rapid.SliceOfN(rapid.Custom(drawMove), 1, 24).Draw(rt, "moves")
		if failure := runMoves(t, seed, moves, nil); failure != "" {
			rt.Fatal(failure)
		}
	})
}

// The oracle detects store clients that treat a lost answer as a refusal or as a success.
func TestOracleCatchesBrokenVariants(t *testing.T) {
	variants := map[string]func(storer.Store) storer.Store{
		"lost answer as refusal": func(s storer.Store) storer.Store {
			put := s.Put
			s.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
				version, err := put(ctx, key, value, expected)
				if storer.ErrorName(err) == "uncertain" {
					err = storer.ErrTooLarge
				}
				return version, err
			}
			return s
		},
		"lost answer as success": func(s storer.Store) storer.Store {
			put := s.Put
			s.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
				version, err := put(ctx, key, value, expected)
				if storer.ErrorName(err) == "uncertain" {
					return expected + 1, nil
				}
				return version, err
			}
			return s
		},
	}
	moves := []move{
		{Kind: "apply", Name: "cards", Wait: time.Second},
		{Kind: "answer-lost", Count: 1},
		{Kind: "apply", Name: "cards", Wait: time.Second},
		{Kind: "request-lost", Count: 1},
		{Kind: "apply", Name: "reports", Wait: time.Second},
		{Kind: "apply", Name: "reports", Wait: time.Second},
	}
	require.Empty(t, runMoves(t, 1, moves, nil))
	for name, wrap := range variants {
		require.NotEmpty(t, runMoves(t, 1, moves, wrap), name)
	}
}
