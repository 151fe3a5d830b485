package tracker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// node is a machine on the test network.
type node struct {
	m        *Machine
	name     string
	address  string
	dc       cataloger.DataCentre
	nextTick time.Duration
	alive    bool
	// pausedUntil is until when ticks and deliveries are suspended.
	pausedUntil time.Duration
	// skew is added to the network's time to get the machine's clock.
	skew     time.Duration
	sent     int
	received int
	bytes    int
}

type delivery struct {
	at   time.Duration
	seq  int
	from string
	to   string
	msg  *peerv1.Gossip
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// network delivers messages between machines in virtual time.
type network struct {
	random  *rand.Rand
	now     time.Duration
	seq     int
	nodes   map[string]*node
	order   []*node
	queue   deliveries
	loss    float64
	dup     float64
	delay   time.Duration
	jitter  time.Duration
	blocked func(from, to *node) bool
	// count enables counting the encoded bytes.
	count  bool
	onStep func(n *node)
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, seed)),
		nodes:  map[string]*node{},
		delay:  time.Millisecond,
		jitter: time.Millisecond,
	}
}

// add starts a node; it replaces a node that has the same address.
func (n *network) add(name string, dc, region string, incarnation uint64, seeds ...string) *node {
	address := name + ":1"
	self := cataloger.Member{
		Name:        name,
		Incarnation: incarnation,
		Address:     name + ":80",
		PeerAddress: address,
		DataCentre:  cataloger.DataCentre(dc),
		Region:      region,
	}
	random := rand.New(rand.NewPCG(n.random.Uint64(), 1))
	nd := &node{
		m:       NewMachine(Options{}, self, random.Uint64(), seeds, random, n.now),
		name:    name,
		address: address,
		dc:      self.DataCentre,
		alive:   true,
	}
	nd.nextTick = n.now + time.Duration(n.random.Int64N(int64(100*time.Millisecond)))
	if old := n.nodes[address]; old != nil {
		for i := range n.order {
			if n.order[i] == old {
				n.order[i] = nd
			}
		}
	} else {
		n.order = append(n.order, nd)
	}
	n.nodes[address] = nd
	return nd
}

func (n *network) post(from *node, out []Message) {
	for _, msg := range out {
		from.sent++
		if n.count {
			from.bytes += proto.Size(msg.Gossip)
		}
		copies := 1
		if n.random.Float64() < n.dup {
			copies = 2
		}
		for range copies {
			if n.random.Float64() < n.loss {
				continue
			}
			n.seq++
			at := n.now + n.delay + time.Duration(n.random.Int64N(int64(n.jitter)+1))
			heap.Push(&n.queue, delivery{at: at, seq: n.seq, from: from.address, to: msg.To, msg: msg.Gossip})
		}
	}
}

// run advances the virtual time by d, with all ticks and deliveries that are due.
func (n *network) run(d time.Duration) {
	end := n.now + d
	for {
		next := n.nextNode()
		at := end
		if next != nil && next.nextTick < at {
			at = next.nextTick
		}
		if len(n.queue) > 0 && n.queue[0].at <= at {
			n.deliver(heap.Pop(&n.queue).(delivery))
			continue
		}
		n.now = at
		if at >= end {
			return
		}
		next.nextTick += 100 * time.Millisecond
		if next.pausedUntil > n.now {
			next.nextTick = next.pausedUntil
			continue
		}
		n.post(next, next.m.Tick(n.now+next.skew))
		if n.onStep != nil {
			n.onStep(next)
		}
	}
}

// pause suspends a node for d from now; for a node that is paused already, this replaces the end of its pause.
func (n *network) pause(nd *node, d time.Duration) {
	nd.pausedUntil = n.now + d
	nd.nextTick = min(nd.nextTick, nd.pausedUntil)
}

func (n *network) nextNode() *node {
	var best *node
	for _, nd := range n.order {
		if nd.alive && (best == nil || nd.nextTick < best.nextTick) {
			best = nd
		}
	}
	return best
}

func (n *network) deliver(d delivery) {
	n.now = max(n.now, d.at)
	from, to := n.nodes[d.from], n.nodes[d.to]
	if to == nil || !to.alive || n.blocked != nil && n.blocked(from, to) {
		return
	}
	if to.pausedUntil > n.now {
		d.at = to.pausedUntil
		heap.Push(&n.queue, d)
		return
	}
	to.received++
	n.post(to, to.m.Receive(n.now+to.skew, from.name, d.msg))
	if n.onStep != nil {
		n.onStep(to)
	}
}

// grow adds size nodes, distributed evenly over data centres.
func (n *network) grow(size, dataCentres int) {
	for i := range size {
		dc := i % dataCentres
		n.add(fmt.Sprintf("r%03d", i), fmt.Sprintf("dc%02d", dc), fmt.Sprintf("region%d", dc/2), 1, "r000:1", "r001:1")
	}
}

// states returns how many of the other running nodes see a member in each state.
func (n *network) states(name string) map[cataloger.State]int {
	out := map[cataloger.State]int{}
	for _, nd := range n.order {
		if !nd.alive || nd.name == name {
			continue
		}
		out[nd.state(name)]++
	}
	return out
}

func (nd *node) state(name string) cataloger.State {
	e := nd.m.members[name]
	if e == nil || !e.present() {
		return cataloger.StateDead
	}
	return nd.m.member(e, func(time.Duration) time.Time { return time.Time{} }).State
}

// Ticks and deliveries must stop and resume together, since a daemon handles both in one loop.
func TestPauseOfAPausedNodeMovesItsEnd(t *testing.T) {
	for name, second := range map[string]time.Duration{"sooner": 100 * time.Millisecond, "later": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1)
			n.grow(3, 1)
			n.run(time.Second)
			nd := n.order[1]
			n.pause(nd, 10*time.Second)
			n.run(300 * time.Millisecond)
			n.pause(nd, second)
			var ticked, delivered time.Duration
			received := nd.received
			n.onStep = func(stepped *node) {
				switch {
				case stepped != nd:
				case nd.received > received:
					received = nd.received
					delivered = max(delivered, n.now)
				case ticked == 0:
					ticked = n.now
				}
			}
			end := nd.pausedUntil
			n.run(second + time.Second)
			require.InDelta(t, end, ticked, float64(100*time.Millisecond))
			require.Greater(t, delivered, end)
		})
	}
}
