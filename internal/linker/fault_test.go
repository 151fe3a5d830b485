package linker

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// cuttingConn closes itself after a number of bytes in one direction, counted from when it is armed.
type cuttingConn struct {
	net.Conn
	armed     *atomic.Bool
	readLeft  int
	writeLeft int
	// silent discards writes instead of closing the connection, as on a half-open connection.
	silent *atomic.Bool
}

func (c *cuttingConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.armed.Load() && c.writeLeft >= 0 {
		c.writeLeft -= len(b)
		if c.writeLeft < 0 {
			_ = c.Close()
			return 0, io.ErrClosedPipe
		}
	}
	return c.Conn.Write(b)
}

func (c *cuttingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.armed.Load() && c.readLeft >= 0 {
		c.readLeft -= n
		if c.readLeft < 0 {
			_ = c.Close()
			return 0, io.ErrClosedPipe
		}
	}
	return n, err
}

// transport opens connections to one server.
type transport struct {
	name string
	// serve returns how the server listens and the client dials.
	serve func(t *testing.T) (net.Listener, func(ctx context.Context, address string) (net.Conn, error))
}

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	return nil
}
func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (p *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var transports = []transport{
	{"loopback", func(t *testing.T) (net.Listener, func(context.Context, string) (net.Conn, error)) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return l, func(ctx context.Context, _ string) (net.Conn, error) { return dialTCP(ctx, l.Addr().String()) }
	}},
	{"pipes", func(*testing.T) (net.Listener, func(context.Context, string) (net.Conn, error)) {
		p := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		return p, p.dial
	}},
}

// linkPair is one server and one client whose first connection can be cut.
type linkPair struct {
	server *Peer
	client *Peer
	armed  atomic.Bool
	silent atomic.Bool
	calls  atomic.Int64
	dials  atomic.Int64
	block  chan struct{}
}

func newLinkPair(t *testing.T, tr transport, readLeft, writeLeft int, c Config) *linkPair {
	t.Helper()
	k := &linkPair{block: make(chan struct{})}
	listener, dial := tr.serve(t)
	c.Name = "server"
	k.server = newPeer(t, c)
	k.server.Handle("echo", func(ctx context.Context, peer string, body []byte) (proto.Message, error) {
		// Cut reads from the second call on, once it runs.
		k.armed.Store(k.calls.Add(1) > 1 || k.armed.Load())
		return echo(ctx, peer, body)
	})
	k.server.Handle("block", func(ctx context.Context, _ string, _ []byte) (proto.Message, error) {
		k.calls.Add(1)
		select {
		case <-k.block:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	k.server.Handle("refuse", func(context.Context, string, []byte) (proto.Message, error) {
		return nil, refuser.New(refuser.ShardMoved, "shard 7").WithRetryAfter(time.Second).WithDigest([]byte{1})
	})
	k.server.Handle("fail", func(context.Context, string, []byte) (proto.Message, error) {
		return nil, errors.New("broken")
	})
	k.server.Handle("panic", func(context.Context, string, []byte) (proto.Message, error) { panic("bug") })
	k.server.Handle("big", func(context.Context, string, []byte) (proto.Message, error) {
		return wrapperspb.Bytes(make([]byte, 2<<10)), nil
	})
	c.Name = "client"
	c.RedialMin, c.RedialMax = time.Nanosecond, time.Nanosecond
	c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		if k.dials.Add(1) > 1 {
			return conn, nil
		}
		return &cuttingConn{Conn: conn, armed: &k.armed, silent: &k.silent, readLeft: readLeft, writeLeft: writeLeft}, nil
	}
	k.client = newPeer(t, c)
	done := make(chan error, 1)
	go func() { done <- k.server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		require.NoError(t, k.client.Close())
		require.NoError(t, k.server.Close())
		require.NoError(t, <-done)
	})
	return k
}

func (k *linkPair) call(ctx context.Context, method string, size int) error {
	_, err := callBytes(ctx, k.client.Link(), "server", method, make([]byte, size))
	return err
}

func TestLinkContract(t *testing.T) {
	const never = -1
	tests := []struct {
		name        string
		read, write int
		method      string
		size        int
		code        refuser.Code
		fact        refuser.Fact
		// ran is whether the handler of the call may have run.
		ran bool
	}{
		{"cut before the call", never, 0, "echo", 10, refuser.OK, refuser.FactRan, true},
		{"cut at the first byte of the call", never, 12, "echo", 10, refuser.PeerUnavailable, refuser.FactMayHaveRun, false},
		{"cut in the middle of the call", never, 100, "echo", 900, refuser.PeerUnavailable, refuser.FactMayHaveRun, false},
		{"cut before the reply", 0, never, "echo", 10, refuser.PeerUnavailable, refuser.FactMayHaveRun, true},
		{"cut in the middle of the reply", 100, never, "echo", 900, refuser.PeerUnavailable, refuser.FactMayHaveRun, true},
		{"request over the limit", never, never, "echo", 2 << 10, refuser.PayloadTooLarge, refuser.FactNotRun, false},
		{"reply over the limit", never, never, "big", 1, refuser.PayloadTooLarge, refuser.FactRan, false},
		{"unknown method", never, never, "missing", 1, refuser.UnknownMethod, refuser.FactNotRun, false},
		{"refusal by the handler", never, never, "refuse", 1, refuser.ShardMoved, refuser.FactNotRun, false},
		{"error of the handler", never, never, "fail", 1, refuser.Internal, refuser.FactMayHaveRun, false},
		{"panic of the handler", never, never, "panic", 1, refuser.Internal, refuser.FactMayHaveRun, false},
	}
	for _, tr := range transports {
		for _, tt := range tests {
			t.Run(tr.name+"/"+tt.name, func(t *testing.T) {
				k := newLinkPair(t, tr, tt.read, tt.write, Config{MaxMessageBytes: 1 << 10})
				require.NoError(t, k.call(t.Context(), "echo", 1))
				k.armed.Store(tt.write != never)
				err := k.call(t.Context(), tt.method, tt.size)
				if tt.code == refuser.OK {
					require.NoError(t, err, "a call that was not sent is retried on a new connection")
					require.Equal(t, int64(2), k.dials.Load())
					return
				}
				requireRefusal(t, err, tt.code, tt.fact)
				if !tt.ran {
					require.Equal(t, int64(1), k.calls.Load(), "the handler must not have been called")
				}
				require.NoError(t, k.call(t.Context(), "echo", 10), "the next call dials again where needed")
			})
		}
	}
}

func TestRefusalKeepsItsParts(t *testing.T) {
	k := newLinkPair(t, transports[0], -1, -1, Config{})
	r := refuser.From(k.call(t.Context(), "refuse", 1))
	require.Equal(t, "shard 7", r.Message)
	require.Equal(t, time.Second, r.RetryAfter)
	require.Equal(t, []byte{1}, r.Digest)
}

// remoteCount returns the number of addresses that the peer has an entry for.
func (p *Peer) remoteCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.remotes)
}

// flushTimerPool empties the timer pool of yamux, since timers of one synctest bubble cannot be used in another.
func flushTimerPool() {
	runtime.GC()
	runtime.GC()
}

func TestCallsInVirtualTime(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, k *linkPair)
	}{
		{"a call to a slow peer ends at its deadline", func(t *testing.T, k *linkPair) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			begin := time.Now()
			requireRefusal(t, k.call(ctx, "block", 1), refuser.PeerUnavailable, refuser.FactMayHaveRun)
			require.Equal(t, time.Second, time.Since(begin))
			require.NoError(t, k.call(t.Context(), "echo", 1))
			require.Equal(t, int64(1), k.dials.Load(), "a slow call does not close the connection")
		}},
		{"a half-open connection is detected and replaced", func(t *testing.T, k *linkPair) {
			require.NoError(t, k.call(t.Context(), "echo", 1))
			k.silent.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			requireRefusal(t, k.call(ctx, "echo", 1), refuser.PeerUnavailable, refuser.FactMayHaveRun)
			time.Sleep(2 * defaultWriteTimeout)
			require.NoError(t, k.call(t.Context(), "echo", 1))
			require.Equal(t, int64(2), k.dials.Load())
		}},
		{"calls over the limit wait and are not run", func(t *testing.T, k *linkPair) {
			for range 2 {
				go func() { _ = k.call(t.Context(), "block", 1) }()
			}
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			requireRefusal(t, k.call(ctx, "echo", 1), refuser.PeerUnavailable, refuser.FactNotRun)
			require.Equal(t, int64(2), k.calls.Load())
			close(k.block)
			synctest.Wait()
			require.NoError(t, k.call(t.Context(), "echo", 1))
		}},
		{"a canceled call cancels its handler", func(t *testing.T, k *linkPair) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- k.call(ctx, "block", 1) }()
			synctest.Wait()
			cancel()
			requireRefusal(t, <-done, refuser.PeerUnavailable, refuser.FactMayHaveRun)
			require.NoError(t, k.server.Close(), "Close waits for handlers")
		}},
		{"messages over the limit are dropped with an error", func(t *testing.T, k *linkPair) {
			var err error
			for range 10 {
				if err == nil {
					err = k.client.Link().Notify("server", "block", wrapperspb.Bytes(make([]byte, 1000)))
				}
			}
			require.ErrorIs(t, err, queuer.ErrFull)
			close(k.block)
		}},
		{"an idle connection is removed", func(t *testing.T, k *linkPair) {
			require.NoError(t, k.call(t.Context(), "echo", 1))
			idle := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
			serveCtx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- k.client.Serve(serveCtx, idle) }()
			time.Sleep(defaultIdleTimeout / 2)
			require.Equal(t, 1, k.client.remoteCount())
			time.Sleep(2 * defaultIdleTimeout)
			require.Zero(t, k.client.remoteCount())
			stop()
			require.NoError(t, <-done)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			flushTimerPool()
			defer flushTimerPool()
			synctest.Test(t, func(t *testing.T) {
				k := newLinkPair(t, transports[1], -1, -1, Config{MaxStreams: 2, NotifyBacklog: 4})
				tt.run(t, k)
			})
		})
	}
}

func TestNewPeerErrors(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		want   string
	}{
		{"no name", Config{Security: Insecure()}, "name is empty"},
		{"no security", Config{Name: "a"}, "security is not set"},
		{"negative size", Config{Name: "a", Security: Insecure(), MaxStreams: -1}, "must not be negative"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewPeer(tt.config)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestConnectionsWithoutHandshakeAreRefused(t *testing.T) {
	tests := []struct {
		name string
		send []byte
	}{
		{"HTTP", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"an endless hello", []byte{0xff, 0xff, 0xff, 0xff}},
		{"an empty hello", []byte{0, 0, 0, 0}},
		{"another protocol version", []byte{0, 0, 0, 5, 8, 9, 18, 1, 'x'}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := startPeer(t, Config{Name: "server"})
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			_, err = conn.Write(tt.send)
			require.NoError(t, err)
			_, err = io.ReadAll(conn)
			if err != nil {
				// Closing a connection with unread input resets it.
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
			require.NoError(t, conn.Close())
		})
	}
}
