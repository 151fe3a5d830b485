package storer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

func newSettler(s storer.Store) storer.Settler {
	return storer.Settler{Store: s, Clock: timer.System{}, Random: rand.New(rand.NewPCG(1, 2))}
}

func TestSettle(t *testing.T) {
	const forever = platformfaker.Duration(time.Hour)
	cases := []struct {
		name    string
		faults  []platformfaker.Fault
		base    string
		stored  string
		want    storer.Outcome
		err     error
		written bool
	}{
		{name: "plain", want: storer.OutcomeAccepted, written: true},
		{name: "answer lost", faults: []platformfaker.Fault{{Kind: platformfaker.FaultAnswerLost, Count: 1}}, want: storer.OutcomeAccepted, written: true},
		{name: "request lost", faults: []platformfaker.Fault{{Kind: platformfaker.FaultRequestLost, Count: 2}}, want: storer.OutcomeAccepted, written: true},
		{name: "answer lost, then reads are stale", faults: []platformfaker.Fault{
			{Kind: platformfaker.FaultAnswerLost, Count: 1}, {Kind: platformfaker.FaultStaleRead, Count: 3}}, want: storer.OutcomeAccepted, written: true},
		{name: "answer lost, then reads are stale, on a later version", base: "base", faults: []platformfaker.Fault{
			{Kind: platformfaker.FaultAnswerLost, Count: 1}, {Kind: platformfaker.FaultStaleRead, Count: 3}}, want: storer.OutcomeAccepted, written: true},
		{name: "answer lost, then down for a while", faults: []platformfaker.Fault{
			{Kind: platformfaker.FaultAnswerLost, Count: 1}, {Kind: platformfaker.FaultOutage, Operations: []platformfaker.Operation{platformfaker.OperationGet}, Count: 4}},
			want: storer.OutcomeAccepted, written: true},
		{name: "answer lost, then down for long", faults: []platformfaker.Fault{
			{Kind: platformfaker.FaultAnswerLost, Count: 1}, {Kind: platformfaker.FaultOutage, Operations: []platformfaker.Operation{platformfaker.OperationGet}, Duration: forever}},
			want: storer.OutcomeUncertain, written: true},
		{name: "every request lost", faults: []platformfaker.Fault{{Kind: platformfaker.FaultRequestLost, Duration: forever}}, want: storer.OutcomeUncertain},
		{name: "down", faults: []platformfaker.Fault{{Kind: platformfaker.FaultOutage, Duration: forever}}, err: storer.ErrUnavailable},
		{name: "rate limited for long", faults: []platformfaker.Fault{{Kind: platformfaker.FaultRateLimit, Duration: forever}}, err: storer.ErrUnavailable},
		{name: "raced", stored: "theirs", want: storer.OutcomeConflict},
		{name: "raced, answer lost", stored: "theirs", faults: []platformfaker.Fault{{Kind: platformfaker.FaultAnswerLost, Count: 1}}, want: storer.OutcomeConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := platformfaker.New(platformfaker.Config{})
				s := p.Store()
				if c.stored != "" {
					_, err := s.Put(t.Context(), "a", []byte(c.stored), 0)
					require.NoError(t, err)
				}
				var expected storer.Point
				if c.base != "" {
					var err error
					expected, err = s.Put(t.Context(), "a", []byte(c.base), 0)
					require.NoError(t, err)
				}
				for _, f := range c.faults {
					p.Inject(f)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				w := storer.Write{Key: "a", Value: []byte("ours"), Expected: expected, Find: findInHistory("ours", 0)}
				got, err := newSettler(s).Put(ctx, w)
				if c.err != nil {
					require.ErrorIs(t, err, c.err)
				} else {
					require.NoError(t, err)
					require.Equal(t, c.want, got.Outcome)
				}
				p.ClearFaults()
				o, err := s.Get(t.Context(), "a")
				require.Equal(t, c.written, err == nil && string(o.Value) == "ours")
				if got.Outcome == storer.OutcomeAccepted {
					require.Equal(t, o.Version, got.Version)
				}
			})
		})
	}
}

// TestSettleOverwrittenWrite checks that a value overwritten by a later write is uncertain unless values list the writes before.
func TestSettleOverwrittenWrite(t *testing.T) {
	inner := platformfaker.New(platformfaker.Config{}).Store()
	s := inner
	s.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		v, err := inner.Put(ctx, key, value, expected)
		if err != nil {
			return 0, err
		}
		_, err = inner.Put(ctx, key, append([]byte("later,"), value...), v)
		require.NoError(t, err)
		return 0, storer.ErrUncertain
	}
	got, err := newSettler(s).Put(t.Context(), storer.Write{Key: "a", Value: []byte("ours")})
	require.NoError(t, err)
	require.Equal(t, storer.OutcomeUncertain, got.Outcome)
	got, err = newSettler(s).Put(t.Context(), storer.Write{Key: "b", Value: []byte("ours"), Find: findInHistory("ours", 0)})
	require.NoError(t, err)
	require.Equal(t, storer.OutcomeAccepted, got.Outcome)
}

// findInHistory returns a Find for values that list the writes that made them, the newest first.
func findInHistory(nonce string, version storer.Point) func(storer.Object) (storer.Verdict, storer.Point) {
	return func(o storer.Object) (storer.Verdict, storer.Point) {
		writes := strings.Split(string(o.Value), ",")
		for i, w := range writes {
			if w == nonce {
				if i == 0 {
					return storer.VerdictOurs, o.Version
				}
				return storer.VerdictOurs, version
			}
		}
		return storer.VerdictOther, 0
	}
}

// TestSettleFuzz lets writers prepend to one value under faults; it contains accepted writes once, refused and conflicting ones never.
func TestSettleFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		writers := rapid.IntRange(1, 4).Draw(rt, "writers")
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 0, 8).Draw(rt, "faults")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			p := platformfaker.New(platformfaker.Config{})
			s := p.Store()
			outcomes := make(chan map[string]storer.Outcome, writers)
			for w := range writers {
				go func() { outcomes <- appendLoop(t, s, rand.New(rand.NewPCG(seed, uint64(w))), w) }()
			}
			for _, f := range faults {
				p.Inject(f)
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Minute)
			p.ClearFaults()
			all := map[string]storer.Outcome{}
			for range writers {
				for nonce, o := range <-outcomes {
					all[nonce] = o
				}
			}
			o, _ := s.Get(t.Context(), "log")
			count := map[string]int{}
			for _, nonce := range strings.Split(string(o.Value), ",") {
				count[nonce]++
			}
			for nonce, outcome := range all {
				switch outcome {
				case storer.OutcomeAccepted:
					if count[nonce] != 1 {
						failure = fmt.Sprintf("accepted %s is stored %d times: %s", nonce, count[nonce], o.Value)
					}
				case storer.OutcomeConflict, 0:
					if count[nonce] != 0 {
						failure = fmt.Sprintf("%s was reported as not written, but is stored: %s", nonce, o.Value)
					}
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func drawFault(t *rapid.T) platformfaker.Fault {
	return platformfaker.Fault{
		Kind: rapid.SampledFrom([]platformfaker.FaultKind{platformfaker.FaultAnswerLost, platformfaker.FaultRequestLost,
			platformfaker.FaultStaleRead, platformfaker.FaultOutage, platformfaker.FaultSlow, platformfaker.FaultRateLimit}).Draw(t, "kind"),
		Count:     rapid.IntRange(1, 4).Draw(t, "count"),
		Delay:     platformfaker.Duration(rapid.IntRange(1, 4000).Draw(t, "delay")) * platformfaker.Duration(time.Millisecond),
		Revisions: rapid.Uint64Range(1, 4).Draw(t, "revisions"),
	}
}

func appendLoop(t *testing.T, s storer.Store, random *rand.Rand, writer int) map[string]storer.Outcome {
	out := map[string]storer.Outcome{}
	for i := range 6 {
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		nonce := fmt.Sprintf("w%d-%d", writer, i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(5000))*time.Millisecond)
		o, err := s.Get(ctx, "log")
		if err == nil || o.Version == 0 {
			value := append([]byte(nonce+","), o.Value...)
			w := storer.Write{Key: "log", Value: value, Expected: o.Version, Find: findInHistory(nonce, 0)}
			r, err := storer.Settler{Store: s, Clock: timer.System{}, Random: random}.Put(ctx, w)
			if err != nil {
				r.Outcome = 0
			}
			out[nonce] = r.Outcome
		}
		cancel()
	}
	return out
}
