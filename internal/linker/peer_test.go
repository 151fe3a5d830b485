package linker

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPeer returns a peer that serves on loopback, and its address.
func startPeer(t testing.TB, c Config) (*Peer, string) {
	t.Helper()
	p := newPeer(t, c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- p.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		require.NoError(t, p.Close())
		<-done
	})
	return p, listener.Addr().String()
}

func newPeer(t testing.TB, c Config) *Peer {
	t.Helper()
	if c.Security.Client == nil {
		c.Security = Insecure()
	}
	if c.Name == "" {
		c.Name = "caller"
	}
	c.Log = zerolog.Nop()
	p, err := NewPeer(c)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

func echo(_ context.Context, _ string, body []byte) (proto.Message, error) {
	var v wrapperspb.BytesValue
	err := proto.Unmarshal(body, &v)
	return &v, err
}

func callBytes(ctx context.Context, l Link, address, method string, b []byte) ([]byte, error) {
	var out wrapperspb.BytesValue
	err := l.Call(ctx, address, method, wrapperspb.Bytes(b), &out)
	return out.Value, err
}

func requireRefusal(t testing.TB, err error, code refuser.Code, fact refuser.Fact) {
	t.Helper()
	require.Error(t, err)
	r := refuser.From(err)
	require.Equal(t, code.String(), r.Code.String(), err.Error())
	require.Equal(t, fact.String(), r.Fact.String(), err.Error())
}

func TestCallAndNotify(t *testing.T) {
	server, address := startPeer(t, Config{Name: "server"})
	received := make(chan string, 10)
	server.Handle("echo", echo)
	server.Handle("tell", func(_ context.Context, peer string, body []byte) (proto.Message, error) {
		received <- peer + ":" + string(body)
		return nil, nil
	})
	link := newPeer(t, Config{Name: "client"}).Link()
	out, err := callBytes(t.Context(), link, address, "echo", []byte("hello"))
	require.NoError(t, err)
	require.Equal(t, "hello", string(out))
	require.NoError(t, link.Notify(address, "tell", wrapperspb.Bytes(nil)))
	require.NoError(t, link.Notify(address, "missing", wrapperspb.Bytes(nil)))
	require.NoError(t, link.Notify(address, "tell", wrapperspb.Bytes(nil)))
	require.Equal(t, "client:", <-received)
	require.Equal(t, "client:", <-received)
}

func TestCallToDownPeerIsNotRunAndRedialIsDelayed(t *testing.T) {
	dials := 0
	c := Config{Dial: func(context.Context, string) (net.Conn, error) {
		dials++
		return nil, net.ErrClosed
	}}
	c.RedialMin = time.Hour
	c.RedialMax = time.Hour
	link := newPeer(t, c).Link()
	for range 3 {
		_, err := callBytes(t.Context(), link, "127.0.0.1:1", "echo", nil)
		requireRefusal(t, err, refuser.PeerUnavailable, refuser.FactNotRun)
	}
	require.Equal(t, 1, dials)
}
