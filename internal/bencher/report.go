package bencher

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	minMicros          = 1
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// Result is the result of one request.
type Result struct {
	Kind       int
	RequestID  string
	AtMostOnce bool
	Parts      int
	Complete   bool
	First      time.Duration
	Total      time.Duration
	// SendDelay is how long after its due time the request was sent.
	SendDelay time.Duration
	// WarmUp is true if the request was due during the warm-up; it counts in the audit only.
	WarmUp bool
	Gaps   []time.Duration
	// Refusal is nil if the request ended without an error.
	Refusal    *refuser.Refusal
	HTTPStatus uint32
}

// Quantiles summarizes a histogram of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// KindReport summarizes the requests of one kind.
type KindReport struct {
	Name     string `json:"name"`
	Sent     int64  `json:"sent"`
	Answered int64  `json:"answered"`
	// NotRun, Ran and MayHaveRun count the refusals by their fact.
	NotRun     int64 `json:"not-run"`
	Ran        int64 `json:"ran"`
	MayHaveRun int64 `json:"may-have-run"`
	// Incomplete counts answers that ended without their last part and without a refusal.
	Incomplete int64            `json:"incomplete"`
	Refusals   map[string]int64 `json:"refusals"`
	First      Quantiles        `json:"first-part"`
	Gap        Quantiles        `json:"between-parts"`
	Total      Quantiles        `json:"total"`
	// FromSent is the total time from when the request was sent, and SendDelay how long after its due time that was.
	FromSent  Quantiles `json:"total-from-sent"`
	SendDelay Quantiles `json:"late"`

	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	fromSent *hdrhistogram.Histogram
	late     *hdrhistogram.Histogram
}

// Report holds the figures of a load; AnsweredRate and TokenRate are over the elapsed time, without the warm-up.
type Report struct {
	Elapsed time.Duration `json:"elapsed-ns"`
	// OfferedRate and AnsweredRate are in requests per second, TokenRate in tokens per second.
	OfferedRate  float64       `json:"offered-rate"`
	AnsweredRate float64       `json:"answered-rate"`
	TokenRate    float64       `json:"token-rate"`
	Kinds        []*KindReport `json:"kinds"`
	// Audit is nil if no ledgers were read.
	Audit *Audit `json:"audit,omitempty"`

	mu      sync.Mutex
	tokens  int64
	results []Result
}

func newReport(kinds []Kind) *Report {
	r := &Report{}
	for _, k := range kinds {
		r.Kinds = append(r.Kinds, &KindReport{
			Name:     k.Name,
			Refusals: map[string]int64{},
			first:    newHistogram(),
			gap:      newHistogram(),
			total:    newHistogram(),
			fromSent: newHistogram(),
			late:     newHistogram(),
		})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantFigures)
}

func (r *Report) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gaps := res.Gaps
	res.Gaps = nil
	r.results = append(r.results, res)
	if res.WarmUp {
		return
	}
	k := r.Kinds[res.Kind]
	k.Sent++
	recordDuration(k.late, res.SendDelay)
	r.tokens += int64(res.Parts)
	if res.Parts > 0 {
		recordDuration(k.first, res.First)
	}
	for _, g := range gaps {
		recordDuration(k.gap, g)
	}
	if res.Refusal != nil {
		k.countRefusal(res.Refusal)
		return
	}
	if !res.Complete {
		k.Incomplete++
		return
	}
	k.Answered++
	recordDuration(k.total, res.Total)
	recordDuration(k.fromSent, res.Total-res.SendDelay)
}

func (k *KindReport) countRefusal(refusal *refuser.Refusal) {
	k.Refusals[fmt.Sprintf("%s/%s", refusal.Code, refusal.Fact)]++
	switch refusal.Fact {
	case refuser.FactNotRun:
		k.NotRun++
	case refuser.FactRan:
		k.Ran++
	default:
		k.MayHaveRun++
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (r *Report) summarize(elapsed, loadDuration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Elapsed = elapsed
	var sent, answered int64
	for _, k := range r.Kinds {
		sent += k.Sent
		answered += k.Answered
		k.First = quantiles(k.first)
		k.Gap = quantiles(k.gap)
		k.Total = quantiles(k.total)
		k.FromSent = quantiles(k.fromSent)
		k.SendDelay = quantiles(k.late)
	}
	r.OfferedRate = float64(sent) / loadDuration.Seconds()
	r.AnsweredRate = float64(answered) / elapsed.Seconds()
	r.TokenRate = float64(r.tokens) / elapsed.Seconds()
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000.0
	return Quantiles{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95:   float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99:   float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// Results returns the result of each request, those of the warm-up included.
func (r *Report) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}
