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

// loopback is one router with fakes of unlimited speed, over real TCP connections.
type loopback struct {
	router  *Router
	engines []string
	service string
}

// benchPeers is the number of engines and of callers, each on its own connection.
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

const (
	requestInterval = time.Millisecond
	// windowCalls is the number of calls of one variant before the turn of the next.
	windowCalls = 250
	idleSample  = 100 * time.Millisecond
	// maxIdleWait bounds the wait of a round for the machine to be idle.
	maxIdleWait = 2 * time.Second
)

// callVariant is one way of making a call, with the latencies of its calls in idle rounds and in all.
type callVariant struct {
	name      string
	call      func(i int) error
	idle, all *hdrhistogram.Histogram
}

func newCallVariant(name string, call func(i int) error) *callVariant {
	return &callVariant{name: name, call: call, idle: hdrhistogram.New(1, 10_000_000, 3), all: hdrhistogram.New(1, 10_000_000, 3)}
}

// runWindow makes calls at 1,000 a second and returns the latency of each from when it was sent.
//
// Each call has its own goroutine, so that a slow one does not delay the next.
func (l *callVariant) runWindow(b *testing.B, first, calls int) []time.Duration {
	latencies := make([]time.Duration, calls)
	var wg sync.WaitGroup
	var failed atomic.Int64
	begin := time.Now()
	for i := range calls {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * requestInterval)))
		sent := time.Now()
		wg.Go(func() {
			if l.call(first+i) != nil {
				failed.Add(1)
			}
			latencies[i] = time.Since(sent)
		})
	}
	wg.Wait()
	require.Zero(b, failed.Load())
	return latencies
}

func (l *callVariant) record(latencies []time.Duration, idle bool) {
	for _, d := range latencies {
		_ = l.all.RecordValue(d.Microseconds())
		if idle {
			_ = l.idle.RecordValue(d.Microseconds())
		}
	}
}

// awaitIdleMachine waits, up to maxIdleWait, until other processes use little of the machine.
func awaitIdleMachine(b *testing.B) {
	for limit := time.Now().Add(maxIdleWait); time.Now().Before(limit); {
		before := readMachine(b)
		time.Sleep(idleSample)
		if isIdle(readMachine(b).otherCoresSince(before)) {
			return
		}
	}
}

// compareInterleaved makes b.N calls of each variant, in alternating windows, and compares each variant with the first.
//
// A round counts as idle if other processes used little of the machine in all its windows. Otherwise the latencies hold
// the waits of threads for a core, and a routed call passes through three times as many threads as a direct one.
func compareInterleaved(b *testing.B, variants ...*callVariant) {
	var others, queued float64
	rounds := 0
	for first := 0; first < b.N; first += windowCalls {
		awaitIdleMachine(b)
		calls := min(windowCalls, b.N-first)
		roundIdle := true
		latencies := make([][]time.Duration, len(variants))
		for i, l := range variants {
			before := readMachine(b)
			latencies[i] = l.runWindow(b, first, calls)
			after := readMachine(b)
			roundIdle = roundIdle && isIdle(after.otherCoresSince(before))
			others += after.otherCoresSince(before) / float64(len(variants))
			queued += (after.queued - before.queued).Seconds()
		}
		for i, l := range variants {
			l.record(latencies[i], roundIdle)
		}
		rounds++
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(others/float64(rounds), "others-cores")
	b.ReportMetric(queued*1e6/float64(b.N*len(variants)), "queued-us/call")
	b.ReportMetric(float64(variants[0].idle.TotalCount()), "quiet-calls")
	reportLatencies(b, "all", variants, func(l *callVariant) *hdrhistogram.Histogram { return l.all })
	if variants[0].idle.TotalCount() > 0 {
		reportLatencies(b, "quiet", variants, func(l *callVariant) *hdrhistogram.Histogram { return l.idle })
	}
}

// reportLatencies reports the latency of the first variant and the latency that each other variant adds to it.
func reportLatencies(b *testing.B, rounds string, variants []*callVariant, histogramOf func(*callVariant) *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 99} {
		base := histogramOf(variants[0]).ValueAtQuantile(q)
		b.ReportMetric(float64(base), fmt.Sprintf("%s-%s-p%.0f-us", rounds, variants[0].name, q))
		for _, l := range variants[1:] {
			b.ReportMetric(float64(histogramOf(l).ValueAtQuantile(q)-base), fmt.Sprintf("%s-%s-added-p%.0f-us", rounds, l.name, q))
		}
	}
}

// bareProxy forwards calls with the libraries of the router and has no other logic.
type bareProxy struct {
	rattantrayv1connect.UnimplementedRouterServiceHandler
	client *http.Client
	url    string
}

// Call implements rattantray.v1.RouterService.
func (h *bareProxy) Call(ctx context.Context, _ *connect.Request[v1.CallRequest]) (*connect.Response[v1.CallResponse], error) {
	body, err := httpGet(ctx, h.client, h.url)
	return connect.NewResponse(&v1.CallResponse{Data: body}), err
}

func httpGet(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

func plainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// callOver returns a function that calls the plain service through the callers' API of a server.
func callOver(address string) func(i int) error {
	client := rattantrayv1connect.NewRouterServiceClient(engineer.HTTPClient(), "http://"+address)
	return func(i int) error {
		_, err := client.Call(context.Background(), connect.NewRequest(&v1.CallRequest{Request: &v1.Request{
			Workspace: "counter", Service: "bookings", Method: "GET /status/1", RequestId: fmt.Sprintf("s-%d", i),
		}}))
		return err
	}
}

// BenchmarkRequest compares, at 1,000 requests a second, calls of a plain service through the router with direct ones and
// with calls through a bareProxy.
func BenchmarkRequest(b *testing.B) {
	x := newLoopback(b)
	url := "http://" + x.service + "/status/1"
	mux := http.NewServeMux()
	mux.Handle(rattantrayv1connect.NewRouterServiceHandler(&bareProxy{client: plainClient(), url: url}))
	hopAddress := serveLoopback(b, mux)
	direct := plainClient()
	b.ResetTimer()
	compareInterleaved(b,
		newCallVariant("direct", func(int) error {
			_, err := httpGet(context.Background(), direct, url)
			return err
		}),
		newCallVariant("hop", callOver(hopAddress)),
		newCallVariant("routed", callOver(x.router.Address())),
	)
}

const (
	benchStreams = 64
	benchTokens  = 256
)

// BenchmarkTokens compares streams of tokens through the router with direct ones from the same engines.
func BenchmarkTokens(b *testing.B) {
	x := newLoopback(b)
	pool := engineer.NewPool(engineer.HTTPClient())
	b.Run("direct", func(b *testing.B) {
		runStreams(b, func(worker int, id string) (int, error) {
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
		runStreams(b, func(worker int, id string) (int, error) {
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

// runStreams runs b.N streams, benchStreams at a time, and reports tokens a second and processor time per token.
func runStreams(b *testing.B, run func(worker int, id string) (int, error)) {
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
