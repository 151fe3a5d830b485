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

// oracle knows what operators were told and what daemons have shown.
type oracle struct {
	mu sync.Mutex
	// told maps an owner, which names an attempt, to what its operator heard.
	told map[string]v1.ApplyResult
	// versions maps accepted versions, by name and number, to their owners; a delete has none.
	versions map[string]string
	newest   map[string]uint64
	// seen is the newest version that each run of a daemon showed.
	seen    map[string]uint64
	owners  map[string]string
	failure string
	next    int
}

func newOracle() *oracle {
	return &oracle{
		told:     map[string]v1.ApplyResult{},
		versions: map[string]string{},
		newest:   map[string]uint64{},
		seen:     map[string]uint64{},
		owners:   map[string]string{},
	}
}

func (o *oracle) fail(format string, args ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) owner() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return fmt.Sprintf("attempt-%d", o.next)
}

func (o *oracle) heard(name, owner string, result v1.ApplyResult, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told[owner] = result
	if result != accepted {
		return
	}
	id := fmt.Sprintf("%s/%d", name, version)
	if other, ok := o.versions[id]; ok {
		o.fail("%s was accepted for %s and for %s", id, other, owner)
	}
	o.versions[id] = owner
	o.newest[name] = max(o.newest[name], version)
}

// watch looks at every daemon for as long as the schedule runs.
func (o *oracle) look(f *fleet) {
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
			at := fmt.Sprintf("%s/%d/%s", d.member.Name, run, name)
			if e.inForce < o.seen[at] {
				o.fail("%s went from version %d back to %d", at, o.seen[at], e.inForce)
			}
			o.seen[at] = e.inForce
			if e.document == nil {
				continue
			}
			id := fmt.Sprintf("%s/%d", name, e.inForce)
			if other, ok := o.owners[id]; ok && other != e.document.Owner {
				o.fail("%s is %s on one daemon and %s on another", id, other, e.document.Owner)
			}
			o.owners[id] = e.document.Owner
		}
	}
}

func (f *fleet) play(o *oracle, m move) {
	d := f.daemons[m.Daemon]
	switch m.Kind {
	case "apply":
		f.edit(o, d, m.Name, d.newest(m.Name))
	case "race":
		seen := d.newest(m.Name)
		go f.edit(o, d, m.Name, seen)
		f.edit(o, f.daemons[(m.Daemon+1)%fuzzDaemons], m.Name, seen)
	case "delete":
		if !d.running {
			return
		}
		owner := o.owner()
		resp, err := d.Delete(f.ctx, &v1.DeleteServiceRequest{Name: m.Name, ExpectedVersion: d.newest(m.Name), Author: owner})
		if err == nil {
			o.heard(m.Name, owner, resp.Result, resp.Version)
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
		*map[string]*int{"lose": &f.lose, "duplicate": &f.duplicate, "delay": &f.delay}[m.Kind] = m.Count * 3
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

func (d *daemon) newest(name string) uint64 { return d.view.Load().entries[name].newest.Version }

func (f *fleet) edit(o *oracle, d *daemon, name string, seen uint64) {
	f.mu.Lock()
	running := d.running
	f.mu.Unlock()
	if !running {
		return
	}
	owner := o.owner()
	resp, err := d.Apply(f.ctx, &v1.ApplyRequest{Document: source(name, owner), ExpectedVersion: &seen, Author: owner})
	if err == nil {
		o.heard(name, owner, resp.Result, resp.Version)
	}
}

// playAll runs a schedule, heals every fault and tells what the oracle found wrong.
func playAll(t *testing.T, seed uint64, moves []move, wrap func(storer.Store) storer.Store) string {
	o := newOracle()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, fuzzDaemons, 2)
		if wrap != nil {
			f.wrap = func(_ *daemon, s storer.Store) storer.Store { return wrap(s) }
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
					o.look(f)
				}
			}
		}()
		for _, m := range moves {
			f.play(o, m)
		}
		f.heal()
		f.platform.ClearFaults()
		for _, d := range f.daemons {
			if !d.running {
				d.start()
			}
		}
		time.Sleep(4 * fleetListInterval)
		time.Sleep(faultTarget)
		o.look(f)
		close(stop)
		<-stopped
		o.converged(f)
	})
	return o.failure
}

// converged checks that every daemon has the stored version, and that what operators heard is true.
func (o *oracle) converged(f *fleet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored := map[string]uint64{}
	for _, name := range []string{"cards", "reports"} {
		h, err := f.daemons[0].History(f.ctx, &v1.HistoryRequest{Name: name})
		if err != nil {
			if o.newest[name] > 0 {
				o.fail("%s was accepted and is not stored: %s", name, err)
			}
			continue
		}
		stored[name] = h.Versions[0].Version
		kept := map[string]string{}
		for _, v := range h.Versions {
			kept[fmt.Sprintf("%s/%d", name, v.Version)] = v.Author
			if told := o.told[v.Author]; told == refused || told == conflict {
				o.fail("%s version %d is stored, but its operator heard %s", name, v.Version, told)
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
		if failure := playAll(t, seed, moves, nil); failure != "" {
			rt.Fatal(failure)
		}
	})
}

// The oracle notices broken variants: a store client that takes a lost answer for a refusal and one that takes it for a success.
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
	require.Empty(t, playAll(t, 1, moves, nil))
	for name, wrap := range variants {
		require.NotEmpty(t, playAll(t, 1, moves, wrap), name)
	}
}
