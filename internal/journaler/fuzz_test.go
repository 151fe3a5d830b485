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

// TestJournalKeepsItsPromises lets daemons, entries, messages and the store fail in every order against the oracle.
func TestJournalKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }, breakNothing)
		t.Repeat(map[string]func(*rapid.T){
			"move": func(*rapid.T) { h.step() },
			"": func(t *rapid.T) {
				if len(h.faults) > 0 {
					t.Fatal(h.verdictText())
				}
			},
		})
		if fault := h.heal(); fault != "" {
			t.Fatal(fault)
		}
	})
}

// heal ends all faults and checks that one owner serves a new request and knows the old ones.
func (h *harness) heal() string {
	for i, d := range h.daemons {
		d.shard.want(h.now, i == 1)
		h.collect(d)
	}
	for _, e := range h.entries {
		e.view = 1
	}
	h.mail = nil
	h.pick = func(n int, _ string) int { return n - 1 }
	d := h.daemons[1]
	settle := func() {
		for range 200 {
			h.now = h.now.Add(50 * time.Millisecond)
			if d.pending != nil {
				call := *d.pending
				d.pending = nil
				d.shard.done(h.now, call, h.apply(call))
			} else if call, ok, _ := d.shard.next(h.now); ok {
				d.pending = &call
			}
			h.collect(d)
			for len(h.mail) > 0 {
				m := h.mail[0]
				h.mail = h.mail[1:]
				m()
			}
		}
	}
	settle()
	for id, runs := range h.runs {
		c := h.fresh(id)
		settle()
		if c.state == callRunning && runs > 0 {
			return id + ": may run again after " + "all healed"
		}
	}
	c := h.fresh(timedID(h.now, 99))
	settle()
	if c.state != callRunning {
		return "a new request got no permit: " + string(c.state)
	}
	return h.verdictText()
}

func (h *harness) fresh(id string) *fuzzCall {
	e := h.entries[0]
	e.nonce++
	c := &fuzzCall{entry: e, state: callAsking, dispatcher: Dispatcher{Member: e.name, Incarnation: e.life, Nonce: e.nonce}}
	c.id = id
	c.deadline = h.now.Add(20 * time.Second)
	h.calls = append(h.calls, c)
	h.send(c)
	return c
}

// TestOracleNoticesBrokenSafeguards runs the same moves with one safeguard off at a time.
func TestOracleNoticesBrokenSafeguards(t *testing.T) {
	for _, broken := range []breakage{breakConditions, breakEarlyPermit, breakPermitTwice, breakEagerNotRun, breakForgetClaims, breakNoProof, breakPromise} {
		seed, _ := firstFault(broken, 4000)
		require.NotZero(t, seed, broken)
		t.Logf("%s: noticed at seed %d", broken, seed)
	}
	seed, seen := firstFault(breakNothing, 500)
	require.Zero(t, seed)
	for _, what := range []string{"ran", "takeovers", "fenced", "segments", "already-running", "request-id-expired", "replayed", "voided", "deleted segments", "store-unavailable", "not run on looking", "queue-full", "dropped early", "promised"} {
		require.NotZero(t, seen[what], "the moves never reach %s", what)
	}
	t.Log(seen)
}

// firstFault returns the first seed, from 1, whose moves show a fault, and counts what the moves reached.
func firstFault(broken breakage, seeds uint64) (uint64, map[string]uint64) {
	seen := map[string]uint64{}
	for seed := uint64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		h := newHarness(func(n int, _ string) int { return rng.IntN(n) }, broken)
		for range 600 {
			h.step()
		}
		if len(h.faults) > 0 {
			return seed, seen
		}
		h.count(seen)
	}
	return 0, seen
}

func (h *harness) count(seen map[string]uint64) {
	for _, c := range h.calls {
		if c.promised {
			seen["promised"]++
		}
		switch {
		case c.ran:
			seen["ran"]++
		case c.looked:
			seen["not run on looking"]++
		case c.refusal != nil:
			seen[c.refusal.Code.String()]++
		case c.state == callFinished:
			seen["replayed"]++
		}
	}
	for _, past := range h.store.objects {
		if past[len(past)-1].version == 0 {
			seen["deleted segments"]++
		}
	}
	for _, d := range h.daemons {
		if d.shard.compactTo.After(h.now) {
			seen["dropped early"]++
		}
		seen["takeovers"] += d.shard.stats.Takeovers
		seen["fenced"] += d.shard.stats.Fenced
		seen["segments"] += d.shard.stats.Segments
		seen["voided"] += d.shard.stats.Voided
	}
}

func TestRefusalsOfTheTable(t *testing.T) {
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
		d := (&call{deadline: now.Add(time.Second)}).verdict(now, v)
		require.Equal(t, c.code, d.refusal.Code, name)
		require.Equal(t, c.fact, d.refusal.Fact, name)
	}
}

// FuzzTakeover gives a new owner any bytes for a head; it must neither panic nor open on what it cannot read.
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
		s.want(now, true)
		for range 8 {
			if call, ok, _ := s.next(now); ok {
				s.done(now, call, st.apply(call))
			}
			now = now.Add(time.Second)
		}
		if _, _, err := decodeHead(b); err != nil {
			require.NotEqual(t, phaseOpen, s.phase)
		}
	})
}
