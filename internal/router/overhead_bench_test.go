package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/servicefaker"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
)

// loopback is one daemon with unlimited fakes on real connections.
type loopback struct {
	router  *Router
	engines []string
	service string
}

// benchPeers is how many engines and callers there are, each on a connection of its own.
const benchPeers = 8

func serveLoopback(b *testing.B, handler http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := enginefaker.NewServer(handler)
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func newLoopback(b *testing.B) *loopback {
	b.Helper()
	platform := platformfaker.New(platformfaker.Config{Clock: timer.System{}})
	service := servicefaker.New(servicefaker.Config{Name: "bookings-1", Clock: timer.System{}})
	x := &loopback{service: serveLoopback(b, service.Handler())}
	targets := []cataloger.Target{
		{Name: "bookings-1", VM: "vm-1", DataCentre: "dc-a", Address: x.service, Type: cataloger.TypeService, Service: "bookings"},
	}
	for i := range benchPeers {
		name := fmt.Sprintf("engine-%d", i)
		engine := enginefaker.New(enginefaker.Config{
			Name: name, Kind: "a100", Clock: timer.System{}, Client: engineer.HTTPClient(), DecodeRate: 1e9, PrefillRate: 1e9,
			Holdings: []cataloger.Holding{{Model: "m", Version: "v1", EndLayer: 8, Ready: true}},
		})
		b.Cleanup(engine.Close)
		address := serveLoopback(b, engine.Handler())
		x.engines = append(x.engines, address)
		targets = append(targets, cataloger.Target{Name: name, VM: "vm-1", DataCentre: "dc-a", Address: address, Type: cataloger.TypeEngine})
	}
	platform.SetVMs([]cataloger.VM{{Name: "vm-1", DataCentre: "dc-a", Role: cataloger.RoleTarget, Targets: targets}})
	s := DefaultSettings()
	s.DataCentre = "dc-a"
	s.InsecurePeers = true
	s.Listen = "127.0.0.1:0"
	s.PeerListen = "127.0.0.1:0"
	s.Platform = serveLoopback(b, platform.Handler())
	s.ResumeKeys = []string{strings.Repeat("ab", 32)}
	ready := make(chan struct{})
	var err error
	x.router, err = New(Config{Settings: s, Log: zerolog.Nop(), Clock: timer.System{}, Network: TCP(), Ready: func(string) { close(ready) }})
	require.NoError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.router.Run(ctx) }()
	b.Cleanup(func() {
		x.router.Force()
		stop()
		<-done
	})
	<-ready
	op := rattantrayv1connect.NewOperatorServiceClient(engineer.HTTPClient(), "http://"+x.router.Address())
	for _, document := range []string{assistantDocument, bookingsDocument} {
		require.Eventually(b, func() bool {
			resp, err := op.Apply(context.Background(), connect.NewRequest(&v1.ApplyRequest{Document: []byte(document)}))
			return err == nil && resp.Msg.Result == v1.ApplyResult_APPLY_RESULT_ACCEPTED
		}, 20*time.Second, 50*time.Millisecond)
	}
	require.Eventually(b, func() bool { return x.router.Serves("assistant") && x.router.Serves("bookings") }, 20*time.Second, 50*time.Millisecond)
	return x
}

// atRate runs calls at 1,000 a second and reports their latency.
func atRate(b *testing.B, call func(i int) error) *hdrhistogram.Histogram {
	const gap = time.Millisecond
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed atomic.Int64
	begin := time.Now()
	for i := range b.N {
		due := begin.Add(time.Duration(i) * gap)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			if call(i) != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			_ = h.RecordValue(time.Since(due).Microseconds())
			mu.Unlock()
		})
	}
	wg.Wait()
	require.Zero(b, failed.Load())
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
	return h
}

// BenchmarkRequest compares a call of a plain service through the daemon with a direct one, at 1,000 requests a second.
func BenchmarkRequest(b *testing.B) {
	x := newLoopback(b)
	direct := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Run("direct", func(b *testing.B) {
		atRate(b, func(int) error {
			resp, err := direct.Get("http://" + x.service + "/status/1")
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	})
	client := rattantrayv1connect.NewRouterServiceClient(engineer.HTTPClient(), "http://"+x.router.Address())
	b.Run("routed", func(b *testing.B) {
		atRate(b, func(i int) error {
			_, err := client.Call(context.Background(), connect.NewRequest(&v1.CallRequest{Request: &v1.Request{
				Workspace: "counter", Service: "bookings", Method: "GET /status/1", RequestId: fmt.Sprintf("s-%d", i),
			}}))
			return err
		})
	})
}

const (
	benchStreams = 64
	benchTokens  = 256
)

// BenchmarkTokens compares streams of tokens through the daemon with direct ones to the same engine.
func BenchmarkTokens(b *testing.B) {
	x := newLoopback(b)
	pool := engineer.NewPool(engineer.HTTPClient())
	b.Run("direct", func(b *testing.B) {
		streams(b, func(worker int, id string) (int, error) {
			i := worker % benchPeers
			stream, err := pool.Get(x.engines[i]).Generate(context.Background(), &enginev1.GenerateRequest{
				Workspace: "counter", RequestId: id, Attempt: 1, Model: "m", Version: "v1", Prompt: []byte("prompt"), MaxTokens: benchTokens,
				Route: []*enginev1.Stage{{Target: fmt.Sprintf("engine-%d", i), Address: x.engines[i], EndLayer: 8}},
			})
			if err != nil {
				return 0, err
			}
			defer func() { _ = stream.Close() }()
			for n := 0; ; n++ {
				if _, err := stream.Receive(); err != nil {
					if errors.Is(err, io.EOF) {
						return n, nil
					}
					return n, err
				}
			}
		})
	})
	var clients []rattantrayv1connect.RouterServiceClient
	for range benchPeers {
		clients = append(clients, rattantrayv1connect.NewRouterServiceClient(engineer.HTTPClient(), "http://"+x.router.Address()))
	}
	b.Run("routed", func(b *testing.B) {
		streams(b, func(worker int, id string) (int, error) {
			stream, err := clients[worker%benchPeers].Send(context.Background(), connect.NewRequest(&v1.SendRequest{Request: &v1.Request{
				Workspace: "counter", Service: "assistant", RequestId: id, Payload: []byte("prompt"), MaxTokens: benchTokens,
				Timeout: durationpb.New(time.Minute),
			}}))
			if err != nil {
				return 0, err
			}
			defer func() { _ = stream.Close() }()
			n := 0
			for stream.Receive() {
				n++
			}
			return n, stream.Err()
		})
	})
}

// streams runs b.N streams, some at a time, and reports tokens a second and the processor time of each.
func streams(b *testing.B, run func(worker int, id string) (int, error)) {
	var next, tokens atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	cpu := processorTime(b)
	for worker := range benchStreams {
		wg.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				n, err := run(worker, fmt.Sprintf("%s-%d-%d", b.Name(), begin.UnixNano(), i))
				if err != nil || n != benchTokens {
					b.Errorf("%d tokens: %v", n, err)
					return
				}
				tokens.Add(int64(n))
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(tokens.Load())/time.Since(begin).Seconds(), "tokens/s")
	b.ReportMetric(float64(processorTime(b)-cpu)/float64(tokens.Load())/1000, "cpu-us/token")
	b.ReportMetric(float64(runtime.NumGoroutine()), "goroutines")
}
