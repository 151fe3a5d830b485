package solver

import "math"

// tolerance is the share of the widest path's capacity below which a residual capacity counts as zero.
const tolerance = 1e-9

// Exponents of the smallest and the largest positive float64.
const (
	minExponent = -1075
	maxExponent = 1024
)

// Network is a directed graph with capacities; it is not safe for concurrent use.
type Network struct {
	firstArc []int32
	arcs     []arc
	level    []int32
	nextArc  []int32
	queue    []int32
	epsilon  float64
	// scale is the capacity of the widest path; 0 if it must be computed.
	scale float64
}

// arc is one direction of an edge; arc i and arc i^1 are the two directions.
type arc struct {
	to         int32
	nextAtNode int32
	residual   float64
	capacity   float64
}

// NewNetwork returns a network without edges; its nodes are numbered from 0.
func NewNetwork(nodes int) *Network {
	n := &Network{firstArc: make([]int32, nodes), level: make([]int32, nodes), nextArc: make([]int32, nodes)}
	for i := range n.firstArc {
		n.firstArc[i] = -1
	}
	return n
}

// AddEdge adds an edge and returns its number; a capacity may be infinite, and a negative one counts as 0.
func (n *Network) AddEdge(from, to int, capacity float64) int {
	capacity = max(capacity, 0)
	n.scale = 0
	id := len(n.arcs)
	n.arcs = append(n.arcs,
		arc{to: int32(to), nextAtNode: n.firstArc[from], residual: capacity, capacity: capacity},
		arc{to: int32(from), nextAtNode: n.firstArc[to]})
	n.firstArc[from] = int32(id)
	n.firstArc[to] = int32(id + 1)
	return id
}

// Flow returns the flow over an edge.
func (n *Network) Flow(edge int) float64 {
	return max(n.arcs[edge^1].residual, 0)
}

// Capacity returns the capacity of an edge.
func (n *Network) Capacity(edge int) float64 { return n.arcs[edge].capacity }

// SetCapacity sets the capacity of an edge, but not below its flow; MaxFlow may then be called again.
func (n *Network) SetCapacity(edge int, capacity float64) {
	flow := n.Flow(edge)
	n.arcs[edge].capacity = max(capacity, flow)
	if capacity > n.scale {
		n.scale = 0
	}
	n.arcs[edge].residual = n.arcs[edge].capacity - flow
}

// Reset removes all flow and sets the capacity of each edge to the one that capacity returns for its number and old capacity.
func (n *Network) Reset(capacity func(edge int, old float64) float64) {
	n.scale = 0
	for e := 0; e < len(n.arcs); e += 2 {
		c := max(capacity(e, n.arcs[e].capacity), 0)
		n.arcs[e].capacity, n.arcs[e].residual = c, c
		n.arcs[e+1].residual = 0
	}
}

// InMinCut reports whether an edge is in the minimum cut found by the last MaxFlow.
func (n *Network) InMinCut(edge int) bool {
	return n.level[n.arcs[edge^1].to] >= 0 && n.level[n.arcs[edge].to] < 0
}

// MaxFlow raises the flow from source to sink to its maximum and returns the added flow. If a path of infinite capacity
// leads from source to sink, it returns infinity and adds no flow.
func (n *Network) MaxFlow(source, sink int) float64 {
	if n.scale == 0 {
		n.scale = n.widestPath(source, sink)
	}
	if math.IsInf(n.scale, 1) {
		return n.scale
	}
	n.epsilon = n.scale * tolerance
	added := 0.0
	for n.assignLevels(source, sink) {
		copy(n.nextArc, n.firstArc)
		for {
			f := n.augment(int32(source), int32(sink), math.Inf(1))
			if f <= n.epsilon {
				break
			}
			added += f
		}
	}
	return added
}

// widestPath returns the capacity of the widest path, rounded down to a power of two, or the largest capacity if that is
// close to it. It is the scale of the flow, which must not depend on capacities that no path can use.
func (n *Network) widestPath(source, sink int) float64 {
	if n.hasPath(source, sink, math.MaxFloat64) {
		return math.Inf(1)
	}
	largest := n.largestCapacity()
	if n.hasPath(source, sink, largest/maxCapacityRatio) {
		return largest
	}
	low, high := minExponent, maxExponent
	for high-low > 1 {
		mid := (low + high) / 2
		if n.hasPath(source, sink, math.Ldexp(1, mid)) {
			low = mid
		} else {
			high = mid
		}
	}
	return math.Ldexp(1, low)
}

// maxCapacityRatio is the ratio up to which the largest capacity counts as close to the widest path.
const maxCapacityRatio = 128

// largestCapacity returns the largest finite capacity.
func (n *Network) largestCapacity() float64 {
	largest := 0.0
	for i := 0; i < len(n.arcs); i += 2 {
		if c := n.arcs[i].capacity; !math.IsInf(c, 1) {
			largest = max(largest, c)
		}
	}
	return largest
}

// hasPath reports whether a path on which every edge has more than a capacity leads to sink.
func (n *Network) hasPath(source, sink int, capacity float64) bool {
	return n.search(source, sink, capacity, false)
}

// assignLevels sets the level of each node to its residual distance from source, and reports whether sink is reached.
func (n *Network) assignLevels(source, sink int) bool {
	return n.search(source, sink, n.epsilon, true)
}

// search sets the level of each node to its distance from source over the arcs whose residual, or capacity if useResidual
// is false, exceeds threshold. It reports whether sink is reached.
func (n *Network) search(source, sink int, threshold float64, useResidual bool) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	n.queue = append(n.queue[:0], int32(source))
	for q := 0; q < len(n.queue); q++ {
		v := n.queue[q]
		for e := n.firstArc[v]; e >= 0; e = n.arcs[e].nextAtNode {
			a := &n.arcs[e]
			available := a.residual
			if !useResidual {
				available = a.capacity
			}
			if available > threshold && n.level[a.to] < 0 {
				n.level[a.to] = n.level[v] + 1
				n.queue = append(n.queue, a.to)
			}
		}
	}
	return n.level[sink] >= 0
}

// augment sends up to limit from v to sink, over arcs to the next level only, and returns the flow that it sent.
func (n *Network) augment(v, sink int32, limit float64) float64 {
	if v == sink {
		return limit
	}
	sent := 0.0
	for ; n.nextArc[v] >= 0; n.nextArc[v] = n.arcs[n.nextArc[v]].nextAtNode {
		e := n.nextArc[v]
		a := &n.arcs[e]
		if a.residual <= n.epsilon || n.level[a.to] != n.level[v]+1 {
			continue
		}
		f := n.augment(a.to, sink, min(limit-sent, a.residual))
		if f <= 0 {
			continue
		}
		n.arcs[e].residual -= f
		n.arcs[e^1].residual += f
		sent += f
		if limit-sent <= n.epsilon {
			return sent
		}
	}
	return sent
}
