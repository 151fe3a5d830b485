package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/matcher"
)

// TestIdleConnectionsAreClosed guards against a daemon that answers nobody, as connections that clients leave idle use up its descriptors:
// the limit of the configuration in force applies as a connection becomes idle.
func TestIdleConnectionsAreClosed(t *testing.T) {
	cases := []struct {
		name          string
		limit         time.Duration
		keptFor, gone time.Duration
	}{
		{"no configuration", 0, 4 * time.Minute, idleTimeout},
		{"a limit", 15 * time.Second, 12 * time.Second, 15 * time.Second},
		{"a limit over that of heads", time.Minute, 48 * time.Second, time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := withPeers()
				if c.limit > 0 {
					g.config.Store(matcher.New(matcher.Document{Limits: matcher.Limits{IdleTimeout: c.limit}}))
				}
				listener := &pipeListener{accept: make(chan net.Conn)}
				server := newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Minute) }))
				served := make(chan struct{})
				go func() {
					_ = server.Serve(limitedListener{Listener: listener, limits: g.newLimits(clientShare, false)})
					close(served)
				}()
				client, far := net.Pipe()
				listener.accept <- far
				answers := bufio.NewReader(client)
				request := func() error {
					if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						return err
					}
					resp, err := http.ReadResponse(answers, nil)
					if err != nil {
						return err
					}
					return resp.Body.Close()
				}
				require.NoError(t, request(), "the limit does not apply to requests")
				time.Sleep(c.keptFor)
				require.NoError(t, request(), "an idle connection is used again")
				time.Sleep(c.gone + time.Millisecond)
				require.Error(t, request(), "it is closed")
				_ = client.Close()
				_ = server.Close()
				<-served
			})
		})
	}
}
