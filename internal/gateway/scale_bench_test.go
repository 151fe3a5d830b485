package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"net/url"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// scaleEngine is the engine of a model of 80 layers, of which a target holds 6 to 17.
func scaleEngine() *matcher.Engine {
	return &matcher.Engine{
		Slots: 192, Layers: 80, LayerBytes: 1.75e9, TokenBytes: 393000, ActivationBytes: 19700, PipeBytesPerSecond: 7e8,
		StepTime: time.Millisecond, LoadTime: 14 * time.Second, MaxConcurrentLoads: 16, UsualPrompt: 700, UsualAnswer: 60,
		Kinds: map[string]matcher.Accelerator{
			"a100s": {MemoryBytes: 36e9, Pace: 3.1}, "l4": {MemoryBytes: 21.6e9, Pace: 16}, "t4": {MemoryBytes: 14.4e9, Pace: 15},
		},
	}
}

// scaleTarget returns a target of a large fleet, which holds layers.
func scaleTarget(i int) cataloger.Target {
	kind, width := "t4", uint32(5)
	switch i % 9 {
	case 0:
		kind, width = "a100s", 16
	case 1, 2, 3, 4:
		kind, width = "l4", 8
	}
	first := uint32(i*7) % (80 - width + 1)
	if i < 16 {
		// Each layer has a holder.
		first, width = uint32(i*5), 5
	}
	return cataloger.Target{
		Name: fmt.Sprintf("i-%010x", i), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8243", i/250, i%250), Kind: kind,
		DataCentre: cataloger.DataCentre(fmt.Sprint("dc", i%3)), State: cataloger.StateLive, Incarnation: 1,
		Holdings: []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: first + width, Ready: true}},
	}
}

// newScaleGateway returns a gateway of a fleet of daemons before targets.
func newScaleGateway(daemons, targets int) *Gateway {
	g := New(Settings{Name: "gateway-00000", ConfigPrefix: "config/", TargetsPrefix: "servers/", DataCentre: "dc0"}, timer.System{}, zerolog.Nop())
	g.prepare(nil)
	for i := range targets {
		g.targets.Put(scaleTarget(i))
	}
	g.applyMembers(scaleMembers(daemons))
	g.started = g.started.Add(-time.Minute)
	return g
}

func scaleMembers(n int) []cataloger.Member {
	var out []cataloger.Member
	for i := range n {
		out = append(out, cataloger.Member{
			Name: fmt.Sprintf("gateway-%05d", i), Epoch: 1, Address: fmt.Sprint("10.0.0.1:", i), PeerAddress: fmt.Sprint("10.0.0.2:", i),
			DataCentre: cataloger.DataCentre(fmt.Sprint("dc", i%3)), State: cataloger.StateLive, Traits: traitReady | traitReachesStore,
		})
	}
	return out
}

// processorTime returns the processor time of this process so far, which other work on the machine changes less than the time taken.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkScale measures the work of one daemon as the fleet grows. The metric slope is the power of the size by which its processor
// time grew since the size before.
func BenchmarkScale(b *testing.B) {
	demand := chooser.Demand{Service: "llm", Engine: scaleEngine(), Tokens: 800, PrefillTokens: 700}
	targets := []int{230, 1000, 3000, 10000}
	daemons := []int{118, 300, 1000}
	for _, work := range []struct {
		name  string
		sizes []int
		setUp func(n int) (step func(i int))
	}{
		{"choice/targets", targets, func(n int) func(int) {
			g := newScaleGateway(max(n/10, 30), n)
			return func(int) { _, _ = g.relayer.Chooser.Path(demand, nil) }
		}},
		{"refusal/targets", targets, func(n int) func(int) {
			g := newScaleGateway(max(n/10, 30), n)
			return func(int) { _, _ = g.relayer.Chooser.RetryAfter(demand), g.relayer.Chooser.NoPathReason(demand) }
		}},
		{"refusal-while-paused/targets", targets, func(n int) func(int) {
			g := newScaleGateway(max(n/10, 30), n)
			for i := range n {
				g.targets.RecordPause(scaleTarget(i).Name, 1, time.Minute+time.Duration(i*7919%n)*time.Millisecond)
			}
			return func(int) { _ = g.relayer.Chooser.RetryAfter(demand) }
		}},
		{"quiet-update/targets", targets, func(n int) func(int) {
			g := newScaleGateway(max(n/10, 30), n)
			return func(int) { _ = g.buildUpdate(false) }
		}},
		{"change-and-choice/targets", targets, func(n int) func(int) {
			g := newScaleGateway(max(n/10, 30), n)
			return func(i int) {
				g.targets.Put(scaleTarget(i % n))
				_ = g.targets.Service("llm")
			}
		}},
		{"list-for-a-follower/targets", targets, func(n int) func(int) {
			g := newScaleGateway(max(n/10, 30), n)
			follow(g, n)
			request := httptest.NewRequest("GET", objectsPath+"?"+url.Values{"prefix": {g.Settings.TargetsPrefix}}.Encode(), nil)
			request.Header.Set("Accept-Encoding", "gzip")
			return func(int) { g.serveObjects(httptest.NewRecorder(), request) }
		}},
		{"choice-of-source/daemons", daemons, func(n int) func(int) {
			g := newScaleGateway(n, 1)
			return func(int) { _ = g.targetUpstream.chooseWatcher() }
		}},
		{"change-of-members/daemons", daemons, func(n int) func(int) {
			g := newScaleGateway(n, 1)
			members := scaleMembers(n)
			return func(int) { g.applyMembers(members) }
		}},
		{"resolve/daemons", daemons, func(n int) func(int) {
			g := newScaleGateway(n, 1)
			return func(int) { _ = g.EntryAddresses() }
		}},
	} {
		before, size := 0.0, 0
		for _, n := range work.sizes {
			b.Run(fmt.Sprint(work.name, "=", n), func(b *testing.B) {
				step, i := work.setUp(n), 0
				step(i)
				began := processorTime(b)
				for b.Loop() {
					step(i)
					i++
				}
				perStep := float64(processorTime(b)-began) / float64(max(i, 1))
				b.ReportMetric(perStep/float64(time.Millisecond), "processor-ms/op")
				if size > 0 && size < n {
					b.ReportMetric(math.Log(perStep/before)/math.Log(float64(n)/float64(size)), "slope")
				}
				before, size = perStep, n
			})
		}
	}
}

// follow makes the follower of targets hold n objects.
func follow(g *Gateway, n int) {
	var objects []storer.Object
	for i := range n {
		value := fmt.Sprintf(`{"name":"i-%010x","address":"10.1.%d.%d:8243","zone":"dc%d","service":"llm","state":"live","layers":{"from":%d,"target":%d,"version":"1"}}`,
			i, i/250, i%250, i%3, i%70, i%70+8)
		objects = append(objects, storer.Object{Key: fmt.Sprintf("servers/i-%010x", i), Value: []byte(value), Version: storer.Point(i + 1)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.targetFollower.Store = storer.Store{
		List: func(context.Context, string) ([]storer.Object, storer.Point, error) {
			return objects, storer.Point(n), nil
		},
		Watch: func(context.Context, string, storer.Point, func(storer.Event) error) error {
			cancel()
			return context.Canceled
		},
	}
	g.targetFollower.Apply = func(storer.Object, bool) {}
	_ = g.targetFollower.Run(ctx)
}
