package netfaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// serveEcho sends the data of each connection back.
func serveEcho(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

func TestFaultsOfAConnection(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, n *Network, c net.Conn)
	}{
		{"latency delays both ways", func(t *testing.T, n *Network, c net.Conn) {
			n.Latency = func(string, string) time.Duration { return 10 * time.Millisecond }
			begin := time.Now()
			require.NoError(t, roundTrip(c))
			require.Equal(t, 20*time.Millisecond, time.Since(begin))
		}},
		{"a block delays data without loss", func(t *testing.T, n *Network, c net.Conn) {
			n.Block("10.0.0.1", "10.0.0.2")
			time.AfterFunc(time.Minute, func() { n.Unblock("10.0.0.1", "10.0.0.2") })
			begin := time.Now()
			require.NoError(t, roundTrip(c))
			require.Equal(t, time.Minute, time.Since(begin))
		}},
		{"a dead host resets connections", func(t *testing.T, n *Network, c net.Conn) {
			n.Kill("10.0.0.2")
			require.ErrorIs(t, roundTrip(c), errConnReset)
			_, err := n.Host("10.0.0.1").Dial(t.Context(), "tcp", "10.0.0.2:80")
			require.ErrorContains(t, err, "refused")
		}},
		{"a read deadline ends the wait", func(t *testing.T, _ *Network, c net.Conn) {
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := c.Read(make([]byte, 1))
			var timeout net.Error
			require.ErrorAs(t, err, &timeout)
			require.True(t, timeout.Timeout())
		}},
		{"a dial across a partition ends with its context", func(t *testing.T, n *Network, _ net.Conn) {
			heal := n.Partition([]string{"10.0.0.1"}, []string{"10.0.0.2"})
			defer heal()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := n.Host("10.0.0.1").Dial(ctx, "tcp", "10.0.0.2:80")
			require.ErrorIs(t, err, context.DeadlineExceeded)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				l, err := n.Host("10.0.0.2").Listen("tcp", "10.0.0.2:80")
				require.NoError(t, err)
				go serveEcho(l)
				c, err := n.Host("10.0.0.1").Dial(t.Context(), "tcp", "10.0.0.2:80")
				require.NoError(t, err)
				tt.run(t, n, c)
				require.NoError(t, c.Close())
				require.NoError(t, l.Close())
			})
		})
	}
}

func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

func TestHTTP2RunsInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l, err := n.Host("10.0.0.2").Listen("tcp", "10.0.0.2:80")
		require.NoError(t, err)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Hour)
			_, _ = fmt.Fprintf(w, "%s %s", r.Proto, r.URL.Path)
		})}
		done := make(chan error, 1)
		go func() { done <- server.Serve(l) }()
		transport := &http.Transport{Protocols: protocols, DialContext: n.Host("10.0.0.1").Dial}
		client := &http.Client{Transport: transport}
		resp, err := client.Post("http://10.0.0.2:80/a", "text/plain", strings.NewReader(strings.Repeat("x", 1<<20)))
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "HTTP/2.0 /a", string(body))
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-done, http.ErrServerClosed)
	})
}
