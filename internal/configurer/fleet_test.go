package configurer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261203")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

// fleet runs daemons in one process; it belongs in a synctest bubble.
type fleet struct {
	t        *testing.T
	platform *platformfaker.Platform
	ctx      context.Context
	random   *rand.Rand

	mu      sync.Mutex
	daemons []*daemon
	// wrapStore replaces the store that a daemon uses.
	wrapStore func(*daemon, storer.Store) storer.Store
	// detection is how long a killed daemon stays a live member.
	detection time.Duration
	// traffic counts the bytes and calls of each daemon.
	traffic map[string]meter
	// cutLinks holds pairs of sender and receiver between which messages are lost.
	cutLinks map[[2]string]bool
	// dropCount, duplicateCount and delayCount are the numbers of next messages that a fault affects.
	dropCount      int
	duplicateCount int
	delayCount     int
}

type daemon struct {
	fleet  *fleet
	member cataloger.Member
	*Configurer
	stop    context.CancelFunc
	done    chan struct{}
	running bool
	// killedAt is when the daemon was last killed; messages to it get no answer from then on.
	killedAt time.Time
	// isolated blocks the daemon's access to the store.
	isolated bool
}

func newFleet(t *testing.T, seed uint64, size, dataCentres int) *fleet {
	f := &fleet{
		t:         t,
		platform:  platformfaker.New(platformfaker.Config{}),
		ctx:       t.Context(),
		random:    rand.New(rand.NewPCG(seed, seed)),
		cutLinks:  map[[2]string]bool{},
		wrapStore: func(_ *daemon, s storer.Store) storer.Store { return s },
		traffic:   map[string]meter{},
	}
	for i := range size {
		name := fmt.Sprintf("entry-%03d", i)
		f.daemons = append(f.daemons, &daemon{fleet: f, member: cataloger.Member{
			Name:        name,
			PeerAddress: name,
			DataCentre:  cataloger.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
			State:       cataloger.StateLive,
		}})
	}
	return f
}

// startAll starts all daemons; each is a member before the first one runs.
func (f *fleet) startAll() {
	for _, d := range f.daemons {
		d.prepare()
	}
	for _, d := range f.daemons {
		d.run()
	}
}

func (d *daemon) start() {
	d.prepare()
	d.run()
}

func (d *daemon) prepare() {
	f := d.fleet
	f.mu.Lock()
	d.member.Incarnation++
	f.mu.Unlock()
	c := New(d.member)
	c.Store = d.blockWhenIsolated(f.wrapStore(d, f.platform.Store()))
	c.Link = linker.Link{Call: d.call}
	c.Members = f.members
	f.mu.Lock()
	c.Random = rand.New(rand.NewPCG(f.random.Uint64(), 1))
	d.Configurer, d.running = c, true
	f.mu.Unlock()
}

func (d *daemon) run() {
	ctx, cancel := context.WithCancel(d.fleet.ctx)
	c, done := d.Configurer, make(chan struct{})
	d.stop, d.done = cancel, done
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
}

func (d *daemon) kill() {
	d.fleet.mu.Lock()
	d.running = false
	d.killedAt = time.Now()
	d.fleet.mu.Unlock()
	d.stop()
	<-d.done
}

func (f *fleet) stopAll() {
	for _, d := range f.daemons {
		if d.running {
			d.kill()
		}
	}
}

// members returns the fleet as a failure detector with a fixed delay reports it.
func (f *fleet) members() []cataloger.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]cataloger.Member, 0, len(f.daemons))
	for _, d := range f.daemons {
		if d.running || time.Since(d.killedAt) < f.detection {
			out = append(out, d.member)
		}
	}
	return out
}

// blockWhenIsolated returns a store that is unavailable while the daemon is isolated.
func (d *daemon) blockWhenIsolated(s storer.Store) storer.Store {
	isolated := func() bool {
		d.fleet.mu.Lock()
		defer d.fleet.mu.Unlock()
		return d.isolated
	}
	inner := s
	s.List = func(ctx context.Context, prefix string) ([]storer.Object, storer.Point, error) {
		if isolated() {
			return nil, 0, storer.ErrUnavailable
		}
		return inner.List(ctx, prefix)
	}
	s.Watch = func(ctx context.Context, prefix string, after storer.Point, emit func(storer.Event) error) error {
		if isolated() {
			return storer.ErrUnavailable
		}
		return inner.Watch(ctx, prefix, after, func(e storer.Event) error {
			if isolated() {
				return storer.ErrUnavailable
			}
			return emit(e)
		})
	}
	return s
}

func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return false
}

// call delivers a message of a daemon, with latency and the fleet's faults.
func (d *daemon) call(ctx context.Context, address, method string, req, resp proto.Message) error {
	f := d.fleet
	f.mu.Lock()
	to := f.find(address)
	dropped := f.cutLinks[[2]string{d.member.Name, address}] || consume(&f.dropCount)
	duplicated, delayed := consume(&f.duplicateCount), consume(&f.delayCount)
	latency := 500 * time.Microsecond
	if to.member.DataCentre != d.member.DataCentre {
		latency = 20 * time.Millisecond
	}
	running, handler := to.running && d.running, to.Handlers()[method]
	f.mu.Unlock()
	switch {
	case dropped, !running:
		<-ctx.Done()
		return ctx.Err()
	case delayed:
		latency += 300 * time.Millisecond
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	time.Sleep(latency)
	answer, err := handler(ctx, d.member.Name, body)
	if duplicated {
		answer, err = handler(ctx, d.member.Name, body)
	}
	if err != nil {
		return err
	}
	time.Sleep(latency)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f.count(d.member.Name, address, proto.Size(req)+proto.Size(answer))
	proto.Merge(resp, answer)
	return nil
}

func (f *fleet) find(name string) *daemon {
	for _, d := range f.daemons {
		if d.member.Name == name {
			return d
		}
	}
	return nil
}

// partition cuts the first n daemons off from the others, both ways.
func (f *fleet) partition(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.daemons[:n] {
		for _, b := range f.daemons[n:] {
			f.cutLinks[[2]string{a.member.Name, b.member.Name}] = true
			f.cutLinks[[2]string{b.member.Name, a.member.Name}] = true
		}
	}
}

// cutOff cuts one daemon off from all others, both ways.
func (f *fleet) cutOff(d *daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.daemons {
		f.cutLinks[[2]string{d.member.Name, other.member.Name}] = true
		f.cutLinks[[2]string{other.member.Name, d.member.Name}] = true
	}
}

func (f *fleet) dropNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropCount = n
}

// isolate blocks the access of daemons to the store.
func (f *fleet) isolate(daemons ...*daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range daemons {
		d.isolated = true
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cutLinks)
	f.dropCount, f.duplicateCount, f.delayCount = 0, 0, 0
	for _, d := range f.daemons {
		d.isolated = false
	}
}

// waitInForce waits until every running daemon is ready and has the version in force, and returns how long it took.
func (f *fleet) waitInForce(name string, version uint64, within time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) <= within {
		if f.lagging(name, version) == 0 {
			return time.Since(start)
		}
		time.Sleep(max(time.Millisecond, time.Since(start)/20))
	}
	require.Zero(f.t, f.lagging(name, version), "daemons without version %d of %q after %s", version, name, within)
	return 0
}

func (f *fleet) lagging(name string, version uint64) int {
	n := 0
	for _, d := range f.daemons {
		if d.running && (!d.Ready() || d.view.Load().entries[name].inForce < version) {
			n++
		}
	}
	return n
}

func (f *fleet) waitReady() { f.waitInForce("", 0, 10*time.Second) }

// watchers returns the running daemons that watch the store for a data centre.
func (f *fleet) watchers(dc cataloger.DataCentre) []*daemon {
	var out []*daemon
	for _, m := range Watchers(f.members(), dc) {
		out = append(out, f.find(m.Name))
	}
	return out
}

func source(name, owner string) []byte {
	return fmt.Appendf(nil, "format: rattantray/service/v1\nname: %s\nowner: %s\ntype: plain\nworkspaces:\n  - name: counter\nplain:\n  methods:\n    - name: GET /\n", name, owner)
}

func (d *daemon) apply(name, owner string, expected uint64) *v1.ApplyResponse {
	resp, err := d.Apply(d.fleet.ctx, &v1.ApplyRequest{Document: source(name, owner), ExpectedVersion: &expected, Author: owner})
	require.NoError(d.fleet.t, err)
	return resp
}

func (f *fleet) mustApply(d *daemon, name, owner string, expected uint64) uint64 {
	f.t.Helper()
	resp := d.apply(name, owner, expected)
	require.Equal(f.t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, resp.Result, resp.Message)
	return resp.Version
}

func inBubble(t *testing.T, size, dataCentres int, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, size, dataCentres)
		f.startAll()
		defer f.stopAll()
		f.waitReady()
		run(t, f)
	})
}
