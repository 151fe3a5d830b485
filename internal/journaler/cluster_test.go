package journaler

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// memoryStore is an in-memory object API with latency and faults.
type memoryStore struct {
	mu       sync.Mutex
	objects  map[string]version
	revision storer.Point
	latency  time.Duration
	down     bool
	// headPutDelay is how much longer a put of a head takes before it has its effect.
	headPutDelay time.Duration
	// lostAnswerPercent is the percentage of writes whose answer is lost after they took effect.
	lostAnswerPercent int
	rng               *rand.Rand
	puts              int
	bytes             int
	gets              int
}

func newMemoryStore(latency time.Duration) *memoryStore {
	return &memoryStore{objects: map[string]version{}, latency: latency}
}

func (m *memoryStore) update(change func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *memoryStore) startCall(ctx context.Context, key string, put bool) error {
	m.mu.Lock()
	wait, down := m.latency, m.down
	if put && strings.HasPrefix(key, "journal/heads/") {
		wait += m.headPutDelay
	}
	m.mu.Unlock()
	if err := (timer.System{}).Sleep(ctx, wait); err != nil {
		return storer.ErrUncertain
	}
	if down {
		return storer.ErrUnavailable
	}
	return nil
}

func (m *memoryStore) store() storer.Store {
	return storer.Store{
		Get: func(ctx context.Context, key string) (storer.Object, error) {
			if err := m.startCall(ctx, key, false); err != nil {
				return storer.Object{}, err
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.gets++
			res := getResult(key, m.objects[key])
			return res.object, res.err
		},
		Put: func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
			if err := m.startCall(ctx, key, true); err != nil {
				return 0, err
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.puts++
			m.bytes += len(value)
			if m.objects[key].version != expected {
				return 0, storer.ErrConflict
			}
			m.revision++
			m.objects[key] = version{value: value, version: m.revision}
			if m.lostAnswerPercent > 0 && m.rng.IntN(100) < m.lostAnswerPercent {
				return 0, storer.ErrUncertain
			}
			return m.revision, nil
		},
		Delete: func(ctx context.Context, key string, expected storer.Point) (storer.Point, error) {
			if err := m.startCall(ctx, key, true); err != nil {
				return 0, err
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.objects[key].version != expected {
				return 0, storer.ErrConflict
			}
			m.revision++
			delete(m.objects, key)
			return m.revision, nil
		},
	}
}

// cluster connects journalers by direct calls.
type cluster struct {
	store *memoryStore
	mu    sync.Mutex
	nodes map[string]*node
	// owners caches the owner of each shard.
	owners [Shards]cataloger.Member
	limits Limits
	// bound is the result of UsesBoundMode for the workspace of the tests.
	bound bool
}

type node struct {
	*Journaler
	member      cataloger.Member
	handlers    map[string]linker.Handler
	cancel      context.CancelFunc
	done        chan struct{}
	unreachable bool
	// killed makes every write of the node fail, as if its process had ended.
	killed atomic.Bool
}

func newCluster(store *memoryStore, names ...string) *cluster {
	c := &cluster{store: store, nodes: map[string]*node{}, limits: DefaultLimits()}
	for _, name := range names {
		c.add(name, 1)
	}
	return c
}

func (c *cluster) add(name string, incarnation uint64) *node {
	n := &node{member: cataloger.Member{Name: name, Incarnation: incarnation, PeerAddress: name}, done: make(chan struct{})}
	api := c.store.store()
	put := api.Put
	api.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		if n.killed.Load() {
			return 0, storer.ErrUnavailable
		}
		return put(ctx, key, value, expected)
	}
	n.Journaler = &Journaler{
		Clock:           timer.System{},
		Store:           api,
		Link:            linker.Link{Call: c.caller(name)},
		Rand:            rand.New(rand.NewPCG(xxhash.Sum64String(name), incarnation)),
		Limits:          c.limits,
		Self:            func() cataloger.Member { return n.member },
		Owner:           c.owner,
		Alive:           c.alive,
		FindIncarnation: c.find,
		UsesBoundMode:   func(w cataloger.Workspace) bool { return w == "schalter" && c.bound },
		Members:         c.members,
	}
	n.handlers = n.Handlers()
	c.mu.Lock()
	c.nodes[name] = n
	c.assignOwners()
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	for !n.running.Load() {
		time.Sleep(time.Millisecond)
	}
	return n
}

// assignOwners assigns each shard to the live node with the highest hash.
func (c *cluster) assignOwners() {
	for shard := range c.owners {
		var highest uint64
		c.owners[shard] = cataloger.Member{}
		for name, n := range c.nodes {
			if h := xxhash.Sum64([]byte{byte(shard), name[0], name[len(name)-1]}); h >= highest {
				highest = h
				c.owners[shard] = n.member
			}
		}
	}
}

func (c *cluster) owner(shard uint32) (cataloger.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.owners[shard]
	return m, m.Name != ""
}

func (c *cluster) alive(name string, incarnation uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.nodes[name]
	return ok && n.member.Incarnation == incarnation
}

func (c *cluster) members() []cataloger.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []cataloger.Member
	for _, n := range c.nodes {
		all = append(all, n.member)
	}
	return all
}

func (c *cluster) find(incarnation string) (cataloger.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if IncarnationName(n.member) == incarnation {
			return n.member, true
		}
	}
	return cataloger.Member{}, false
}

func (c *cluster) caller(sender string) func(ctx context.Context, address, method string, req, resp proto.Message) error {
	return func(ctx context.Context, address, method string, req, resp proto.Message) error {
		c.mu.Lock()
		n, ok := c.nodes[address]
		unreachable := ok && n.unreachable
		c.mu.Unlock()
		if !ok || unreachable {
			return refuser.New(refuser.PeerUnavailable, "%s", address)
		}
		body, err := proto.Marshal(req)
		if err != nil {
			return err
		}
		out, err := n.handlers[method](ctx, sender, body)
		if err != nil {
			return err
		}
		b, err := proto.Marshal(out)
		if err != nil {
			return err
		}
		return proto.Unmarshal(b, resp)
	}
}

// removeNode removes a node from every view and stops it; a graceful stop writes all pending records.
func (c *cluster) removeNode(name string, graceful bool) {
	c.mu.Lock()
	n := c.nodes[name]
	if n == nil {
		c.mu.Unlock()
		return
	}
	delete(c.nodes, name)
	c.assignOwners()
	c.mu.Unlock()
	if !graceful {
		n.killed.Store(true)
	}
	n.cancel()
	<-n.done
}

func (c *cluster) stop() {
	c.mu.Lock()
	var all []*node
	for _, n := range c.nodes {
		all = append(all, n)
	}
	c.mu.Unlock()
	for _, n := range all {
		n.cancel()
	}
	for _, n := range all {
		<-n.done
	}
}

func requestWithin(d time.Duration, id string) Request {
	return Request{
		Workspace: "schalter", ID: id, PayloadDigest: [32]byte{1}, Deadline: time.Now().Add(d),
		Retention: time.Hour, AnswerBytes: 1 << 10,
	}
}

func countingRun(runs *int, body string) RunFunc {
	return func(context.Context) (Answer, error) {
		*runs++
		return Answer{Status: 200, Body: []byte(body)}, nil
	}
}

func sleepUntilSettled(t testing.TB) {
	t.Helper()
	time.Sleep(2 * time.Second)
}
