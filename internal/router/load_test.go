package router

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/enginefaker"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/caller"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	bucket       = 100 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
)

// requestOutcome is the outcome of one request; refusal is nil if it was answered.
type requestOutcome struct {
	id         string
	atMostOnce bool
	refusal    *refuser.Refusal
}

// load keeps a number of requests running until it is stopped, and records their outcomes.
type load struct {
	w         *world
	tokens    uint32
	timeout   time.Duration
	startedAt time.Time
	// versions are those whose answers are accepted; all tokens of an answer must be of one version.
	versions []string

	mu       sync.Mutex
	buckets  map[int]int
	outcomes []requestOutcome
	wg       sync.WaitGroup
	stop     context.CancelFunc
}

func (w *world) newLoad(tokens uint32, timeout time.Duration) *load {
	return &load{w: w, tokens: tokens, timeout: timeout, startedAt: time.Now(), versions: []string{"v1"}, buckets: map[int]int{}}
}

// start runs workers that each send one request after another.
func (l *load) start(generators, bookers int) {
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	for i := range generators {
		client := l.w.newClient(fmt.Sprintf("10.0.7.%d", i+2))
		l.wg.Go(func() { l.runWorker(ctx, client, false) })
	}
	for i := range bookers {
		client := l.w.newClient(fmt.Sprintf("10.0.6.%d", i+2))
		l.wg.Go(func() { l.runWorker(ctx, client, true) })
	}
}

func (l *load) finish() {
	l.stop()
	l.wg.Wait()
}

func (l *load) runWorker(ctx context.Context, client *caller.Client, atMostOnce bool) {
	for ctx.Err() == nil {
		id := client.NewRequestID()
		var refusal *refuser.Refusal
		if atMostOnce {
			refusal = l.book(client, id)
		} else {
			refusal = l.generate(client, id)
		}
		l.mu.Lock()
		l.outcomes = append(l.outcomes, requestOutcome{id: id, atMostOnce: atMostOnce, refusal: refusal})
		l.mu.Unlock()
		switch {
		case atMostOnce:
			time.Sleep(100 * time.Millisecond)
		case refusal != nil:
			time.Sleep(max(20*time.Millisecond, min(refusal.RetryAfter, maxRetryWait)))
		}
	}
}

// generate sends one model request and checks the complete answer.
func (l *load) generate(client *caller.Client, id string) *refuser.Refusal {
	prompt := []byte("prompt of " + id)
	want := [][]byte(nil)
	next := 0
	err := client.Send(context.Background(), &v1.Request{
		Workspace: "counter", Service: "assistant", RequestId: id, Payload: prompt,
		MaxTokens: l.tokens, Timeout: durationpb.New(l.timeout),
	}, func(p *v1.SendResponse) error {
		if want == nil {
			version := p.GetReceipt().GetVersion()
			require.Contains(l.w.t, l.versions, version)
			want = enginefaker.Answer("m", version, "", prompt, 0, uint64(l.tokens))
		}
		require.Equal(l.w.t, string(want[next]), string(p.Data), "%s at %d", id, next)
		next++
		l.mu.Lock()
		l.buckets[int(time.Since(l.startedAt)/bucket)]++
		l.mu.Unlock()
		return nil
	})
	if err != nil {
		return refuser.From(err)
	}
	require.Len(l.w.t, want, next, id)
	return nil
}

func (l *load) book(client *caller.Client, id string) *refuser.Refusal {
	_, err := client.Call(context.Background(), &v1.Request{
		Workspace: "counter", Service: "bookings", Method: "POST /bookings", RequestId: id,
		Payload: []byte(`{"card":1}`), Timeout: durationpb.New(l.timeout),
	})
	if err != nil {
		return refuser.From(err)
	}
	return nil
}

// rate returns the tokens a second that were delivered between two times since the start of the load.
func (l *load) rate(from, to time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for b := int(from / bucket); b < int(to/bucket); b++ {
		sum += l.buckets[b]
	}
	return float64(sum) / (to - from).Seconds()
}

// sustainedSpan is the time over which the rate must reach a level to count as recovered.
const sustainedSpan = 2 * time.Second

// timeToRecover returns the time between from and the first span in which the rate reaches a level, and whether there is
// one.
func (l *load) timeToRecover(from, to time.Duration, level float64) (time.Duration, bool) {
	for at := from; at+sustainedSpan <= to; at += bucket {
		if l.rate(at, at+sustainedSpan) >= level {
			return at - from, true
		}
	}
	return to - from, false
}

// audit compares the answers and refusals that callers received with the ledger of the booking application.
type audit struct {
	answered, notRun, mayHaveRun                int
	ranTwice, falseNotRun, neverRun, wrongFacts []string
	codes                                       map[string]int
}

func (l *load) audit() audit {
	runs := map[string]int{}
	for _, r := range l.w.service.Ledger().Runs {
		runs[r.RequestID] += max(r.Count, 1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := audit{codes: map[string]int{}}
	for _, o := range l.outcomes {
		a.count(o, runs[o.id])
	}
	return a
}

func (a *audit) count(o requestOutcome, runs int) {
	if runs > 1 {
		a.ranTwice = append(a.ranTwice, o.id)
	}
	if o.refusal == nil {
		a.answered++
		if o.atMostOnce && runs == 0 {
			a.neverRun = append(a.neverRun, o.id)
		}
		return
	}
	a.codes[fmt.Sprintf("%s/%s", o.refusal.Code, o.refusal.Fact)]++
	switch o.refusal.Fact {
	case refuser.FactNotRun:
		a.notRun++
		if runs > 0 {
			a.falseNotRun = append(a.falseNotRun, o.id)
		}
	case refuser.FactMayHaveRun, refuser.FactRan:
		a.mayHaveRun++
	default:
		a.wrongFacts = append(a.wrongFacts, o.id)
	}
}

// check fails the test if an outcome contradicts the ledger.
func (a *audit) check(w *world) {
	require.Empty(w.t, a.ranTwice, "requests that ran twice")
	require.Empty(w.t, a.falseNotRun, "requests refused as not run that ran")
	require.Empty(w.t, a.neverRun, "answers that no target gave")
	require.Empty(w.t, a.wrongFacts, "refusals without a fact")
}

// rateSeries returns the rate of each second as text, for the test log.
func (l *load) rateSeries(end time.Duration) string {
	var b strings.Builder
	for at := time.Duration(0); at+time.Second <= end; at += time.Second {
		fmt.Fprintf(&b, "%.0f ", l.rate(at, at+time.Second))
	}
	return b.String()
}
