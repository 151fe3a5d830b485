package commander

import (
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOrderConnectionsLimitResending(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	var dialer net.Dialer
	conn, err := Dial(dialer.DialContext).WithResendLimit(DefaultOrderTimeout)(t.Context(), "tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		require.NoError(t, err)
		require.Equal(t, int(DefaultOrderTimeout.Milliseconds()), got)
	}))
}
