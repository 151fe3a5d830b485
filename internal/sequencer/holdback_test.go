package sequencer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// message is one answer that arrives where it is delivered.
type message struct {
	source int
	// order is its position in the order of sending; sent and arrived are in milliseconds.
	order   int
	sent    float64
	arrived float64
	lost    bool
}

// traffic describes how ten sources send messages.
type traffic struct {
	name string
	// gap draws the time between two messages of a source, delay the time until arrival, both in milliseconds.
	gap   func(*rand.Rand) float64
	delay func(*rand.Rand, int) float64
	loss  float64
}

var paperMeans = []float64{4, 6, 8, 10, 11, 15, 20, 25, 28, 30}

// paperTraffic uses the means of table 1 of the Sync-MS paper.
var paperTraffic = traffic{
	name:  "regular",
	gap:   func(r *rand.Rand) float64 { return 18 + r.NormFloat64() },
	delay: func(r *rand.Rand, i int) float64 { return math.Max(0.1, paperMeans[i]+r.NormFloat64()) },
}

// reportTraffic resembles reports requested by agents: irregular, with the run time of a model as the delay.
var reportTraffic = traffic{
	name:  "reports",
	gap:   func(r *rand.Rand) float64 { return r.ExpFloat64() * 2000 },
	delay: func(r *rand.Rand, _ int) float64 { return 1000 * math.Exp(0.6*r.NormFloat64()) },
	loss:  0.002,
}

func (tr traffic) messages(seed uint64, each int) []message {
	rng := rand.New(rand.NewPCG(seed, 11))
	var all []message
	for i := range paperMeans {
		t := rng.Float64() * 18
		for range each {
			t += math.Max(0.1, tr.gap(rng))
			all = append(all, message{source: i, sent: t, arrived: t + tr.delay(rng, i), lost: rng.Float64() < tr.loss})
		}
	}
	slices.SortFunc(all, func(a, b message) int { return cmpFloat(a.sent, b.sent) })
	for i := range all {
		all[i].order = i
	}
	return all
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// estimator is the delay estimator of the Sync-MS paper, section 6.1: mean and deviation, with a margin that grows if the
// newest deviation is large.
type estimator struct {
	mean, deviation float64
	// estimate is the upper estimate, lowEstimate the lower one.
	estimate, lowEstimate float64
	samples               int
}

func (e *estimator) add(d float64) {
	const alpha, beta = 1.0 / 8, 1.0 / 4
	e.samples++
	if e.samples == 1 {
		e.mean, e.deviation, e.estimate = d, d/2, 3*d
		return
	}
	deviation := math.Abs(d - e.mean)
	margin := 1.0
	switch {
	case deviation > e.deviation:
		margin = 4
	case deviation >= e.deviation/2:
		margin = 2
	}
	e.mean += alpha * (d - e.mean)
	e.deviation += beta * (deviation - e.deviation)
	e.estimate = e.mean + margin*e.deviation
	e.lowEstimate = e.mean - margin*e.deviation
}

// policyResult is the result of a policy: the added wait of each message and how many were delivered after a later one.
type policyResult struct {
	waits      []float64
	outOfOrder int
	// gapWaits is the wait of the messages behind a lost one.
	gapWaits []float64
}

// sourceSelection selects the sources for which a message is held back.
type sourceSelection uint8

const (
	// allSources is the paper's MaxWait.
	allSources sourceSelection = iota
	// likelySources is the paper's SelectWait with the upper estimate of the time between messages.
	likelySources
	// possibleSources is SelectWait with the lower estimate, which excludes fewer sources.
	possibleSources
)

// deliverByTime delivers by the time of sending, with the paper's MaxWait or SelectWait.
func deliverByTime(all []message, sources sourceSelection) policyResult {
	var out policyResult
	var delays, gaps [10]estimator
	var last [10]float64
	arrivals := sortedArrivals(all)
	var queue []message
	newest := -1
	// changed is when the estimates last changed; a message that they release is delivered no earlier.
	changed := 0.0
	deliver := func(now float64) {
		for len(queue) > 0 {
			head := queue[0]
			wait := 0.0
			for i := range delays {
				gap := gaps[i].estimate
				if sources == possibleSources {
					gap = gaps[i].lowEstimate
				}
				if sources == allSources || last[i]+gap <= head.sent {
					wait = math.Max(wait, delays[i].estimate)
				}
			}
			at := math.Max(math.Max(head.sent+wait, head.arrived), changed)
			if at > now {
				return
			}
			queue = queue[1:]
			out.waits = append(out.waits, at-head.arrived)
			if head.order < newest {
				out.outOfOrder++
			}
			newest = max(newest, head.order)
		}
	}
	for _, m := range arrivals {
		deliver(m.arrived)
		changed = m.arrived
		delays[m.source].add(m.arrived - m.sent)
		if last[m.source] > 0 && m.sent > last[m.source] {
			gaps[m.source].add(m.sent - last[m.source])
		}
		last[m.source] = math.Max(last[m.source], m.sent)
		i, _ := slices.BinarySearchFunc(queue, m, func(a, b message) int { return cmpFloat(a.sent, b.sent) })
		queue = slices.Insert(queue, i, m)
	}
	deliver(math.Inf(1))
	return out
}

func sortedArrivals(all []message) []message {
	var out []message
	for _, m := range all {
		if !m.lost {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b message) int { return cmpFloat(a.arrived, b.arrived) })
	return out
}

// deliverBySequence delivers by sequence numbers and skips a missing one after a wait: a fixed one, or the paper's estimate
// of how much later than its successor a message arrives.
func deliverBySequence(all []message, fixed float64) policyResult {
	var out policyResult
	var lateness estimator
	ready := map[int]message{}
	next, highest := 0, -1
	// seen is when the first message above an order arrived.
	seen := map[int]float64{}
	wait := func() float64 {
		if fixed > 0 {
			return fixed
		}
		if lateness.samples < 20 {
			return 10_000
		}
		return lateness.estimate
	}
	release := func(now float64) {
		for {
			if m, ok := ready[next]; ok {
				delete(ready, next)
				w := math.Max(now, m.arrived) - m.arrived
				out.waits = append(out.waits, w)
				next++
				continue
			}
			since, ok := seen[next]
			if !ok || (len(ready) == 0) || now < since+wait() {
				return
			}
			if all[next].lost {
				out.gapWaits = append(out.gapWaits, wait())
			}
			next++
		}
	}
	// Waits also end between arrivals; a step of a fifth of the mean gap is fine enough.
	step := 5.0
	now := 0.0
	for _, m := range sortedArrivals(all) {
		for now+step < m.arrived {
			now += step
			release(now)
		}
		now = m.arrived
		if since, ok := seen[m.order]; ok {
			lateness.add(m.arrived - since)
		}
		if m.order < next {
			out.outOfOrder++
			continue
		}
		for o := max(highest+1, next); o < m.order; o++ {
			seen[o] = m.arrived
		}
		highest = max(highest, m.order)
		ready[m.order] = m
		release(now)
	}
	return out
}

// BenchmarkHoldBack compares policies that hold answers back to order them; its metrics are in virtual time.
func BenchmarkHoldBack(b *testing.B) {
	policies := []struct {
		name string
		run  func([]message) policyResult
	}{
		{"max-wait", func(m []message) policyResult { return deliverByTime(m, allSources) }},
		{"select-wait", func(m []message) policyResult { return deliverByTime(m, likelySources) }},
		{"select-wait-low", func(m []message) policyResult { return deliverByTime(m, possibleSources) }},
		{"sequence-fixed-10s", func(m []message) policyResult { return deliverBySequence(m, 10_000) }},
		{"sequence-fixed-30s", func(m []message) policyResult { return deliverBySequence(m, 30_000) }},
		{"sequence-estimated", func(m []message) policyResult { return deliverBySequence(m, 0) }},
	}
	for _, tr := range []traffic{paperTraffic, reportTraffic} {
		all := tr.messages(1, 4000)
		for _, p := range policies {
			b.Run(fmt.Sprintf("%s/%s", tr.name, p.name), func(b *testing.B) {
				var out policyResult
				for b.Loop() {
					out = p.run(all)
				}
				slices.Sort(out.waits)
				n := float64(len(out.waits))
				b.ReportMetric(mean(out.waits), "mean-held-ms")
				b.ReportMetric(out.waits[int(0.95*n)], "p95-held-ms")
				b.ReportMetric(out.waits[len(out.waits)-1], "max-held-ms")
				b.ReportMetric(100*float64(out.outOfOrder)/float64(len(all)), "late-%")
				b.ReportMetric(mean(out.gapWaits), "gap-wait-ms")
				b.ReportMetric(float64(time.Duration(0)), "ns/op")
			})
		}
	}
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
