package bencher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Kind describes one kind of request in a load.
type Kind struct {
	// Name labels the figures of this kind.
	Name      string
	Workspace string
	Service   string
	Method    string
	Payload   []byte
	MaxTokens uint32
	// Weight is the relative frequency of this kind.
	Weight float64
	// AtMostOnce requires that a request runs at most once.
	AtMostOnce bool
}

// SendFunc runs a request and calls emit for each part of its answer.
type SendFunc func(ctx context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error

// Bench sends an open-loop load: the rate of requests does not depend on the answers.
type Bench struct {
	// Send runs one request and calls emit for each part.
	Send SendFunc
	// NewID returns a request id that was never sent.
	NewID func() string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// WarmUp is how long the load runs before its requests are measured.
	WarmUp time.Duration
	// Timeout is the deadline of each request.
	Timeout time.Duration
	Kinds   []Kind
	Seed    uint64
	Clock   timer.Clock
	// Progress is called about once per second; may be nil.
	Progress func(Progress)

	sent     atomic.Int64
	running  atomic.Int64
	finished atomic.Int64
	refused  atomic.Int64
}

// Progress holds the elapsed time and the request counts of a running load.
type Progress struct {
	Elapsed  time.Duration
	Sent     int64
	Running  int64
	Finished int64
	Refused  int64
}

const progressInterval = time.Second

// Run sends the load, waits for every answer and returns the report.
func (b *Bench) Run(ctx context.Context) *Report {
	rng := rand.New(rand.NewPCG(b.Seed, b.Seed))
	report := newReport(b.Kinds)
	begin := b.Clock.Now()
	stop := b.startProgress(ctx, begin)
	defer stop()
	var wg sync.WaitGroup
	due := begin
	for {
		due = due.Add(b.drawInterval(rng))
		if due.Sub(begin) > b.WarmUp+b.Duration {
			break
		}
		if b.Clock.Sleep(ctx, due.Sub(b.Clock.Now())) != nil {
			break
		}
		kind := b.drawKind(rng)
		when := timing{due: due, sent: b.Clock.Now(), counted: due.Sub(begin) >= b.WarmUp}
		b.sent.Add(1)
		wg.Go(func() { b.sendOne(ctx, kind, when, report) })
	}
	wg.Wait()
	report.summarize(b.Clock.Now().Sub(begin)-b.WarmUp, b.Duration)
	return report
}

// drawInterval draws the time to the next request of a Poisson process.
func (b *Bench) drawInterval(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() / b.Rate * float64(time.Second))
}

func (b *Bench) drawKind(rng *rand.Rand) int {
	total := 0.0
	for _, k := range b.Kinds {
		total += k.Weight
	}
	pick := rng.Float64() * total
	for i, k := range b.Kinds {
		pick -= k.Weight
		if pick < 0 {
			return i
		}
	}
	return len(b.Kinds) - 1
}

// timing holds when a request was due and when it was sent.
type timing struct {
	due, sent time.Time
	// counted is false during the warm-up.
	counted bool
}

// sendOne sends a request; its times are measured from when it was due, so that a slow router cannot hide its own delay.
func (b *Bench) sendOne(ctx context.Context, kind int, when timing, report *Report) {
	b.running.Add(1)
	defer b.running.Add(-1)
	k := b.Kinds[kind]
	req := &v1.Request{
		Workspace: k.Workspace,
		Service:   k.Service,
		Method:    k.Method,
		RequestId: b.NewID(),
		Payload:   k.Payload,
		MaxTokens: k.MaxTokens,
		Timeout:   durationpb.New(b.Timeout),
	}
	if k.AtMostOnce {
		idempotent := false
		req.Idempotent = &idempotent
	}
	result := Result{Kind: kind, RequestID: req.RequestId, AtMostOnce: k.AtMostOnce, SendDelay: when.sent.Sub(when.due), WarmUp: !when.counted}
	previous := time.Time{}
	err := b.Send(ctx, req, func(p *v1.SendResponse) error {
		now := b.Clock.Now()
		if result.Parts == 0 {
			result.First = now.Sub(when.due)
		} else {
			result.Gaps = append(result.Gaps, now.Sub(previous))
		}
		previous = now
		result.Parts++
		result.Complete = p.Last
		result.HTTPStatus = p.HttpStatus
		return nil
	})
	result.Total = b.Clock.Now().Sub(when.due)
	if err != nil {
		result.Refusal = refuser.From(err)
		b.refused.Add(1)
	}
	b.finished.Add(1)
	report.add(result)
}

func (b *Bench) startProgress(ctx context.Context, begin time.Time) (stop func()) {
	if b.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for b.Clock.Sleep(ctx, progressInterval) == nil {
			b.Progress(Progress{
				Elapsed:  b.Clock.Now().Sub(begin),
				Sent:     b.sent.Load(),
				Running:  b.running.Load(),
				Finished: b.finished.Load(),
				Refused:  b.refused.Load(),
			})
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
