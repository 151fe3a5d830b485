package solver

import "math"

// tolerance is the share of the widest path below which a residual counts as none.
const tolerance = 1e-9

// Exponents of the smallest and the largest positive float64.
const (
	leastExponent = -1075
	mostExponent  = 1024
)

// Network is a directed graph with capacities; it is not safe for concurrent use.
type Network struct {
	head  []int32
	edges []arc
	level []int32
	next  []int32
	queue []int32
	zero  float64
	// scale is the capacity of the widest path; 0 where it must be worked out.
	scale float64
}

// arc is one direction of an edge; arc i and arc i^1 are the two directions.
type arc struct {
	to       int32
	sibling  int32
	residual float64
	capacity float64
}

// NewNetwork returns a network of so many nodes, numbered from 0, without edges.
func NewNetwork(nodes int) *Network {
	n := &Network{head: make([]int32, nodes), level: make([]int32, nodes), next: make([]int32, nodes)}
	for i := range n.head {
		n.head[i] = -1
	}
	return n
}

// AddEdge adds an edge and returns its number; a capacity may be infinite, and a negative one is taken as 0.
func (n *Network) AddEdge(from, to int, capacity float64) int {
	capacity = max(capacity, 0)
	n.scale = 0
	id := len(n.edges)
	n.edges = append(n.edges,
		arc{to: int32(to), sibling: n.head[from], residual: capacity, capacity: capacity},
		arc{to: int32(from), sibling: n.head[to]})
	n.head[from] = int32(id)
	n.head[to] = int32(id + 1)
	return id
}

// Flow returns the flow over an edge.
func (n *Network) Flow(edge int) float64 {
	return max(n.edges[edge^1].residual, 0)
}

// Capacity returns the capacity of an edge.
func (n *Network) Capacity(edge int) float64 { return n.edges[edge].capacity }

// SetCapacity changes the capacity of an edge to at least its flow; MaxFlow may then be called again.
func (n *Network) SetCapacity(edge int, capacity float64) {
	flow := n.Flow(edge)
	n.edges[edge].capacity = max(capacity, flow)
	if capacity > n.scale {
		n.scale = 0
	}
	n.edges[edge].residual = n.edges[edge].capacity - flow
}

// Reset takes all flow off the network and gives an edge another capacity by its number.
func (n *Network) Reset(capacity func(edge int, old float64) float64) {
	n.scale = 0
	for e := 0; e < len(n.edges); e += 2 {
		c := max(capacity(e, n.edges[e].capacity), 0)
		n.edges[e].capacity, n.edges[e].residual = c, c
		n.edges[e+1].residual = 0
	}
}

// Cut tells whether an edge is in the minimum cut that ended the last MaxFlow.
func (n *Network) InMinCut(edge int) bool {
	return n.level[n.edges[edge^1].to] >= 0 && n.level[n.edges[edge].to] < 0
}

// MaxFlow raises the flow from source to sink to its maximum and returns what was added since the last call; it is
// infinite, and no flow is set, where a path of infinite capacity leads there.
func (n *Network) MaxFlow(source, sink int) float64 {
	if n.scale == 0 {
		n.scale = n.widest(source, sink)
	}
	if math.IsInf(n.scale, 1) {
		return n.scale
	}
	n.zero = n.scale * tolerance
	added := 0.0
	for n.rank(source, sink) {
		copy(n.next, n.head)
		for {
			f := n.push(int32(source), int32(sink), math.Inf(1))
			if f <= n.zero {
				break
			}
			added += f
		}
	}
	return added
}

// widest returns the capacity of the widest path, down to a power of two, or the largest capacity where it is not far
// off. It is the scale of the flow, which capacities that no path can use must not set.
func (n *Network) widest(source, sink int) float64 {
	if n.reaches(source, sink, math.MaxFloat64) {
		return math.Inf(1)
	}
	largest := n.largest()
	if n.reaches(source, sink, largest/near) {
		return largest
	}
	low, high := leastExponent, mostExponent
	for high-low > 1 {
		mid := (low + high) / 2
		if n.reaches(source, sink, math.Ldexp(1, mid)) {
			low = mid
		} else {
			high = mid
		}
	}
	return math.Ldexp(1, low)
}

// near is the ratio up to which the largest capacity stands for the widest path.
const near = 128

// largest returns the largest finite capacity.
func (n *Network) largest() float64 {
	largest := 0.0
	for i := 0; i < len(n.edges); i += 2 {
		if c := n.edges[i].capacity; !math.IsInf(c, 1) {
			largest = max(largest, c)
		}
	}
	return largest
}

// reaches tells whether a path of more than so much capacity leads to sink.
func (n *Network) reaches(source, sink int, capacity float64) bool {
	return n.search(source, sink, capacity, false)
}

// rank numbers the nodes by their distance from source and tells whether sink is reached.
func (n *Network) rank(source, sink int) bool {
	return n.search(source, sink, n.zero, true)
}

// search numbers the nodes by their distance over the arcs with more than so much residual, or else capacity, and tells
// whether sink is reached.
func (n *Network) search(source, sink int, least float64, residual bool) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	n.queue = append(n.queue[:0], int32(source))
	for q := 0; q < len(n.queue); q++ {
		v := n.queue[q]
		for e := n.head[v]; e >= 0; e = n.edges[e].sibling {
			a := &n.edges[e]
			room := a.residual
			if !residual {
				room = a.capacity
			}
			if room > least && n.level[a.to] < 0 {
				n.level[a.to] = n.level[v] + 1
				n.queue = append(n.queue, a.to)
			}
		}
	}
	return n.level[sink] >= 0
}

// push sends up to limit from v to sink along ranked edges and returns what it sent.
func (n *Network) push(v, sink int32, limit float64) float64 {
	if v == sink {
		return limit
	}
	sent := 0.0
	for ; n.next[v] >= 0; n.next[v] = n.edges[n.next[v]].sibling {
		e := n.next[v]
		a := &n.edges[e]
		if a.residual <= n.zero || n.level[a.to] != n.level[v]+1 {
			continue
		}
		f := n.push(a.to, sink, min(limit-sent, a.residual))
		if f <= 0 {
			continue
		}
		n.edges[e].residual -= f
		n.edges[e^1].residual += f
		sent += f
		if limit-sent <= n.zero {
			return sent
		}
	}
	return sent
}
