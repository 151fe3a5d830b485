package journaler

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "200", "rapid.steps": "400"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

// TestJournalKeepsItsPromises checks against the oracle while daemons, entries, messages and the store fail in any order.
func TestJournalKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }, breakNothing)
		t.Repeat(map[string]func(*rapid.T){
			"move": func(*rapid.T) { h.step() },
			"": func(t *rapid.T) {
				if len(h.faults) > 0 {
					t.Fatal(h.faultText())
				}
			},
		})
		if fault := h.heal(); fault != "" {
			t.Fatal(fault)
		}
	})
}

// heal ends all faults and checks that one owner grants a new request and does not grant those that ran.
func (h *harness) heal() string {
	for i, d := range h.daemons {
		d.shard.setWanted(h.now, i == 1)
		h.collect(d)
	}
	for _, e := range h.entries {
		e.ownerView = 1
	}
	h.messages = nil
	h.draw = func(n int, _ string) int { return n - 1 }
	d := h.daemons[1]
	settle := func() {
		for range 200 {
			h.now = h.now.Add(50 * time.Millisecond)
			if d.pending != nil {
				call := *d.pending
				d.pending = nil
				d.shard.handleStoreResult(h.now, call, h.apply(call))
			} else if call, ok, _ := d.shard.next(h.now); ok {
				d.pending = &call
			}
			h.collect(d)
			for len(h.messages) > 0 {
				m := h.messages[0]
				h.messages = h.messages[1:]
				m()
			}
		}
	}
	settle()
	for id, runs := range h.runs {
		c := h.sendNewCall(id)
		settle()
		if c.state == callRunning && runs > 0 {
			return id + ": may run again after " + "all faults ended"
		}
	}
	c := h.sendNewCall(timedID(h.now, 99))
	settle()
	if c.state != callRunning {
		return "a new request received no permit: " + string(c.state)
	}
	return h.faultText()
}

func (h *harness) sendNewCall(id string) *fuzzCall {
	e := h.entries[0]
	e.nonce++
	c := &fuzzCall{entry: e, state: callAsking, dispatcher: Dispatcher{Member: e.name, Incarnation: e.incarnation, Nonce: e.nonce}}
	c.id = id
	c.deadline = h.now.Add(20 * time.Second)
	h.calls = append(h.calls, c)
	h.send(c)
	return c
}

// TestOracleDetectsDisabledSafeguards makes the same moves with one safeguard disabled at a time.
func TestOracleDetectsDisabledSafeguards(t *testing.T) {
	for _, broken := range []breakage{breakConditions, breakEarlyPermit, breakPermitTwice, breakAssumeNotRun, breakDropClaims, breakNoProof, breakFalsePromise} {
		seed, _ := firstFault(broken, 4000)
		require.NotZero(t, seed, broken)
		t.Logf("%s: detected at seed %d", broken, seed)
	}
	seed, reached := firstFault(breakNothing, 500)
	require.Zero(t, seed)
	for _, what := range []string{"ran", "takeovers", "fenced", "segments", "already-running", "request-id-expired", "replayed", "voided", "deleted segments", "store-unavailable", "not run on reading", "queue-full", "dropped early", "promised"} {
		require.NotZero(t, reached[what], "the moves never reach %s", what)
	}
	t.Log(reached)
}

// firstFault returns the first seed, starting from 1, whose moves cause a fault, and counts the cases that were reached.
func firstFault(broken breakage, seeds uint64) (uint64, map[string]uint64) {
	reached := map[string]uint64{}
	for seed := uint64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		h := newHarness(func(n int, _ string) int { return rng.IntN(n) }, broken)
		for range 600 {
			h.step()
		}
		if len(h.faults) > 0 {
			return seed, reached
		}
		h.countReached(reached)
	}
	return 0, reached
}

func (h *harness) countReached(reached map[string]uint64) {
	for _, c := range h.calls {
		if c.refusedOnPromise {
			reached["promised"]++
		}
		switch {
		case c.ran:
			reached["ran"]++
		case c.readNotRun:
			reached["not run on reading"]++
		case c.refusal != nil:
			reached[c.refusal.Code.String()]++
		case c.state == callFinished:
			reached["replayed"]++
		}
	}
	for _, history := range h.store.objects {
		if history[len(history)-1].version == 0 {
			reached["deleted segments"]++
		}
	}
	for _, d := range h.daemons {
		if d.shard.compactTo.After(h.now) {
			reached["dropped early"]++
		}
		reached["takeovers"] += d.shard.stats.Takeovers
		reached["fenced"] += d.shard.stats.Fenced
		reached["segments"] += d.shard.stats.Segments
		reached["voided"] += d.shard.stats.Voided
	}
}

func TestTableRefusals(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	limits := DefaultLimits()
	limits.MaxRecords = 1
	for name, c := range map[string]struct {
		claim claim
		kind  verdictKind
		code  refuser.Code
		fact  refuser.Fact
	}{
		"another payload": {claim{key: Key{1}, payload: [16]byte{9}}, verdictReused, refuser.RequestIDReused, refuser.FactNotRun},
		"too old":         {claim{key: Key{2}, issued: millis(now.Add(-25 * time.Hour))}, verdictExpired, refuser.RequestIDExpired, refuser.FactMayHaveRun},
		"future":          {claim{key: Key{2}, issued: millis(now.Add(time.Hour))}, verdictFuture, refuser.MalformedRequest, refuser.FactNotRun},
		"no room":         {claim{key: Key{2}}, verdictFull, refuser.QueueFull, refuser.FactNotRun},
	} {
		tb := newTable(limits, func(Dispatcher) bool { return true })
		_, _, changed := tb.claim(now, claim{key: Key{1}, dispatcher: Dispatcher{Member: "e", Nonce: 1}})
		require.True(t, changed)
		_, v, _ := tb.claim(now, c.claim)
		require.Equal(t, c.kind, v.kind, name)
		d := (&call{deadline: now.Add(time.Second)}).decide(now, v)
		require.Equal(t, c.code, d.refusal.Code, name)
		require.Equal(t, c.fact, d.refusal.Fact, name)
	}
}

// FuzzTakeover gives a new owner arbitrary bytes as the head; it must neither panic nor open on a head it cannot decode.
func FuzzTakeover(f *testing.F) {
	key := keyOf("w", "r-1")
	good := encodeHead(&peerv1.JournalHead{Epoch: 3, Owner: "a"}, encodeRecord(key, &record{state: stateClaimed}))
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		st := &fuzzStore{objects: map[string][]version{}, revision: 1}
		s := newShard(0, Dispatcher{Member: "d", Incarnation: 1}, DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
		st.objects[s.headKey()] = []version{{value: b, version: 1}}
		now := time.UnixMilli(1_700_000_000_000)
		s.setWanted(now, true)
		for range 8 {
			if call, ok, _ := s.next(now); ok {
				s.handleStoreResult(now, call, st.apply(call))
			}
			now = now.Add(time.Second)
		}
		if _, _, err := decodeHead(b); err != nil {
			require.NotEqual(t, phaseOpen, s.phase)
		}
	})
}
