package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/pacer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// contendedDocument returns a configuration with a service whose streams compete by priority, so that loads are shared.
func contendedDocument(version uint64) matcher.Document {
	shares := []matcher.Share{{Service: "llm", Weight: 1}}
	return matcher.Document{
		Version:  version,
		Services: []matcher.Service{{Name: "llm", Engine: &matcher.Engine{}}},
		Routes: []matcher.Route{
			{Name: "urgent", Kind: matcher.KindStreaming, Shares: shares},
			{Name: "other", Kind: matcher.KindStreaming, Priority: 1, Shares: shares},
		},
	}
}

// TestGatewaysShareThePaceOfATarget guards against a target that returns and gets what every gateway has: all pace the new incarnation,
// and each counts what the others have waiting there. One that is cut off from the store or starts late takes no part of it away.
func TestGatewaysShareThePaceOfATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 27
		f := newServingFleet(t, n)
		store := f.platform.Store()
		for _, g := range f.all {
			g.config.Store(matcher.New(contendedDocument(2)))
			g.Adapter.DecodeTarget = func(key string, value []byte) (cataloger.Target, error) {
				address, incarnation, _ := strings.Cut(string(value), "#")
				number, err := strconv.ParseUint(incarnation, 10, 64)
				return cataloger.Target{Name: strings.TrimPrefix(key, "servers/"), Service: "llm", Address: address, State: cataloger.StateLive, Incarnation: number}, err
			}
			f.wg.Go(func() { _ = g.tallier.Run(f.ctx) })
		}
		versions := map[string]storer.Point{}
		put := func(name string, incarnation int) {
			version, err := store.Put(t.Context(), "servers/"+name, fmt.Appendf(nil, "10.0.0.1:80#%d", incarnation), versions[name])
			require.NoError(t, err)
			versions[name] = version
		}
		for i := range 8 {
			put(fmt.Sprint("t", i), 1)
		}
		time.Sleep(15 * time.Second)
		for _, g := range f.all {
			require.Zero(t, g.relayer.Pacer.Paced(), "targets without trouble have caught up")
		}
		for range 100 {
			f.all[0].relayer.Pacer.RecordRequest("llm")
		}
		time.Sleep(500 * time.Millisecond)
		put("t0", 2)
		time.Sleep(2 * time.Second)
		for i, g := range f.all {
			require.Equal(t, 1, g.relayer.Pacer.Paced(), "gateway %d", i)
			require.True(t, g.tallier.Fresh(), "gateway %d", i)
		}
		for range 40 {
			f.all[0].relayer.Pacer.Send([]string{"t0"}, time.Second)
		}
		time.Sleep(time.Second)
		for i, g := range f.all {
			require.Equal(t, map[string]pacer.Verdict{"t0": pacer.Full}, g.relayer.Pacer.Verdicts("llm"), "gateway %d", i)
		}
	})
}

// A window begins at the prompts that the target reads within half of the objective by its engine, and at the minimum where that
// is unknown.
func TestInitialWindowFollowsTheEngine(t *testing.T) {
	d := contendedDocument(1)
	d.Routes[0].Objective, d.Routes[1].Objective = 500*time.Millisecond, time.Second
	d.Services[0].Engine = &matcher.Engine{
		Layers: 80, UsualPrompt: 800, PrefillRate: 160_000, Kinds: map[string]matcher.Accelerator{"fast": {PrefillFactor: 1}, "slow": {PrefillFactor: 8}},
	}
	g := New(Settings{}, timer.System{}, zerolog.Nop())
	target := func(service, kind string, end uint32) cataloger.Target {
		return cataloger.Target{Service: service, Kind: kind, Holdings: []cataloger.Holding{{EndLayer: end, Ready: true}}}
	}
	require.Zero(t, g.initialWindow(target("llm", "fast", 80)), "no configuration")
	g.config.Store(matcher.New(d))
	require.InDelta(t, 50, g.initialWindow(target("llm", "fast", 80)), 1e-9)
	require.InDelta(t, 50, g.initialWindow(target("llm", "slow", 10)), 1e-9)
	for _, unknown := range []cataloger.Target{target("llm", "slow", 0), target("llm", "other", 10), target("app", "fast", 10)} {
		require.Zero(t, g.initialWindow(unknown))
	}
}

// Where loads are not shared nothing is paced, so that other services are served as before.
func TestTargetsArePacedOnlyWhereLoadsAreShared(t *testing.T) {
	document := contendedDocument(1)
	document.Services = append(document.Services, matcher.Service{Name: "app"})
	alike := contendedDocument(1)
	alike.Routes[1].Priority = 0
	alike.Services = document.Services
	g := New(Settings{}, timer.System{}, zerolog.Nop())
	require.False(t, g.pacesTargets("llm"), "no configuration")
	for _, d := range []matcher.Document{document, alike} {
		g.config.Store(matcher.New(d))
		for _, service := range []string{"llm", "app"} {
			require.Equal(t, d.Routes[1].Priority == 1, g.pacesTargets(service))
		}
		require.False(t, g.pacesTargets("unknown"))
	}
}
