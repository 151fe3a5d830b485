package selector

import (
	"math"
	"math/rand/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// chooser returns one of the targets that can continue from a layer; previous is the target that ran the layers before,
// or -1.
type chooser func(router int, layer uint32, previous int, candidates []int) int

// stepwise builds a route target by target; each runs all the remaining layers that it holds.
func stepwise(name string, q *queueModel, choose chooser) policy {
	byLayer := make([][]int, q.model.Layers)
	for i, t := range q.fleet.Targets {
		for l := t.Holdings[0].FirstLayer; l < t.Holdings[0].EndLayer; l++ {
			byLayer[l] = append(byLayer[l], i)
		}
	}
	return policy{name: name, pick: func(router int, _ Request) (cataloger.Route, *Permit) {
		var r cataloger.Route
		previous := -1
		for layer := uint32(0); layer < q.model.Layers; {
			i := choose(router, layer, previous, byLayer[layer])
			t := q.fleet.Targets[i]
			end := t.Holdings[0].EndLayer
			r.Stages = append(r.Stages, cataloger.Stage{Target: t.Name, FirstLayer: layer, EndLayer: end})
			layer, previous = end, i
		}
		return r, nil
	}}
}

func randomPolicy(q *queueModel) (policy, func()) {
	rng := rand.New(rand.NewPCG(5, 5))
	return stepwise("random", q, func(_ int, _ uint32, _ int, c []int) int { return c[rng.IntN(len(c))] }), func() {}
}

func roundRobinPolicy(q *queueModel) (policy, func()) {
	next := make([]map[uint32]int, routers)
	for i := range next {
		next[i] = map[uint32]int{}
	}
	return stepwise("round-robin", q, func(router int, layer uint32, _ int, c []int) int {
		next[router][layer]++
		return c[(next[router][layer]+router)%len(c)]
	}), func() {}
}

// leastOutstandingPolicy picks the target with the fewest streams on its own router.
func leastOutstandingPolicy(q *queueModel) (policy, func()) {
	rng := rand.New(rand.NewPCG(6, 6))
	streams := make([][]int, routers)
	for i := range streams {
		streams[i] = make([]int, len(q.fleet.Targets))
	}
	p := stepwise("least-outstanding", q, func(router int, _ uint32, _ int, c []int) int {
		best, offset := -1, rng.IntN(len(c))
		for k := range c {
			i := c[(k+offset)%len(c)]
			if best < 0 || streams[router][i] < streams[router][best] {
				best = i
			}
		}
		return best
	})
	pick := p.pick
	p.pick = func(router int, req Request) (cataloger.Route, *Permit) {
		r, permit := pick(router, req)
		for _, s := range r.Stages {
			streams[router][q.index[s.Target]]++
		}
		return r, permit
	}
	p.done = func(router int, r cataloger.Route) {
		for _, s := range r.Stages {
			streams[router][q.index[s.Target]]--
		}
	}
	return p, func() {}
}

// shortestPathPolicy always picks the chain with the least service and transfer time on an idle fleet.
func shortestPathPolicy(q *queueModel) (policy, func()) {
	type best struct {
		cost float64
		next int
	}
	memo := map[[2]int]best{}
	var solve func(previous, layer int) best
	solve = func(previous, layer int) best {
		if layer == int(q.model.Layers) {
			return best{}
		}
		if b, ok := memo[[2]int{previous, layer}]; ok {
			return b
		}
		b := best{cost: math.Inf(1), next: -1}
		for i, t := range q.fleet.Targets {
			h := t.Holdings[0]
			if int(h.FirstLayer) > layer || int(h.EndLayer) <= layer {
				continue
			}
			cost := float64(int(h.EndLayer)-layer)/t.DecodeRate + solve(i, int(h.EndLayer)).cost
			if previous >= 0 {
				l := q.nominal(q.fleet.Targets[previous], t)
				cost += l.LatencySeconds + float64(q.model.ActivationBytes)/l.Bandwidth
			}
			if cost < b.cost {
				b = best{cost, i}
			}
		}
		memo[[2]int{previous, layer}] = b
		return b
	}
	return stepwise("shortest-path", q, func(_ int, layer uint32, previous int, _ []int) int {
		return solve(previous, int(layer)).next
	}), func() {}
}
