package sequencer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// fleet connects sequencers by direct calls with a delay.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*member
	// paused is the time until which a daemon is stopped; the others consider it dead.
	paused map[string]time.Time
}

type member struct {
	*Sequencer
	self     cataloger.Member
	handlers map[string]linker.Handler
	cancel   context.CancelFunc
	done     chan struct{}
}

const callDelay = 2 * time.Millisecond

func newFleet(names ...string) *fleet {
	f := &fleet{nodes: map[string]*member{}, paused: map[string]time.Time{}}
	for _, name := range names {
		f.add(name)
	}
	time.Sleep(DefaultLimits().Settle + time.Second)
	return f
}

func (f *fleet) add(name string) {
	m := &member{self: cataloger.Member{Name: name, Incarnation: 1, PeerAddress: name}, done: make(chan struct{})}
	m.Sequencer = &Sequencer{
		Clock: timer.System{},
		Rand:  rand.New(rand.NewPCG(1, xxhash.Sum64String(name))),
		Self:  func() cataloger.Member { return m.self },
		Owner: f.owner,
		Alive: func(name string, _ uint64) bool { return f.get(name) != nil && time.Now().After(f.pausedUntil(name)) },
		Link: linker.Link{Call: func(ctx context.Context, address, method string, req, resp proto.Message) error {
			return f.call(ctx, name, address, method, req, resp)
		}},
	}
	m.handlers = m.Handlers()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	f.mu.Lock()
	f.nodes[name] = m
	f.mu.Unlock()
	go func() {
		defer close(m.done)
		_ = m.Run(ctx)
	}()
}

func (f *fleet) get(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) owner(shard uint32) (cataloger.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best uint64
	var owner cataloger.Member
	for name, m := range f.nodes {
		if h := xxhash.Sum64String(fmt.Sprint(name, shard)); h >= best {
			best, owner = h, m.self
		}
	}
	return owner, owner.Name != ""
}

func (f *fleet) call(ctx context.Context, from, address, method string, req, resp proto.Message) error {
	if err := (timer.System{}).Sleep(ctx, callDelay); err != nil {
		return refuser.New(refuser.Canceled, "%s", err)
	}
	m := f.get(address)
	if m == nil {
		return refuser.New(refuser.PeerUnavailable, "%s", address)
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	out, err := m.handlers[method](ctx, from, body)
	if err != nil {
		return err
	}
	// A stopped daemon receives the answer when it resumes.
	time.Sleep(time.Until(f.pausedUntil(from)))
	proto.Merge(resp, out)
	return nil
}

func (f *fleet) pause(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[name] = time.Now().Add(d)
}

func (f *fleet) pausedUntil(name string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused[name]
}

func (f *fleet) remove(name string) {
	f.mu.Lock()
	m := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	m.cancel()
	<-m.done
}

func (f *fleet) stop() {
	for name := range f.nodes {
		f.remove(name)
	}
}

func testPlace(sequence uint64, d time.Duration) Place {
	return Place{
		Workspace: "agency", Key: "reports", Sequence: sequence, RequestID: fmt.Sprintf("r-%d", sequence),
		Deadline: time.Now().Add(d), Wait: 10 * time.Second, BufferBytes: 1 << 20,
	}
}

// request enters, runs and delivers one request, and calls delivered on its delivery.
func (f *fleet) request(entry string, p Place, run time.Duration, delivered func(uint64)) error {
	turn, err := f.get(entry).Enter(context.Background(), p)
	if err != nil {
		return err
	}
	defer turn.Done()
	time.Sleep(run)
	if err := turn.Wait(context.Background(), 10); err != nil {
		return err
	}
	delivered(p.Sequence)
	return nil
}

func TestOrderAcrossEntriesAndOwnerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		defer f.stop()
		owner, _ := f.owner(ShardOf("agency", "reports"))
		var entries []string
		for name := range f.nodes {
			if name != owner.Name {
				entries = append(entries, name)
			}
		}
		rng := rand.New(rand.NewPCG(4, 4))
		var mu sync.Mutex
		var order []uint64
		var wait sync.WaitGroup
		const requests = 200
		for seq := uint64(1); seq <= requests; seq++ {
			entry, run := entries[rng.IntN(3)], time.Duration(rng.IntN(3000))*time.Millisecond
			wait.Go(func() {
				require.NoError(t, f.request(entry, testPlace(seq, time.Minute), run, func(s uint64) {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, s)
				}))
			})
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			if seq == requests/2 {
				f.remove(owner.Name)
			}
		}
		wait.Wait()
		require.Len(t, order, requests)
		require.IsIncreasing(t, order)
	})
}

func TestPredecessorThatNeverComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.stop()
		ignore := func(uint64) {}
		require.NoError(t, f.request("a", testPlace(1, time.Minute), 0, ignore))
		began := time.Now()
		require.NoError(t, f.request("b", testPlace(3, time.Minute), time.Second, ignore))
		require.InDelta(t, 10, time.Since(began).Seconds(), 0.5, "the configured wait, from the entry of the successor")
		err := f.request("a", testPlace(2, time.Minute), 0, ignore)
		require.Equal(t, refuser.PredecessorTimedOut, refuser.From(err).Code)
		require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
		other := testPlace(3, time.Minute)
		other.RequestID = "another"
		err = f.request("a", other, 0, ignore)
		require.Equal(t, refuser.SequenceInvalid, refuser.From(err).Code)
		require.NoError(t, f.request("a", testPlace(3, time.Minute), 0, ignore), "the same request may be sent again")
	})
}

func TestPredecessorOnALostEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		defer f.stop()
		owner, _ := f.owner(ShardOf("agency", "reports"))
		var others []string
		for name := range f.nodes {
			if name != owner.Name {
				others = append(others, name)
			}
		}
		lost, kept := others[0], others[1]
		_, err := f.get(lost).Enter(context.Background(), testPlace(1, time.Hour))
		require.NoError(t, err)
		began := time.Now()
		time.AfterFunc(time.Second, func() { f.remove(lost) })
		require.NoError(t, f.request(kept, testPlace(2, time.Minute), 0, func(uint64) {}))
		require.Less(t, time.Since(began), time.Second+DefaultLimits().ReattachGrace+sweepInterval+refreshInterval+100*time.Millisecond)
	})
}

// TestPausedEntryDoesNotDeliverLate guards against a late delivery by an entry that is stopped while its answer is
// released, for longer than its place is kept.
func TestPausedEntryDoesNotDeliverLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		defer f.stop()
		owner, _ := f.owner(ShardOf("agency", "reports"))
		var entries []string
		for _, name := range []string{"a", "b", "c"} {
			if name != owner.Name {
				entries = append(entries, name)
			}
		}
		var mu sync.Mutex
		var order []uint64
		deliver := func(seq uint64) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, seq)
		}
		var late error
		var wait sync.WaitGroup
		wait.Go(func() { late = f.request(entries[0], testPlace(1, time.Minute), time.Second, deliver) })
		wait.Go(func() { require.NoError(t, f.request(entries[1], testPlace(2, time.Minute), 0, deliver)) })
		time.Sleep(time.Second + callDelay + callDelay/2)
		f.pause(entries[0], 10*time.Second)
		wait.Wait()
		require.Equal(t, []uint64{2}, order)
		require.Equal(t, refuser.PredecessorTimedOut, refuser.From(late).Code)
		require.Equal(t, refuser.FactRan, refuser.From(late).Fact)
	})
}

func TestCutDeliveryKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.stop()
		var mu sync.Mutex
		var order []uint64
		record := func(s uint64) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, s)
		}
		first, err := f.get("a").Enter(context.Background(), testPlace(1, time.Minute))
		require.NoError(t, err)
		require.NoError(t, first.Wait(context.Background(), 10))
		go func() { _ = f.request("b", testPlace(2, time.Minute), 0, record) }()
		first.Cut()
		first.Done()
		time.Sleep(time.Second)
		require.NoError(t, f.request("b", testPlace(1, time.Minute), time.Second, record), "the caller repeats the request for the rest")
		time.Sleep(time.Second)
		mu.Lock()
		require.Equal(t, []uint64{1, 2}, order)
		mu.Unlock()
		third, err := f.get("a").Enter(context.Background(), testPlace(3, time.Minute))
		require.NoError(t, err)
		require.NoError(t, third.Wait(context.Background(), 10))
		third.Cut()
		began := time.Now()
		require.NoError(t, f.request("b", testPlace(4, time.Minute), 0, record), "the caller does not repeat the request")
		require.Less(t, time.Since(began), DefaultLimits().ReattachGrace+time.Second)
	})
}

func TestReleasedAnswerCarriesFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		defer f.stop()
		owner, _ := f.owner(ShardOf("agency", "reports"))
		var others []string
		for name := range f.nodes {
			if name != owner.Name {
				others = append(others, name)
			}
		}
		refused, err := f.get(others[0]).Enter(context.Background(), testPlace(1, time.Minute))
		require.NoError(t, err)
		second, err := f.get(others[0]).Enter(context.Background(), testPlace(2, time.Minute))
		require.NoError(t, err)
		refused.Done()
		require.NoError(t, second.Wait(context.Background(), 10))
		f.remove(owner.Name)
		time.Sleep(time.Second)
		err = f.request(others[1], testPlace(1, time.Minute), 0, func(uint64) {})
		require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact, "2 is being delivered, so 1 is too late")
		second.Done()
	})
}

func TestDeadlineWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.stop()
		first, err := f.get("a").Enter(context.Background(), testPlace(1, time.Minute))
		require.NoError(t, err)
		err = f.request("b", testPlace(2, 5*time.Second), 0, func(uint64) {})
		require.Equal(t, refuser.DeadlineExceeded, refuser.From(err).Code)
		require.Equal(t, refuser.FactRan, refuser.From(err).Fact, "the answer exists, so not-run would be false")
		first.Done()
		require.NoError(t, f.request("b", testPlace(3, 5*time.Second), 0, func(uint64) {}))
	})
}

// TestWaitEndsWithItsCaller waits for an open predecessor; a wait that spins would stop the time of the synctest bubble.
func TestWaitEndsWithItsCaller(t *testing.T) {
	for name, end := range map[string]func(ctx context.Context) (context.Context, context.CancelFunc){
		"gone": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		},
		"deadline between two ms": context.WithCancel,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a")
				defer f.stop()
				time.Sleep(5 * time.Second)
				first, err := f.get("a").Enter(t.Context(), testPlace(1, time.Minute))
				require.NoError(t, err)
				defer first.Done()
				turn, err := f.get("a").Enter(t.Context(), testPlace(2, 300*time.Millisecond+300*time.Microsecond))
				require.NoError(t, err)
				defer turn.Done()
				ctx, cancel := end(t.Context())
				defer cancel()
				require.Equal(t, refuser.FactRan, refuser.From(turn.Wait(ctx, 1)).Fact)
			})
		})
	}
}

func TestForeignPlaceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.stop()
		o := &openPlace{place: testPlace(1, time.Minute)}
		body, err := proto.Marshal(f.get("a").toProto(o))
		require.NoError(t, err)
		_, err = f.get("b").handlers[MethodDone](context.Background(), "mallory", append([]byte{0x0a, byte(len(body))}, body...))
		require.Equal(t, refuser.Unauthenticated, refuser.From(err).Code)
	})
}

// BenchmarkQueue measures the cost of one answer in the queue by the number of open places under the key.
func BenchmarkQueue(b *testing.B) {
	for _, open := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			now := time.Now()
			limits := DefaultLimits()
			limits.MaxPlaces = 2000
			q := newQueue(limits, func(source) bool { return true }, now, now)
			enter := func(seq uint64) {
				_, _ = q.enter(now, entrance{sequence: seq, id: "x", deadline: now.Add(time.Hour), wait: time.Second, buffer: 1 << 20})
			}
			for seq := range uint64(open) {
				enter(seq + 1)
			}
			next := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				next++
				_, _ = q.finish(now, next, source{}, 10, 1<<20)
				if released, _ := q.advance(now); released != next {
					b.Fatal("out of order")
				}
				q.done(now, next, source{})
				enter(next + uint64(open))
			}
		})
	}
}
