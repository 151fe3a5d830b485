package journaler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	benchSeconds = 10
	storeLatency = 4 * time.Millisecond
	// storeWrites is the number of writes per second that the object API accepts from all daemons together.
	storeWrites = 400
)

// runOpenLoop starts requests at a fixed rate for benchSeconds and reports added latency, writes per request and refusals.
func runOpenLoop(b *testing.B, store *memoryStore, perSecond int, do func(i int) error) {
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wait sync.WaitGroup
	refused := 0
	store.update(func(m *memoryStore) { m.puts, m.bytes = 0, 0 })
	rng := rand.New(rand.NewPCG(1, 1))
	began := time.Now()
	total := perSecond * benchSeconds
	due := began
	for i := range total {
		due = due.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		time.Sleep(time.Until(due))
		wait.Go(func() {
			start := time.Now()
			err := do(i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			_ = hist.RecordValue(time.Since(start).Microseconds())
		})
	}
	wait.Wait()
	took := time.Since(began).Seconds()
	time.Sleep(2 * time.Second)
	store.mu.Lock()
	defer store.mu.Unlock()
	b.ReportMetric(float64(store.puts)/float64(total), "writes/claim")
	b.ReportMetric(float64(store.puts)/took, "writes/s")
	b.ReportMetric(float64(store.bytes)/took/1e3, "store-KB/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(95))/1e3, "p95-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-ms")
	b.ReportMetric(100*float64(refused)/float64(total), "refused-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkJournal measures the cost of a claim with daemons in one process; use -benchtime=1x.
func BenchmarkJournal(b *testing.B) {
	for _, daemons := range []int{4, 40, 400} {
		for _, perSecond := range []int{10, 100, 400} {
			b.Run(fmt.Sprintf("daemons=%d/claims=%d", daemons, perSecond), func(b *testing.B) {
				store := newMemoryStore(storeLatency)
				var names []string
				for i := range daemons {
					names = append(names, fmt.Sprintf("%03d", i))
				}
				c := newCluster(store, names...)
				defer c.stop()
				time.Sleep(2 * time.Second)
				runOpenLoop(b, store, perSecond, func(i int) error {
					r := requestWithin(5*time.Second, fmt.Sprintf("r-%d", i))
					_, err := c.nodes[names[i%len(names)]].Execute(context.Background(), r, func(context.Context) (Answer, error) {
						return Answer{Status: 200, Body: []byte("booked")}, nil
					})
					return err
				})
			})
		}
	}
}

// BenchmarkObjectPerRequest measures the alternative to the journal: one object per request, created and then updated.
func BenchmarkObjectPerRequest(b *testing.B) {
	for _, perSecond := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("claims=%d", perSecond), func(b *testing.B) {
			store := newMemoryStore(storeLatency)
			limiter := rate.NewLimiter(storeWrites, storeWrites/10)
			api := store.store()
			put := func(key string, value string, expected storer.Point) (storer.Point, error) {
				if !limiter.Allow() {
					return 0, storer.ErrRateLimited
				}
				return api.Put(context.Background(), key, []byte(value), expected)
			}
			runOpenLoop(b, store, perSecond, func(i int) error {
				key := fmt.Sprintf("requests/%d", i)
				v, err := put(key, "claimed", 0)
				if err != nil {
					return errors.Wrap(err, "claim")
				}
				go func() { _, _ = put(key, "ran", v) }()
				return nil
			})
		})
	}
}

// openShard returns an open shard on an empty store, and a function that makes its store calls until it is idle.
func openShard(limits Limits) (*shard, *fuzzStore, func(now time.Time)) {
	st := &fuzzStore{objects: map[string][]version{}}
	s := newShard(0, Dispatcher{Member: "d", Incarnation: 1}, limits, rand.New(rand.NewPCG(1, 1)))
	drive := func(now time.Time) {
		s.flushOutcomes(now)
		for call, ok, _ := s.next(now); ok; call, ok, _ = s.next(now) {
			s.handleStoreResult(now, call, st.apply(call))
			if call.typ == callPut {
				h := st.objects[call.key]
				st.objects[call.key] = h[len(h)-1:]
			}
			s.takeReplies()
		}
	}
	now := time.UnixMilli(1_700_000_000_000)
	s.setWanted(now, true)
	drive(now)
	return s, st, drive
}

// BenchmarkBatch measures the processor time of a claim and its outcome for several batch sizes.
func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("claims=%d", size), func(b *testing.B) {
			s, _, drive := openShard(DefaultLimits())
			now := time.UnixMilli(1_700_000_000_000)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				for i := range size {
					s.submitClaim(now, uint64(i), benchClaim(n+i, now))
				}
				drive(now)
				for i := range size {
					c := benchClaim(n+i, now)
					s.submitReport(now, uint64(i), report{key: c.key, dispatcher: c.dispatcher, result: result{fact: 2}, deadline: c.deadline})
				}
				drive(now)
				n += size
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/claim")
		})
	}
}

func benchClaim(i int, now time.Time) claim {
	return claim{
		key: keyOf("w", fmt.Sprint(i)), dispatcher: Dispatcher{Member: "e", Incarnation: 1, Nonce: uint64(i)}, deadline: now.Add(time.Minute),
	}
}

// BenchmarkTakeover measures store reads, processor time and memory of a takeover for several numbers of records.
func BenchmarkTakeover(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			limits := DefaultLimits()
			limits.MaxRecords = records
			s, st, drive := openShard(limits)
			now := time.UnixMilli(1_700_000_000_000)
			for i := range records {
				s.submitClaim(now, uint64(i), benchClaim(i, now))
				c := benchClaim(i, now)
				s.table.report(report{key: c.key, dispatcher: c.dispatcher, result: result{fact: 2}})
				if i%1000 == 999 {
					drive(now)
				}
			}
			drive(now)
			bytes := 0
			for _, h := range st.objects {
				bytes += len(h[len(h)-1].value)
			}
			var before, after runtime.MemStats
			var next *shard
			reads := 0
			for b.Loop() {
				next = newShard(0, Dispatcher{Member: "d", Incarnation: 2}, DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
				next.setWanted(now, true)
				reads = 0
				for next.phase != phaseOpen {
					call, _, _ := next.next(now)
					next.handleStoreResult(now, call, st.apply(call))
					reads++
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(reads), "store-calls")
			runtime.KeepAlive(next)
			next = nil
			runtime.GC()
			runtime.ReadMemStats(&before)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(records), "heap-B/record")
			b.ReportMetric(float64(bytes)/float64(records), "store-B/record")
		})
	}
}

// BenchmarkOwnerLost measures how long a claim takes just after the owner of its shard was lost, once the view of the
// members names the successor.
func BenchmarkOwnerLost(b *testing.B) {
	store := newMemoryStore(storeLatency)
	c := newCluster(store, "a", "b", "c", "d")
	defer c.stop()
	time.Sleep(2 * time.Second)
	hist := hdrhistogram.New(1, 60_000_000, 3)
	n := uint64(1)
	for b.Loop() {
		n++
		id := fmt.Sprintf("r-%d", n)
		owner, _ := c.owner(ShardOf("schalter", id))
		c.removeNode(owner.Name, false)
		var entry *node
		for _, entry = range c.nodes {
			break
		}
		start := time.Now()
		if _, err := entry.Execute(context.Background(), requestWithin(5*time.Second, id), func(context.Context) (Answer, error) {
			return Answer{}, nil
		}); err != nil {
			b.Fatal(err)
		}
		_ = hist.RecordValue(time.Since(start).Microseconds())
		c.add(owner.Name, n)
		time.Sleep(300 * time.Millisecond)
	}
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-ms")
	b.ReportMetric(float64(hist.Max())/1e3, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMessages reports the size in bytes of a claim and a report between daemons, without the envelope.
func BenchmarkMessages(b *testing.B) {
	d := Dispatcher{Member: "entry-017", Incarnation: 1_700_000_000_000_000_000, Nonce: 1_000_000}
	id := "0190163d-8694-739b-aea5-966c26f8ad91"
	claim := &peerv1.JournalClaim{Shard: 7, Workspace: "schalter-nord", RequestId: id, Payload: make([]byte, keyBytes), Dispatcher: d.proto(), TimeoutMs: 30_000}
	answer := make([]byte, 200)
	report := &peerv1.JournalReport{Shard: 7, Workspace: "schalter-nord", RequestId: id, Dispatcher: d.proto(), TimeoutMs: 5_000,
		Result: result{fact: refuser.FactRan, status: 200, answer: answer, kept: true, digest: [32]byte{1}, keepUntil: 1_700_000_000_000}.proto()}
	for b.Loop() {
		_ = mustMarshal(claim)
		_ = mustMarshal(report)
	}
	b.ReportMetric(float64(len(mustMarshal(claim))), "claim-B")
	b.ReportMetric(float64(len(mustMarshal(report))), "report-B")
	b.ReportMetric(float64(len(mustMarshal(verdict{kind: verdictPermit}.proto()))), "verdict-B")
}
