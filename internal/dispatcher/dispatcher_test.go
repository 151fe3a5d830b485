package dispatcher

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4711")
	flag.Parse()
	goleak.VerifyTestMain(m)
	os.Exit(1)
}

const testLayers = 12

// testbed is a few fake engines on loopback and a dispatcher that uses them.
type testbed struct {
	engines    map[string]*enginefaker.Engine
	fleet      cataloger.Fleet
	selector   *selector.Selector
	dispatcher *Dispatcher
	registry   metrics.Registry
}

// newTestbed starts engines that hold the given ranges of layers, named e0, e1 and so on.
func newTestbed(t testing.TB, ranges [][2]uint32, change func(*enginefaker.Config)) *testbed {
	b := &testbed{engines: map[string]*enginefaker.Engine{}, registry: metrics.NewRegistry()}
	client := engineer.HTTPClient()
	for i, r := range ranges {
		cfg := enginefaker.Config{
			Name: fmt.Sprintf("e%d", i), Kind: "test", PrefillRate: 1e7, DecodeRate: 1e6, Client: client,
			Holdings: []cataloger.Holding{{Model: "m", Version: "v1", FirstLayer: r[0], EndLayer: r[1], Ready: true}},
			KeepFor:  2 * time.Second,
		}
		if change != nil {
			change(&cfg)
		}
		e := enginefaker.New(cfg)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := enginefaker.NewServer(e.Handler())
		var wait sync.WaitGroup
		wait.Go(func() { _ = server.Serve(listener) })
		t.Cleanup(func() {
			e.Close()
			_ = server.Close()
			wait.Wait()
		})
		b.engines[cfg.Name] = e
		b.fleet.Targets = append(b.fleet.Targets, cataloger.Target{
			Name: cfg.Name, Address: listener.Addr().String(), Type: cataloger.TypeEngine, State: cataloger.StateLive,
			PrefillRate: cfg.PrefillRate, DecodeRate: cfg.DecodeRate, Holdings: cfg.Holdings, DataCentre: "dc1",
		})
	}
	b.selector = selector.New(timer.System{}, rand.New(rand.NewPCG(1, 2)))
	b.update()
	pool := engineer.NewPool(client)
	b.dispatcher = New(timer.System{}, rand.New(rand.NewPCG(3, 4)), zerolog.Nop(), b.registry, b.selector, pool)
	// These timeouts are long since the engines run in real time; tests of timeouts use virtual time.
	b.dispatcher.MinStall = time.Second
	b.dispatcher.ResumeTimeout = time.Second
	b.dispatcher.ExportTimeout = time.Second
	t.Cleanup(func() {
		b.dispatcher.Close()
		pool.Close()
	})
	return b
}

func (b *testbed) update() {
	b.selector.Update(b.fleet, []selector.Model{{Name: "m", Version: "v1", Layers: testLayers}})
}

func (b *testbed) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, b.registry).Count()
}

func testJob(id string, tokens uint32) Job {
	return Job{
		Workspace: "w", Service: "s", RequestID: id, Model: "m", Version: "v1", Layers: testLayers,
		Prompt: bytes.Repeat([]byte("Grüezi "), 100), MaxTokens: tokens,
	}
}

// collector collects the parts that a caller receives, and checks their positions.
type collector struct {
	t      testing.TB
	job    Job
	parts  []Part
	onPart func(Part) error
}

func (c *collector) emit(p Part) error {
	require.Equal(c.t, c.job.StartPosition+uint64(len(c.parts)), p.Position)
	c.parts = append(c.parts, p)
	if c.onPart != nil {
		return c.onPart(p)
	}
	return nil
}

// requireCompleteAnswer checks that the answer is the one that any chain gives, with every layer run once for each token.
func (c *collector) requireCompleteAnswer() {
	want := enginefaker.Answer(c.job.Model, c.job.Version, c.job.Adapter, c.job.Prompt, c.job.StartPosition, uint64(c.job.MaxTokens))
	require.Len(c.t, c.parts, len(want))
	for i, p := range c.parts {
		require.Equal(c.t, string(want[i]), string(p.Data))
		require.Equal(c.t, i == len(want)-1, p.Last)
		requireLayersOnce(c.t, p.Receipt)
	}
}

func requireLayersOnce(t testing.TB, r *v1.Receipt) {
	var layers []uint32
	for _, s := range r.Stages {
		for l := s.FirstLayer; l < s.EndLayer; l++ {
			layers = append(layers, l)
		}
	}
	require.Len(t, layers, testLayers)
	for i, l := range layers {
		require.Equal(t, uint32(i), l)
	}
}

var threeStagesTwoTargetsEach = [][2]uint32{{0, 4}, {0, 4}, {4, 8}, {4, 8}, {8, 12}, {8, 12}}

func TestRunCompleteAnswer(t *testing.T) {
	b := newTestbed(t, threeStagesTwoTargetsEach, nil)
	for i := range 5 {
		job := testJob(fmt.Sprint("r", i), 20)
		c := &collector{t: t, job: job}
		require.NoError(t, b.dispatcher.Run(t.Context(), job, c.emit))
		c.requireCompleteAnswer()
	}
}

func TestRunRefusesBadJobs(t *testing.T) {
	b := newTestbed(t, [][2]uint32{{0, 12}}, nil)
	none := func(Part) error { t.Fatal("emitted"); return nil }
	for _, job := range []Job{{}, {RequestID: "r"}, {RequestID: "r", Layers: 12}, {RequestID: "r", Layers: 12, MaxTokens: 2, StartPosition: 2}} {
		r := refuser.From(b.dispatcher.Run(t.Context(), job, none))
		require.Equal(t, refuser.MalformedRequest, r.Code)
		require.Equal(t, refuser.FactNotRun, r.Fact)
	}
	job := testJob("r", 4)
	job.Version = "v2"
	r := refuser.From(b.dispatcher.Run(t.Context(), job, none))
	require.Equal(t, refuser.NoPipeline, r.Code)
	require.Equal(t, refuser.FactNotRun, r.Fact)
}
