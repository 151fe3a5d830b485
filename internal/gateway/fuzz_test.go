package gateway

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzInput sends bytes to the server of clients. Whatever they are, nothing over the limit is read, and all memory is given back once
// the connection is closed.
func FuzzInput(f *testing.F) {
	for _, seed := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n1;x=y\r\na\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"\r\n\r\n\r\n\x00\xff",
	} {
		f.Add([]byte(seed), 1)
		f.Add([]byte(seed), 2000)
	}
	// A body of 32 KiB while it grows, and a head of nothing but lines.
	const maxHeld = 3*(32<<10) + (2+headLineBytes)*(8<<10+headSlackBytes)
	f.Fuzz(func(t *testing.T, data []byte, times int) {
		synctest.Test(t, func(t *testing.T) {
			s := newBodyServer(t)
			near, far := net.Pipe()
			s.accept <- far
			go func() { _, _ = io.Copy(io.Discard, near) }()
			for range min(max(times, 0), 2000) {
				if _, err := near.Write(data); err != nil {
					break
				}
			}
			require.LessOrEqual(t, s.gateway.bodies.Used(), int64(maxHeld))
			_ = near.Close()
			// The server may wait for a client to read its answer.
			time.Sleep(time.Second)
			require.Zero(t, s.gateway.bodies.Used())
			require.Zero(t, s.gateway.openConnections())
		})
	})
}
