package linker

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// heldConn delays Close until release is closed.
type heldConn struct {
	net.Conn
	release chan struct{}
}

func (c heldConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

func TestReadersEndBeforeTheConnectionIsClosed(t *testing.T) {
	near, far := net.Pipe()
	release := make(chan struct{})
	coalesced := &coalescer{Conn: heldConn{near, release}, traffic: &traffic{}}
	p := newPeer(t, Config{})
	server, err := yamux.Server(coalesced, p.yamuxConfig())
	require.NoError(t, err)
	client, err := yamux.Client(far, p.yamuxConfig())
	require.NoError(t, err)
	_, err = client.OpenStream()
	require.NoError(t, err)
	stream, err := server.AcceptStream()
	require.NoError(t, err)
	coalesced.streams.add(stream)
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		ended <- err
	}()
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	require.ErrorIs(t, <-ended, yamux.ErrTimeout, "the reader does not wait for the connection to close")

	coalesced.streams.setReadDeadline(stream, time.Time{})
	_, err = stream.Read(make([]byte, 1))
	require.ErrorIs(t, err, yamux.ErrTimeout, "nor does one that sets a later deadline")
	close(release)
	require.NoError(t, <-closed)
	require.NoError(t, client.Close())
}
