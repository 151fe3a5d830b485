package keyer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/rattantray/rattantray/internal/linker"
)

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func benchPair(b *testing.B, s Settings, handle linker.Handler) (linker.Link, string, *atomic.Int64) {
	b.Helper()
	var bytes atomic.Int64
	peers := make([]*linker.Peer, 2)
	for i, name := range []string{"server", "client"} {
		k := &Keyer{Settings: s}
		security, err := k.PeerSecurity()
		require.NoError(b, err)
		peers[i], err = linker.NewPeer(linker.Config{
			Name:     name,
			Security: security,
			Log:      zerolog.Nop(),
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, "tcp", address)
				return countingConn{Conn: conn, bytes: &bytes}, err
			},
		})
		require.NoError(b, err)
	}
	peers[0].Handle("bench", handle)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	done := make(chan error, 1)
	go func() { done <- peers[0].Serve(context.Background(), listener) }()
	b.Cleanup(func() {
		require.NoError(b, peers[1].Close())
		require.NoError(b, peers[0].Close())
		require.NoError(b, <-done)
	})
	return peers[1].Link(), listener.Addr().String(), &bytes
}

func modes() map[string]Settings {
	return map[string]Settings{
		"plain": {InsecurePeers: true},
		"tls":   {Secret: "a secret for the benchmark"},
	}
}

// BenchmarkCall makes calls one after the other, and from many goroutines.
func BenchmarkCall(b *testing.B) {
	echo := func(_ context.Context, _ string, body []byte) (proto.Message, error) {
		var v wrapperspb.BytesValue
		return &v, proto.Unmarshal(body, &v)
	}
	for mode, settings := range modes() {
		for _, size := range []int{64, 1 << 10, 64 << 10, 1 << 20} {
			b.Run(fmt.Sprintf("%s/serial/bytes=%d", mode, size), func(b *testing.B) {
				link, address, bytes := benchPair(b, settings, echo)
				req := wrapperspb.Bytes(make([]byte, size))
				require.NoError(b, link.Call(context.Background(), address, "bench", req, &wrapperspb.BytesValue{}))
				h := hdrhistogram.New(1, int64(time.Minute), 3)
				before := bytes.Load()
				b.ReportAllocs()
				for b.Loop() {
					begin := time.Now()
					err := link.Call(context.Background(), address, "bench", req, &wrapperspb.BytesValue{})
					if err != nil {
						b.Fatal(err)
					}
					_ = h.RecordValue(int64(time.Since(begin)))
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
				b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
			})
			b.Run(fmt.Sprintf("%s/parallel/bytes=%d", mode, size), func(b *testing.B) {
				link, address, _ := benchPair(b, settings, echo)
				req := wrapperspb.Bytes(make([]byte, size))
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						err := link.Call(context.Background(), address, "bench", req, &wrapperspb.BytesValue{})
						if err != nil {
							b.Error(err)
							return
						}
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			})
		}
	}
}

// BenchmarkNotify sends one-way messages of the size of a heartbeat.
func BenchmarkNotify(b *testing.B) {
	for mode, settings := range modes() {
		b.Run(mode, func(b *testing.B) {
			received := make(chan struct{}, 1)
			link, address, bytes := benchPair(b, settings, func(context.Context, string, []byte) (proto.Message, error) {
				received <- struct{}{}
				return nil, nil
			})
			msg := wrapperspb.Bytes(make([]byte, 18))
			require.NoError(b, link.Notify(address, "bench", msg))
			<-received
			before := bytes.Load()
			b.ReportAllocs()
			for b.Loop() {
				if err := link.Notify(address, "bench", msg); err != nil {
					b.Fatal(err)
				}
				<-received
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
	}
}
