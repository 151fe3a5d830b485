package journaler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestRunsOnceThroughEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(3*time.Millisecond), "a", "b", "c")
		defer c.stop()
		var mu sync.Mutex
		runs := 0
		slow := func(context.Context) (Answer, error) {
			mu.Lock()
			runs++
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			return Answer{Status: 200, Body: []byte("booked")}, nil
		}
		var wait sync.WaitGroup
		for _, name := range []string{"a", "b", "c", "a", "b", "c"} {
			wait.Go(func() {
				o, err := c.nodes[name].Execute(context.Background(), requestWithin(5*time.Second, "r-1"), slow)
				require.NoError(t, err)
				require.Equal(t, "booked", string(o.Answer.Body))
			})
		}
		wait.Wait()
		require.Equal(t, 1, runs)
		sleepUntilSettled(t)
		got, err := c.nodes["b"].Get(context.Background(), "schalter", "r-1")
		require.NoError(t, err)
		require.Equal(t, refuser.FactRan, got.Fact)
		require.Equal(t, "booked", string(got.Answer.Body))
		otherWorkspace, err := c.nodes["b"].Get(context.Background(), "telefon", "r-1")
		require.NoError(t, err)
		require.Equal(t, Outcome{}, otherWorkspace)
		otherPayload := requestWithin(time.Second, "r-1")
		otherPayload.PayloadDigest[0]++
		_, err = c.nodes["a"].Execute(context.Background(), otherPayload, slow)
		require.Equal(t, refuser.RequestIDReused, refuser.From(err).Code)
	})
}

func TestOutcomeSurvivesOwnerLoss(t *testing.T) {
	for name, graceful := range map[string]bool{"drained": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(newMemoryStore(3*time.Millisecond), "a", "b")
				defer c.stop()
				runs := 0
				first, _ := c.owner(ShardOf("schalter", "r-1"))
				entry := "a"
				if first.Name == "a" {
					entry = "b"
				}
				_, err := c.nodes[entry].Execute(context.Background(), requestWithin(time.Second, "r-1"), countingRun(&runs, "x"))
				require.NoError(t, err)
				// The owner stops before the outcome is written; the entry reports it to the successor.
				c.removeNode(first.Name, graceful)
				sleepUntilSettled(t)
				o, err := c.nodes[entry].Execute(context.Background(), requestWithin(time.Second, "r-1"), countingRun(&runs, "x"))
				require.NoError(t, err)
				require.True(t, o.Replayed)
				require.Equal(t, 1, runs)
			})
		})
	}
}

func TestDrainedEntryFlushesOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(3*time.Millisecond), "a", "b")
		defer c.stop()
		runs := 0
		_, err := c.nodes["a"].Execute(context.Background(), requestWithin(time.Second, "r-2"), countingRun(&runs, "x"))
		require.NoError(t, err)
		c.removeNode("a", true)
		o, err := c.nodes["b"].Execute(context.Background(), requestWithin(time.Second, "r-2"), countingRun(&runs, "x"))
		require.NoError(t, err)
		require.True(t, o.Replayed)
	})
}

func TestEntryLostWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(3*time.Millisecond), "a", "b")
		defer c.stop()
		a := c.nodes["a"]
		blocked := make(chan struct{})
		go func() {
			_, _ = a.Execute(context.Background(), requestWithin(time.Second, "r-1"), func(context.Context) (Answer, error) {
				<-blocked
				return Answer{}, nil
			})
		}()
		sleepUntilSettled(t)
		c.removeNode("a", false)
		runs := 0
		began := time.Now()
		_, err := c.nodes["b"].Execute(context.Background(), requestWithin(time.Minute, "r-1"), countingRun(&runs, "x"))
		require.Equal(t, refuser.OutcomeUncertain, refuser.From(err).Code)
		require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
		require.Less(t, time.Since(began), 5*time.Second, "the final answer comes without waiting for the deadline")
		require.Zero(t, runs)
		close(blocked)
		sleepUntilSettled(t)
	})
}

func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(3 * time.Millisecond)
		c := newCluster(store, "a", "b")
		defer c.stop()
		runs := 0
		_, err := c.nodes["a"].Execute(context.Background(), requestWithin(time.Second, "r-1"), countingRun(&runs, "x"))
		require.NoError(t, err)
		sleepUntilSettled(t)
		store.update(func(m *memoryStore) { m.down = true })
		for range 40 {
			_, err = c.nodes["a"].Execute(context.Background(), requestWithin(10*time.Second, "r-2"), countingRun(&runs, "x"))
			require.Equal(t, refuser.StoreUnavailable, refuser.From(err).Code)
			require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact, "a successor that can reach the store may have run it")
			require.NotZero(t, refuser.From(err).RetryAfter)
			first := requestWithin(10*time.Second, "r-3")
			first.NotRunBefore = true
			_, err = c.nodes["a"].Execute(context.Background(), first, countingRun(&runs, "x"))
			require.Equal(t, refuser.StoreUnavailable, refuser.From(err).Code)
			require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact, "the caller promises that it did not run before")
			time.Sleep(15 * time.Second)
		}
		o, err := c.nodes["b"].Execute(context.Background(), requestWithin(time.Second, "r-1"), countingRun(&runs, "x"))
		require.NoError(t, err, "an outcome recorded before the outage is still returned")
		require.True(t, o.Replayed)
		store.update(func(m *memoryStore) { m.down = false })
		sleepUntilSettled(t)
		_, err = c.nodes["a"].Execute(context.Background(), requestWithin(time.Second, "r-2"), countingRun(&runs, "x"))
		require.NoError(t, err)
		require.Equal(t, 2, runs)
	})
}

func TestTakeoverInOutageDoesNotSayNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(3 * time.Millisecond)
		c := newCluster(store, "a", "b")
		defer c.stop()
		runs := 0
		first, _ := c.owner(ShardOf("schalter", "r-1"))
		_, err := c.nodes[first.Name].Execute(context.Background(), requestWithin(time.Second, "r-1"), countingRun(&runs, "x"))
		require.NoError(t, err)
		sleepUntilSettled(t)
		store.update(func(m *memoryStore) { m.down = true })
		c.removeNode(first.Name, false)
		for _, n := range c.nodes {
			_, err = n.Execute(context.Background(), requestWithin(10*time.Second, "r-1"), countingRun(&runs, "x"))
			require.Equal(t, refuser.StoreUnavailable, refuser.From(err).Code)
			require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
		}
		require.Equal(t, 1, runs)
	})
}

func TestDeadlineBeforeTheClaimIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(3 * time.Millisecond)
		c := newCluster(store, "a")
		defer c.stop()
		sleepUntilSettled(t)
		store.update(func(m *memoryStore) { m.headPutDelay = time.Second })
		runs := 0
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := c.nodes["a"].Execute(ctx, requestWithin(500*time.Millisecond, "r-1"), countingRun(&runs, "x"))
		require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact, "the context ends at the same moment")
		require.Zero(t, runs)
		store.update(func(m *memoryStore) { m.headPutDelay = 0 })
		time.Sleep(5 * time.Second)
		_, err = c.nodes["a"].Execute(context.Background(), requestWithin(500*time.Millisecond, "r-1"), countingRun(&runs, "x"))
		require.NoError(t, err, "not-run was recorded, so the same id may run")
		require.Equal(t, 1, runs)
	})
}

func TestFailedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(3*time.Millisecond), "a", "b")
		defer c.stop()
		refused := refuser.New(refuser.TargetRefused, "busy")
		_, err := c.nodes["a"].Execute(context.Background(), requestWithin(time.Second, "r-1"),
			func(context.Context) (Answer, error) { return Answer{}, refused })
		require.Equal(t, refused.Code, refuser.From(err).Code)
		require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
		runs := 0
		_, err = c.nodes["b"].Execute(context.Background(), requestWithin(time.Second, "r-1"), countingRun(&runs, "x"))
		require.NoError(t, err)
		_, err = c.nodes["a"].Execute(context.Background(), requestWithin(time.Second, "r-3"),
			func(context.Context) (Answer, error) { return Answer{}, context.DeadlineExceeded })
		require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
		sleepUntilSettled(t)
		_, err = c.nodes["b"].Execute(context.Background(), requestWithin(time.Second, "r-3"), countingRun(&runs, "x"))
		require.Equal(t, refuser.OutcomeUncertain, refuser.From(err).Code)
		require.Equal(t, 1, runs)
	})
}

func TestBoundMode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(3 * time.Millisecond)
		store.down = true
		c := newCluster(store, "a", "b")
		defer c.stop()
		runs := 0
		r := requestWithin(time.Second, "r-1")
		r.Mode = documenter.ModeBound
		_, err := c.nodes["a"].Execute(context.Background(), r, countingRun(&runs, "x"))
		require.Equal(t, refuser.MalformedRequest, refuser.From(err).Code, "without an incarnation")
		r.BoundTo = IncarnationName(c.nodes["b"].member)
		for _, name := range []string{"a", "b", "a"} {
			o, err := c.nodes[name].Execute(context.Background(), r, countingRun(&runs, "x"))
			require.NoError(t, err)
			require.Equal(t, "x", string(o.Answer.Body))
			sleepUntilSettled(t)
			r.Deadline = time.Now().Add(time.Second)
		}
		require.Equal(t, 1, runs)
		c.removeNode("b", false)
		c.add("b", 2)
		_, err = c.nodes["a"].Execute(context.Background(), r, countingRun(&runs, "x"))
		require.Equal(t, refuser.BoundElsewhere, refuser.From(err).Code)
		require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
		require.Equal(t, 1, runs)
	})
}

func TestFullJournalRefusesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(time.Millisecond))
		c.limits.MaxRecords = 2 * Shards
		n := c.add("a", 1)
		defer c.stop()
		runs, full := 0, 0
		for i := range 10 * Shards {
			_, err := n.Execute(context.Background(), requestWithin(time.Second, timedID(time.Now(), i)), countingRun(&runs, "x"))
			if err != nil {
				require.Equal(t, refuser.QueueFull, refuser.From(err).Code)
				require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
				full++
			}
		}
		require.Equal(t, 2*Shards, runs)
		require.Equal(t, 8*Shards, full)
	})
}

// TestIDsWithoutTimeLeaveCapacity sends more ids without a time, which are kept forever, than the journal has capacity
// for, and again after its window: ids with a time must still be accepted, and no id may run again.
func TestIDsWithoutTimeLeaveCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(time.Millisecond))
		c.limits.MaxRecords = 16 * Shards
		c.limits.Window, c.limits.MinWindow = 10*time.Minute, time.Minute
		n := c.add("a", 1)
		defer c.stop()
		runs := 0
		send := func(id string) error {
			_, err := n.Execute(context.Background(), requestWithin(time.Second, id), countingRun(&runs, "x"))
			return err
		}
		refused := map[int]bool{}
		const ids = 20 * Shards
		for i := range ids {
			if err := send(fmt.Sprintf("r-%d", i)); err != nil {
				require.Equal(t, refuser.QueueFull, refuser.From(err).Code)
				require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
				refused[i] = true
			}
		}
		require.Equal(t, ids-len(refused), runs)
		time.Sleep(c.limits.Window + time.Minute)
		for i := range 4 * Shards {
			require.NoError(t, send(timedID(time.Now(), i)), "ids with a time are accepted")
		}
		ran := runs
		for i := range ids {
			r := refuser.From(send(fmt.Sprintf("r-%d", i)))
			require.NotNil(t, r, "no answer is kept this long")
			require.Equal(t, refused[i], r.Fact == refuser.FactNotRun, "late call of %d: %s", i, r)
		}
		require.Equal(t, ran, runs, "nothing ran again")
	})
}

func TestGetInBoundMode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(time.Millisecond), "a", "b", "c")
		defer c.stop()
		c.bound = true
		runs := 0
		r := requestWithin(time.Second, "r-1")
		r.Mode = documenter.ModeBound
		r.BoundTo = IncarnationName(c.nodes["b"].member)
		_, err := c.nodes["a"].Execute(context.Background(), r, countingRun(&runs, "x"))
		require.NoError(t, err)
		sleepUntilSettled(t)
		for _, name := range []string{"a", "b", "c"} {
			out, err := c.nodes[name].Get(context.Background(), "schalter", "r-1")
			require.NoError(t, err)
			require.Equal(t, refuser.FactRan, out.Fact, name)
			require.Equal(t, "x", string(out.Answer.Body))
		}
		c.removeNode("b", false)
		c.add("b", 2)
		for _, name := range []string{"a", "b", "c"} {
			out, err := c.nodes[name].Get(context.Background(), "schalter", "r-1")
			require.NoError(t, err)
			require.Equal(t, refuser.FactMayHaveRun, out.Fact, "the incarnation that ran it is gone")
		}
	})
}

// TestOldestIDsExpireAtCapacity sends more ids than there is capacity for: new ones are accepted, the oldest are refused
// and never run again, and ids are kept for MinWindow.
func TestOldestIDsExpireAtCapacity(t *testing.T) {
	const requests, gap = 2500, 150 * time.Millisecond
	for _, mode := range []documenter.AtMostOnceMode{documenter.ModeJournal, documenter.ModeBound} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(newMemoryStore(time.Millisecond))
				c.limits.MaxRecords = 48 * Shards
				c.limits.MinWindow = time.Minute
				c.limits.SealBytes = 400
				c.limits.SegmentBytes = 900
				n := c.add("a", 1)
				defer c.stop()
				var ids []string
				runs := 0
				send := func(id string) error {
					r := requestWithin(time.Second, id)
					r.Mode, r.BoundTo = mode, IncarnationName(n.member)
					_, err := n.Execute(context.Background(), r, countingRun(&runs, "x"))
					return err
				}
				for i := range requests {
					ids = append(ids, timedID(time.Now(), i))
					require.NoError(t, send(ids[i]), i)
					time.Sleep(gap)
				}
				require.Equal(t, requests, runs)
				kept := int(c.limits.MinWindow / gap)
				expired := 0
				for i, id := range ids {
					err := send(id)
					if i >= requests-kept/2 {
						require.NoError(t, err, "kept for MinWindow")
					} else if err != nil {
						require.Equal(t, refuser.RequestIDExpired, refuser.From(err).Code)
						require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
						expired++
					}
				}
				require.Positive(t, expired)
				require.Equal(t, requests, runs, "nothing ran again")
			})
		})
	}
}

func timedID(at time.Time, n int) string {
	hex := fmt.Sprintf("%012x", at.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", hex[:8], hex[8:], n)
}

func TestForeignDispatcherIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newMemoryStore(0), "a")
		defer c.stop()
		_, err := c.nodes["a"].handlers[MethodClaim](context.Background(), "mallory", mustMarshal(Dispatcher{}.proto()))
		require.Error(t, err)
	})
}
