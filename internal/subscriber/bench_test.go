package subscriber

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rcrowley/go-metrics"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/enginefaker"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// BenchmarkEvent delivers events to a selector: from memory, and from an engine over a connection.
func BenchmarkEvent(b *testing.B) {
	s := selector.New(timer.System{}, rand.New(rand.NewPCG(1, 2)))
	x := &Subscriber{
		Observe: s.ObserveCache, ObserveGap: s.ObserveCacheGap, Clock: timer.System{}, Log: zerolog.Nop(),
		counts: newCounters(metrics.NewRegistry()),
	}
	sub := &subscription{s: x, name: "e"}
	b.Run("taken", func(b *testing.B) {
		n := uint64(0)
		_ = sub.receiveEvents(&engineer.Events{Receive: func() (*enginev1.CacheEventsResponse, error) {
			n++
			if n > uint64(b.N) {
				return nil, net.ErrClosed
			}
			return &enginev1.CacheEventsResponse{Sequence: n, Prefix: n % 100_000, Removed: n%3 == 0}, nil
		}})
	})
	b.Run("over a connection", func(b *testing.B) { overConnection(b, sub) })
	engines := make([]cataloger.Target, 660)
	for i := range engines {
		engines[i].Name = fmt.Sprint("engine-", i)
	}
	b.Run("selection of 64 from 660", func(b *testing.B) {
		for b.Loop() {
			selectEngines("router-1", engines, func(string) bool { return false }, DefaultStreams)
		}
	})
}

// overConnection receives the events of prompts that an engine on this machine ran before.
func overConnection(b *testing.B, sub *subscription) {
	const prompts, blocks = 256, 32
	clock := timer.System{}
	engine := enginefaker.New(enginefaker.Config{
		Name: "e", Clock: clock, CacheBlocks: 2 * prompts * blocks, EventLag: 1,
		Holdings: []cataloger.Holding{{Model: "m", Version: "v1", EndLayer: 8, Ready: true}},
	})
	defer engine.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := enginefaker.NewServer(engine.Handler())
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	address := l.Addr().String()
	client := engineer.New(engineer.HTTPClient(), address)
	for i := range prompts {
		prompt := make([]byte, blocks*engineer.PrefixBlockBytes)
		copy(prompt, fmt.Sprint(i))
		stream, err := client.Generate(b.Context(), &enginev1.GenerateRequest{
			Workspace: "w", RequestId: fmt.Sprint(i), Attempt: 1, Model: "m", Version: "v1", Prompt: prompt, MaxTokens: 1,
			Route: []*enginev1.Stage{{Target: "e", Address: address, EndLayer: 8}},
		})
		require.NoError(b, err)
		_, err = stream.Receive()
		require.NoError(b, err)
		require.NoError(b, stream.Close())
	}
	const events = prompts * blocks
	b.ResetTimer()
	for remaining := b.N; remaining > 0; remaining -= events {
		stream, err := client.CacheEvents(b.Context(), &enginev1.CacheEventsRequest{})
		require.NoError(b, err)
		n := 0
		_ = sub.receiveEvents(&engineer.Events{Receive: func() (*enginev1.CacheEventsResponse, error) {
			if n == min(remaining, events) {
				return nil, net.ErrClosed
			}
			n++
			return stream.Receive()
		}})
		require.NoError(b, stream.Close())
	}
}
