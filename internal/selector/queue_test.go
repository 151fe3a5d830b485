package selector

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// policy picks the route of a request; all policies see the same fleet.
type policy struct {
	name string
	pick func(router int, req Request) (cataloger.Route, *Permit)
	// done is called when a stream ends.
	done func(router int, route cataloger.Route)
}

// workload describes the requests of the clients.
type workload struct {
	promptTokens int
	outputTokens int
	// groups is the number of shared prompt prefixes; 0 makes every prompt unique.
	groups int
	// streams is the number of requests in progress under a closed load.
	streams int
	// rate is the number of requests per second of an open load.
	rate float64
}

// queueModel is a deterministic simulation of first-in-first-out accelerators and links in virtual time.
type queueModel struct {
	fleet      cataloger.Fleet
	model      Model
	load       workload
	clock      *timer.Manual
	start      time.Time
	rng        *rand.Rand
	index      map[string]int
	busy       []float64
	running    []int
	cached     []map[uint64]bool
	cacheOrder [][]uint64
	// changes are cache events that have not been reported.
	changes  []cacheChange
	linkBusy map[linkKey]float64
	nominal  func(from, to cataloger.Target) cataloger.Link
	// slow returns the factor by which the transfer time of a link grows at a time in seconds.
	slow        func(now float64, from, to string) float64
	events      eventHeap
	seq         int
	measureFrom float64
	result      result
}

// result holds the measurements of a run after its warm-up.
type result struct {
	tokens     int
	throughput float64
	first      []float64
	gaps       []float64
}

func (r *result) p95(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)*95/100]
}

type event struct {
	at     float64
	seq    int
	stream *stream
	stage  int
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type stream struct {
	router   int
	route    cataloger.Route
	permit   *Permit
	prefixes []uint64
	began    float64
	last     float64
	token    int
	runs     []*commonv1.StageRun
}

const routers = 4

func newQueueModel(fleet cataloger.Fleet, model Model, load workload, seed uint64) *queueModel {
	start := time.Unix(1_000_000, 0)
	q := &queueModel{
		fleet: fleet, model: model, load: load, clock: timer.NewManual(start), start: start,
		rng: rand.New(rand.NewPCG(seed, 7)), index: map[string]int{}, linkBusy: map[linkKey]float64{},
		busy: make([]float64, len(fleet.Targets)), cacheOrder: make([][]uint64, len(fleet.Targets)), running: make([]int, len(fleet.Targets)),
	}
	for i, t := range fleet.Targets {
		q.index[t.Name] = i
		q.cached = append(q.cached, map[uint64]bool{})
	}
	return q
}

func (q *queueModel) setClock(now float64) {
	until := q.start.Add(time.Duration(now * float64(time.Second)))
	q.clock.Advance(until.Sub(q.clock.Now()))
}

func (q *queueModel) schedule(at float64, s *stream, stage int) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, s, stage})
}

// run drives the policy for warmUp seconds and then measures for length seconds. It calls onTick every 250 ms.
func (q *queueModel) run(p policy, warmUp, length float64, onTick func()) result {
	q.measureFrom = warmUp
	end := warmUp + length
	for i := range q.load.streams {
		q.schedule(float64(i)*0.0002, nil, i)
	}
	if q.load.rate > 0 {
		for at, i := 0.0, 0; at < end; i++ {
			at += q.rng.ExpFloat64() / q.load.rate
			q.schedule(at, nil, i)
		}
	}
	nextReport := 0.0
	for q.events.Len() > 0 {
		e := heap.Pop(&q.events).(event)
		if e.at > end {
			break
		}
		if e.at >= nextReport {
			q.setClock(e.at)
			onTick()
			nextReport = e.at + 0.25
		}
		if e.stream == nil {
			q.arrive(p, e.at, e.stage%routers)
			continue
		}
		q.runStage(p, e)
	}
	q.countWaiting(end)
	q.result.throughput = float64(q.result.tokens) / length
	return q.result
}

// countWaiting adds the streams started after the warm-up that still wait for their first token.
func (q *queueModel) countWaiting(end float64) {
	for _, e := range q.events {
		if e.stream != nil && e.stream.token == 0 && e.stream.began >= q.measureFrom {
			q.result.first = append(q.result.first, end-e.stream.began)
		}
	}
}

func (q *queueModel) arrive(p policy, now float64, router int) {
	q.setClock(now)
	s := &stream{router: router, began: now}
	req := Request{
		Model: q.model.Name, Version: q.model.Version,
		PromptTokens: q.load.promptTokens, MaxTokens: uint32(q.load.outputTokens),
	}
	if q.load.groups > 0 {
		blocks := q.load.promptTokens * engineer.PromptBytesPerToken / engineer.PrefixBlockBytes
		group := uint64(q.rng.IntN(q.load.groups))
		for i := range min(blocks, engineer.MaxPrefixBlocks) {
			s.prefixes = append(s.prefixes, group<<16|uint64(i))
		}
		req.Prefixes = s.prefixes
	}
	s.route, s.permit = p.pick(router, req)
	for _, st := range s.route.Stages {
		q.running[q.index[st.Target]]++
	}
	q.schedule(now, s, 0)
}

// runStage processes the arrival of a token at a stage.
func (q *queueModel) runStage(p policy, e event) {
	s := e.stream
	st := s.route.Stages[e.stage]
	i := q.index[st.Target]
	t := q.fleet.Targets[i]
	layers := float64(st.EndLayer - st.FirstLayer)
	work := layers / t.DecodeRate
	carried := 1.0
	if s.token == 0 {
		uncached := float64(q.uncached(i, s))
		work += layers * uncached / t.PrefillRate
		carried += uncached
	}
	q.busy[i] = max(q.busy[i], e.at) + work
	done := q.busy[i]
	s.runs = append(s.runs, &commonv1.StageRun{Target: t.Name, FirstLayer: st.FirstLayer, EndLayer: st.EndLayer, Duration: seconds(done - e.at)})
	if e.stage+1 < len(s.route.Stages) {
		next := s.route.Stages[e.stage+1]
		q.schedule(q.transfer(done, t, q.fleet.Targets[q.index[next.Target]], carried), s, e.stage+1)
		return
	}
	q.finishToken(p, s, done)
}

func seconds(s float64) *durationpb.Duration {
	return durationpb.New(time.Duration(s * float64(time.Second)))
}

// uncached returns the number of prompt tokens that must be prefilled, and caches their prefixes.
func (q *queueModel) uncached(i int, s *stream) int {
	blocks, counting := 0, true
	for _, p := range s.prefixes {
		counting = counting && q.cached[i][p]
		if counting {
			blocks++
		}
		if !q.cached[i][p] {
			q.cached[i][p] = true
			q.cacheOrder[i] = append(q.cacheOrder[i], p)
			q.recordCacheChange(i, p, false)
		}
	}
	for len(q.cacheOrder[i]) > cacheBlocks {
		old := q.cacheOrder[i][0]
		q.cacheOrder[i] = q.cacheOrder[i][1:]
		delete(q.cached[i], old)
		q.recordCacheChange(i, old, true)
	}
	return max(q.load.promptTokens-blocks*engineer.PrefixBlockBytes/engineer.PromptBytesPerToken, 0)
}

// cacheBlocks is the size of a target's prefix cache, eventLossShare the share of its events that are lost.
const (
	cacheBlocks    = 512
	eventLossShare = 0.1
)

type cacheChange struct {
	target  string
	prefix  uint64
	removed bool
}

func (q *queueModel) recordCacheChange(i int, prefix uint64, removed bool) {
	if q.rng.Float64() >= eventLossShare {
		q.changes = append(q.changes, cacheChange{q.fleet.Targets[i].Name, prefix, removed})
	}
}

func (q *queueModel) transfer(now float64, from, to cataloger.Target, tokens float64) float64 {
	l := q.nominal(from, to)
	elapsed := tokens * float64(q.model.ActivationBytes) / l.Bandwidth
	latency := l.LatencySeconds
	if q.slow != nil {
		factor := q.slow(now, from.Name, to.Name)
		elapsed, latency = elapsed*factor, latency*factor
	}
	k := linkKey{from.Name, to.Name}
	q.linkBusy[k] = max(q.linkBusy[k], now) + elapsed
	return q.linkBusy[k] + latency
}

// finishToken ends a token at the last stage and starts the next one.
func (q *queueModel) finishToken(p policy, s *stream, now float64) {
	if now >= q.measureFrom {
		q.result.tokens++
		if s.token == 0 {
			q.result.first = append(q.result.first, now-s.began)
		} else {
			q.result.gaps = append(q.result.gaps, now-s.last)
		}
	}
	s.last = now
	s.token++
	q.setClock(now)
	q.observeReceipt(s)
	s.runs = s.runs[:0]
	if s.token < q.load.outputTokens {
		q.schedule(now, s, 0)
		return
	}
	s.permit.Done()
	for _, st := range s.route.Stages {
		q.running[q.index[st.Target]]--
	}
	if p.done != nil {
		p.done(s.router, s.route)
	}
	if q.load.streams > 0 {
		q.schedule(now, nil, s.router)
	}
}

// observeReceipt passes the receipt with its transfer times to the permit.
func (q *queueModel) observeReceipt(s *stream) {
	if s.permit == nil {
		return
	}
	for i := 1; i < len(s.runs); i++ {
		from, to := q.fleet.Targets[q.index[s.runs[i-1].Target]], q.fleet.Targets[q.index[s.runs[i].Target]]
		l := q.nominal(from, to)
		elapsed := float64(q.model.ActivationBytes)/l.Bandwidth + l.LatencySeconds
		if q.slow != nil {
			elapsed *= q.slow(s.last, from.Name, to.Name)
		}
		wait := max(q.linkBusy[linkKey{from.Name, to.Name}]-s.last, 0)
		s.runs[i].Transfer = seconds(elapsed + wait)
	}
	s.permit.Observe(&commonv1.Receipt{Version: q.model.Version, Stages: s.runs})
}

// sendReports sends every selector the current load of every target and the cache events since the last call.
func (q *queueModel) sendReports(selectors []*Selector) {
	for _, c := range q.changes {
		for _, s := range selectors {
			s.ObserveCache(c.target, c.prefix, c.removed)
		}
	}
	q.changes = q.changes[:0]
	for i, t := range q.fleet.Targets {
		for _, s := range selectors {
			s.ObserveLoad(t.Name, &enginev1.LoadResponse{Running: uint32(q.running[i])})
		}
	}
}
