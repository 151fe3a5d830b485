package poster

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/timer"
)

func listen(t *testing.T, name string) *Poster {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	return New(name, conn, timer.System{})
}

func TestMessagesReachTheirHandler(t *testing.T) {
	a, b := listen(t, "a"), listen(t, "b")
	senders := make(chan string, 4)
	b.Handle("news", func(_ context.Context, peer string, body []byte) (proto.Message, error) {
		n := &peerv1.GatewayUpdate{}
		err := proto.Unmarshal(body, n)
		senders <- peer
		return nil, errors.CombineErrors(err, errors.New("an error is logged only"))
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	to := b.Conn.LocalAddr().String()
	require.NoError(t, a.Link().Notify(to, "news", &peerv1.GatewayUpdate{Epoch: 7}))
	require.NoError(t, a.Notify(to, "unknown", &peerv1.GatewayUpdate{}))
	require.NoError(t, a.Notify(to, "news", &peerv1.GatewayUpdate{}))
	require.Equal(t, "a", <-senders)
	require.Equal(t, "a", <-senders)
	cancel()
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

func TestMessagesThatAreNotSent(t *testing.T) {
	p := listen(t, "a")
	defer func() { require.NoError(t, p.Conn.Close()) }()
	require.Error(t, p.Notify("front.example:7340", "news", &peerv1.GatewayUpdate{}), "names are not looked up")
	big := &peerv1.Datagram{Body: bytes.Repeat([]byte{1}, maxDatagramBytes)}
	require.ErrorIs(t, p.Notify("127.0.0.1:9", "news", big), ErrTooLarge)
}

// TestForeignDatagrams checks that malformed datagrams, those without a sender and the daemon's own reach no handler.
func TestForeignDatagrams(t *testing.T) {
	p := New("a", nil, timer.System{})
	p.Log = zerolog.Nop()
	p.Handle("news", func(context.Context, string, []byte) (proto.Message, error) {
		require.Fail(t, "handled")
		return nil, nil
	})
	own, err := proto.Marshal(&peerv1.Datagram{Sender: "a", Method: "news"})
	require.NoError(t, err)
	withoutSender, err := proto.Marshal(&peerv1.Datagram{Method: "news"})
	require.NoError(t, err)
	for _, data := range [][]byte{own, withoutSender, {0xff, 0xff}, nil} {
		p.dispatch(t.Context(), data)
	}
}
