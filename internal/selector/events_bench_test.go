package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// cacheEventsPolicy is the selector with the cache events of a share of the targets, drawn separately for each router.
func cacheEventsPolicy(share float64) func(q *queueModel) (policy, func()) {
	return func(q *queueModel) (policy, func()) {
		var selectors []*Selector
		var followed []map[string]bool
		for i := range routers {
			s := New(q.clock, rand.New(rand.NewPCG(uint64(i), 3)))
			s.Update(q.fleet, []Model{q.model})
			selectors = append(selectors, s)
			draw := rand.New(rand.NewPCG(uint64(i), 11))
			follows := map[string]bool{}
			for _, t := range q.fleet.Targets {
				follows[t.Name] = draw.Float64() < share
			}
			followed = append(followed, follows)
		}
		ticks := 0
		onTick := func() {
			for _, c := range q.changes {
				for i, s := range selectors {
					if followed[i][c.target] {
						s.ObserveCache(c.target, c.prefix, c.removed)
					}
				}
			}
			q.changes = q.changes[:0]
			q.sendReports(selectors)
			ticks++
			if ticks%4 == 0 {
				for _, s := range selectors {
					s.RecomputeWeights()
				}
			}
		}
		return policy{name: "flow", pick: func(router int, req Request) (cataloger.Route, *Permit) {
			route, permit, err := selectors[router].Pick(req)
			if err != nil {
				panic(err)
			}
			return route, permit
		}}, onTick
	}
}

// BenchmarkEvents runs the mixes that share prompt prefixes with the cache events of no, some and all targets.
func BenchmarkEvents(b *testing.B) {
	for _, m := range mixes() {
		if !m.cached {
			continue
		}
		bound := m.bound()
		for _, groups := range []int{m.load.groups, 8 * m.load.groups} {
			for _, share := range []float64{0, 0.25, 1} {
				b.Run(fmt.Sprintf("%s/groups=%d/followed=%g", m.name, groups, share), func(b *testing.B) {
					m.load.groups = groups
					var closed, open result
					for b.Loop() {
						closed = m.run(cacheEventsPolicy(share), workload{streams: 300}, 5)
						open = m.run(cacheEventsPolicy(share), workload{rate: 0.7 * bound / float64(m.load.outputTokens)}, 9)
					}
					b.ReportMetric(closed.throughput/bound, "of-bound")
					b.ReportMetric(open.p95(open.first)*1000, "ms-first-p95")
				})
			}
		}
	}
}
