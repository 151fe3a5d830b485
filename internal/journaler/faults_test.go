package journaler

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/pkg/refuser"
)

var faultSeeds = flag.Uint64("fault-seeds", 3, "number of seeds of TestDaemonsUnderFaults")

// target counts runs by request id, refuses some requests and loses some answers.
type target struct {
	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int
}

// run returns a RunFunc for the request that sets ran when the run has its effect.
func (tg *target) run(id string, ran *bool) RunFunc {
	return func(ctx context.Context) (Answer, error) {
		tg.mu.Lock()
		how, pause := tg.rng.IntN(10), time.Duration(tg.rng.IntN(200))*time.Millisecond
		tg.mu.Unlock()
		if how == 0 {
			return Answer{}, refuser.New(refuser.TargetRefused, "busy")
		}
		time.Sleep(pause)
		tg.mu.Lock()
		defer tg.mu.Unlock()
		tg.runs[id]++
		*ran = true
		if how == 1 || ctx.Err() != nil {
			return Answer{}, refuser.New(refuser.TargetFailed, "cut")
		}
		return Answer{Status: 200, Body: []byte("answer of " + id)}, nil
	}
}

func (tg *target) count(id string) int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.runs[id]
}

// TestDaemonsUnderFaults runs complete daemons for minutes of virtual time while owners are killed and drained, links
// are cut, and the store is down, slow or loses answers after the write took effect.
func TestDaemonsUnderFaults(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnderFaults(t, seed) })
		})
	}
}

func runUnderFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 21))
	store := newMemoryStore(3 * time.Millisecond)
	store.rng = rand.New(rand.NewPCG(seed, 22))
	names := []string{"a", "b", "c", "d"}
	c := newCluster(store, names...)
	tg := &target{rng: rand.New(rand.NewPCG(seed, 23)), runs: map[string]int{}}
	var wait sync.WaitGroup
	var mu sync.Mutex
	endings := map[string]int{}
	send := func(id string, promise bool) {
		c.mu.Lock()
		n := c.nodes[names[rng.IntN(len(names))]]
		c.mu.Unlock()
		if n == nil {
			return
		}
		wait.Go(func() {
			before, ran := tg.count(id), false
			req := requestWithin(4*time.Second, id)
			req.NotRunBefore = promise
			o, err := n.Execute(context.Background(), req, tg.run(id, &ran))
			runs := tg.count(id)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				endings["answered"]++
				require.Equal(t, "answer of "+id, string(o.Answer.Body))
				require.Equal(t, 1, runs, id)
				return
			}
			r := refuser.From(err)
			endings[r.Code.String()+" "+r.Fact.String()]++
			if r.Fact == refuser.FactNotRun {
				// Another call may run the id between the verdict and here; the shard's fuzz test checks the verdict itself.
				require.Zero(t, before, "%s: %s", id, r)
				require.False(t, ran, "%s: %s", id, r)
			}
		})
	}
	const requests = 1500
	incarnation := uint64(1)
	for i := range requests {
		id := fmt.Sprintf("r-%d", i)
		send(id, true)
		if rng.IntN(3) == 0 {
			send(id, false)
		}
		if i > 50 && rng.IntN(4) == 0 {
			send(fmt.Sprintf("r-%d", i-rng.IntN(50)), false)
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		incarnation++
		changeFaults(c, store, rng, names, incarnation)
	}
	store.update(func(m *memoryStore) { m.down, m.headPutDelay, m.lostAnswerPercent = false, 0, 0 })
	wait.Wait()
	sleepUntilSettled(t)
	c.stop()
	for id, n := range tg.runs {
		require.Equal(t, 1, n, id)
	}
	require.Greater(t, endings["answered"], requests/3)
	t.Log(endings)
}

// changeFaults starts or ends one fault, with a low probability.
func changeFaults(c *cluster, store *memoryStore, rng *rand.Rand, names []string, incarnation uint64) {
	name := names[rng.IntN(len(names))]
	c.mu.Lock()
	n := c.nodes[name]
	live := len(c.nodes)
	c.mu.Unlock()
	switch rng.IntN(120) {
	case 0:
		store.update(func(m *memoryStore) { m.down = !m.down })
	case 1:
		store.update(func(m *memoryStore) { m.headPutDelay = time.Duration(rng.IntN(2)) * 700 * time.Millisecond })
	case 2, 3:
		store.update(func(m *memoryStore) { m.lostAnswerPercent = rng.IntN(30) })
	case 4:
		store.update(func(m *memoryStore) { m.down, m.headPutDelay = false, 0 })
	case 5, 6:
		if n != nil && live > 2 {
			go c.removeNode(name, rng.IntN(2) == 0)
		}
	case 7, 8, 9:
		if n == nil {
			c.add(name, incarnation)
		}
	case 10, 11:
		if n != nil {
			c.mu.Lock()
			n.unreachable = !n.unreachable
			c.mu.Unlock()
		}
	}
}
