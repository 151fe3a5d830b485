package linker

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// heldConn does not get closed until it is let go.
type heldConn struct {
	net.Conn
	letGo chan struct{}
}

func (c heldConn) Close() error {
	<-c.letGo
	return c.Conn.Close()
}

func TestReadersEndBeforeTheConnectionIsClosed(t *testing.T) {
	near, far := net.Pipe()
	letGo := make(chan struct{})
	joined := &coalescer{Conn: heldConn{near, letGo}, traffic: &traffic{}}
	p := newPeer(t, Config{})
	server, err := yamux.Server(joined, p.yamuxConfig())
	require.NoError(t, err)
	client, err := yamux.Client(far, p.yamuxConfig())
	require.NoError(t, err)
	_, err = client.OpenStream()
	require.NoError(t, err)
	stream, err := server.AcceptStream()
	require.NoError(t, err)
	joined.streams.add(stream)
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		ended <- err
	}()
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	require.ErrorIs(t, <-ended, yamux.ErrTimeout, "the reader waits for the connection no longer")

	joined.streams.readUntil(stream, time.Time{})
	_, err = stream.Read(make([]byte, 1))
	require.ErrorIs(t, err, yamux.ErrTimeout, "nor does one that sets a later time")
	close(letGo)
	require.NoError(t, <-closed)
	require.NoError(t, client.Close())
}
