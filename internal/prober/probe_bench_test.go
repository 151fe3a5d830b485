package prober

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1/enginev1connect"
)

// benchEngine answers probes like an engine under load.
type benchEngine struct {
	enginev1connect.UnimplementedEngineServiceHandler
}

func (benchEngine) Describe(context.Context, *connect.Request[enginev1.DescribeRequest]) (*connect.Response[enginev1.DescribeResponse], error) {
	return connect.NewResponse(&enginev1.DescribeResponse{
		Target: "target-0001", Kind: "kind-a", MemoryBytes: 80 << 30, PrefillRate: 1e6, DecodeRate: 1e4,
		Holdings: []*enginev1.Holding{{Model: "reader", Version: "v12", EndLayer: 40, Ready: true}},
	}), nil
}

func (benchEngine) Load(context.Context, *connect.Request[enginev1.LoadRequest]) (*connect.Response[enginev1.LoadResponse], error) {
	return connect.NewResponse(&enginev1.LoadResponse{Age: durationpb.New(time.Second), Running: 12, Waiting: 3, KvUsedBytes: 30 << 30, KvTotalBytes: 60 << 30, TokenRate: 900}), nil
}

type wireConn struct {
	net.Conn
	bytes, ops *atomic.Int64
}

func (c wireConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	c.ops.Add(1)
	return n, err
}

func (c wireConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.ops.Add(1)
	return n, err
}

// BenchmarkProbe measures one probe of an engine, Describe and Load, with the engine in the same process.
func BenchmarkProbe(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	mux := http.NewServeMux()
	mux.Handle(enginev1connect.NewEngineServiceHandler(benchEngine{}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var bytes, ops atomic.Int64
	client := engineer.HTTPClientOver(func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		return wireConn{Conn: conn, bytes: &bytes, ops: &ops}, err
	})
	defer client.CloseIdleConnections()
	engine := engineer.New(client, listener.Addr().String())
	p := &Prober{
		Fleet: func() cataloger.Fleet { return cataloger.Fleet{} },
		Describe: func(ctx context.Context, _ string) (*enginev1.DescribeResponse, error) {
			return engine.Describe(ctx, &enginev1.DescribeRequest{})
		},
		Load: func(ctx context.Context, _ string) (*enginev1.LoadResponse, error) {
			return engine.Load(ctx, &enginev1.LoadRequest{})
		},
		Clock: timer.System{},
		Log:   zerolog.Nop(),
	}
	p.init()
	target := cataloger.Target{Name: "target-0001", Type: cataloger.TypeEngine}
	require.Equal(b, Answered, p.probe(context.Background(), target, time.Second).outcome)
	beforeBytes, beforeOps, cpu := bytes.Load(), ops.Load(), processorTime()
	for b.Loop() {
		if r := p.probe(context.Background(), target, time.Second); r.outcome != Answered {
			b.Fatal(r.outcome)
		}
	}
	b.ReportMetric(float64(bytes.Load()-beforeBytes)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(ops.Load()-beforeOps)/float64(b.N), "segments/op")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
