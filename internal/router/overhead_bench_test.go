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

const (
	requestGap = time.Millisecond
	// windowCalls are made on one leg before the next leg has its turn.
	windowCalls = 250
	quietSample = 100 * time.Millisecond
	// quietWait is how long a round waits for the machine to be quiet.
	quietWait = 2 * time.Second
)

// leg is one way of making a call, with the latency of its calls in quiet windows and in all.
type leg struct {
	name       string
	call       func(i int) error
	quiet, all *hdrhistogram.Histogram
}

func newLeg(name string, call func(i int) error) *leg {
	return &leg{name: name, call: call, quiet: hdrhistogram.New(1, 10_000_000, 3), all: hdrhistogram.New(1, 10_000_000, 3)}
}

// window makes calls at 1,000 a second and returns the latency of each from when it was sent.
//
// Each call has a goroutine of its own, so that a slow one delays none after it.
func (l *leg) window(b *testing.B, first, calls int) []time.Duration {
	took := make([]time.Duration, calls)
	var wg sync.WaitGroup
	var failed atomic.Int64
	begin := time.Now()
	for i := range calls {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * requestGap)))
		sent := time.Now()
		wg.Go(func() {
			if l.call(first+i) != nil {
				failed.Add(1)
			}
			took[i] = time.Since(sent)
		})
	}
	wg.Wait()
	require.Zero(b, failed.Load())
	return took
}

func (l *leg) record(took []time.Duration, quiet bool) {
	for _, d := range took {
		_ = l.all.RecordValue(d.Microseconds())
		if quiet {
			_ = l.quiet.RecordValue(d.Microseconds())
		}
	}
}

// awaitQuiet waits a while for other processes to leave the machine alone.
func awaitQuiet(b *testing.B) {
	for limit := time.Now().Add(quietWait); time.Now().Before(limit); {
		before := readMachine(b)
		time.Sleep(quietSample)
		if quiet(readMachine(b).othersSince(before)) {
			return
		}
	}
}

// inTurn makes b.N calls on each leg, a window on one and then on the next, and compares each leg with the first.
//
// A round counts as quiet where other processes used little of the machine throughout: the time that a thread waits
// for a core is the machine's, and a routed call passes three times as many threads as a direct one.
func inTurn(b *testing.B, legs ...*leg) {
	var others, queued float64
	rounds := 0
	for first := 0; first < b.N; first += windowCalls {
		awaitQuiet(b)
		calls := min(windowCalls, b.N-first)
		wholly := true
		took := make([][]time.Duration, len(legs))
		for i, l := range legs {
			before := readMachine(b)
			took[i] = l.window(b, first, calls)
			after := readMachine(b)
			wholly = wholly && quiet(after.othersSince(before))
			others += after.othersSince(before) / float64(len(legs))
			queued += (after.queued - before.queued).Seconds()
		}
		for i, l := range legs {
			l.record(took[i], wholly)
		}
		rounds++
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(others/float64(rounds), "others-cores")
	b.ReportMetric(queued*1e6/float64(b.N*len(legs)), "queued-us/call")
	b.ReportMetric(float64(legs[0].quiet.TotalCount()), "quiet-calls")
	reportLegs(b, "all", legs, func(l *leg) *hdrhistogram.Histogram { return l.all })
	if legs[0].quiet.TotalCount() > 0 {
		reportLegs(b, "quiet", legs, func(l *leg) *hdrhistogram.Histogram { return l.quiet })
	}
}

// reportLegs reports the latency of the first leg and what each other leg adds to it.
func reportLegs(b *testing.B, when string, legs []*leg, of func(*leg) *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 99} {
		base := of(legs[0]).ValueAtQuantile(q)
		b.ReportMetric(float64(base), fmt.Sprintf("%s-%s-p%.0f-us", when, legs[0].name, q))
		for _, l := range legs[1:] {
			b.ReportMetric(float64(of(l).ValueAtQuantile(q)-base), fmt.Sprintf("%s-%s-added-p%.0f-us", when, l.name, q))
		}
	}
}

// hop answers calls by passing them on, with the libraries of the daemon and nothing of its own.
type hop struct {
	rattantrayv1connect.UnimplementedRouterServiceHandler
	client *http.Client
	url    string
}

// Call implements rattantray.v1.RouterService.
func (h *hop) Call(ctx context.Context, _ *connect.Request[v1.CallRequest]) (*connect.Response[v1.CallResponse], error) {
	body, err := get(ctx, h.client, h.url)
	return connect.NewResponse(&v1.CallResponse{Data: body}), err
}

func get(ctx context.Context, client *http.Client, url string) ([]byte, error) {
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

// callOver returns a call of the plain service by the API for callers.
func callOver(address string) func(i int) error {
	client := rattantrayv1connect.NewRouterServiceClient(engineer.HTTPClient(), "http://"+address)
	return func(i int) error {
		_, err := client.Call(context.Background(), connect.NewRequest(&v1.CallRequest{Request: &v1.Request{
			Workspace: "counter", Service: "bookings", Method: "GET /status/1", RequestId: fmt.Sprintf("s-%d", i),
		}}))
		return err
	}
}

// BenchmarkRequest compares a call of a plain service through the daemon with a direct one, at 1,000 requests a second,
// and with one over a hop that does nothing.
func BenchmarkRequest(b *testing.B) {
	x := newLoopback(b)
	url := "http://" + x.service + "/status/1"
	mux := http.NewServeMux()
	mux.Handle(rattantrayv1connect.NewRouterServiceHandler(&hop{client: plainClient(), url: url}))
	hopAddress := serveLoopback(b, mux)
	direct := plainClient()
	b.ResetTimer()
	inTurn(b,
		newLeg("direct", func(int) error {
			_, err := get(context.Background(), direct, url)
			return err
		}),
		newLeg("hop", callOver(hopAddress)),
		newLeg("routed", callOver(x.router.Address())),
	)
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
