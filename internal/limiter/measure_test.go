package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/timer"
)

// callBytes is the overhead of a call on a secured connection in both directions (docs/measurements/linker.md).
const callBytes = 230

// TestMeasureReports measures the calls and bytes of one entry that serves workspaces with limits, by request rate.
func TestMeasureReports(t *testing.T) {
	const (
		inUse  = 100
		limits = 1300
		warmUp = 5 * time.Minute
		span   = 10 * time.Minute
	)
	for _, rate := range []float64{0.01, 0.1, 1, 10} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			document := &documenter.Document{Name: "assistant"}
			for i := range limits {
				document.Workspaces = append(document.Workspaces, documenter.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Rate: 1000, Concurrency: 400})
			}
			ms := members(4)
			random := rand.New(rand.NewPCG(1, 1))
			var mu sync.Mutex
			calls, bytes := 0, 0
			owner := New(timer.System{}, "entry-1")
			l := New(timer.System{}, "entry-0")
			for _, each := range []*Limiter{owner, l} {
				each.Members = func() []Member { return ms }
				each.Configure([]*documenter.Document{document})
			}
			// In a large fleet each limit has its own owner, so that no two limits share a call.
			l.Owner = func(key string) cataloger.Member { return cataloger.Member{Name: key, PeerAddress: key} }
			l.Apply = func(map[Key]Share) {}
			last := time.Now()
			l.Usage = func() []Demand {
				elapsed := time.Since(last).Seconds()
				last = time.Now()
				var out []Demand
				for i := range inUse {
					d := Demand{Key: Key{"assistant", cataloger.Workspace(fmt.Sprintf("workspace-%04d", i))}}
					arrivals, wanted := poisson(random, rate*elapsed), poisson(random, rate)
					if arrivals+wanted == 0 {
						continue
					}
					d.Rate, d.Wanted = float64(arrivals)/max(elapsed, 0.1), float64(wanted)
					out = append(out, d)
				}
				return out
			}
			l.Link = linker.Link{Call: func(ctx context.Context, _, _ string, req, resp proto.Message) error {
				body, _ := proto.Marshal(req)
				answer, err := owner.Handle(ctx, "entry-0", body)
				proto.Merge(resp, answer)
				mu.Lock()
				defer mu.Unlock()
				calls++
				bytes += proto.Size(req) + proto.Size(resp)
				return err
			}}
			go func() { _ = l.Run(ctx) }()
			time.Sleep(warmUp)
			synctest.Wait()
			mu.Lock()
			calls, bytes = 0, 0
			mu.Unlock()
			time.Sleep(span)
			synctest.Wait()
			perSecond := float64(calls) / span.Seconds()
			t.Logf("%g requests/s a workspace: %.1f calls/s, %.0f bytes/s, %.0f with framing", rate, perSecond,
				float64(bytes)/span.Seconds(), float64(bytes)/span.Seconds()+perSecond*callBytes)
			cancel()
			synctest.Wait()
		})
	}
}

// poisson draws a number of events from exponential intervals between them.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}
