package exchanger

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessServer serves each connection with a beginning and then one piece after the other until the caller closes it;
// it counts the written bytes and the open connections.
type endlessServer struct {
	address string
	written atomic.Int64
	open    atomic.Int64
}

func newEndlessServer(t *testing.T, begin, piece string, pause time.Duration) *endlessServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &endlessServer{address: l.Addr().String()}
	pieces := []byte(piece)
	serve := func(c net.Conn) {
		e.open.Add(1)
		defer e.open.Add(-1)
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		for out := []byte(begin); ; out = pieces {
			n, err := c.Write(out)
			e.written.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return e
}

// endlessHeads are beginnings of answers whose head is endless, or that never bring the expected answer.
var endlessHeads = []struct{ name, begin, piece string }{
	{"one endless line", "HTTP/1.1 200 ", "OK"},
	{"one endless field", "HTTP/1.1 200 OK\r\nId: ", "1"},
	{"endless fields", "HTTP/1.1 200 OK\r\n", "Id: 1\r\n"},
	{"endless interim answers", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"an endless answer to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	{"bytes that are no answer", "", "\x00\xff"},
}

// TestEndlessHeads guards against a target that uses up a gateway's memory or time with bytes that are no answer: the
// connection is closed at the bound.
func TestEndlessHeads(t *testing.T) {
	// The kernel buffers bytes beyond what was read.
	const inFlight = 16 << 20
	for _, c := range endlessHeads {
		t.Run(c.name, func(t *testing.T) {
			s := newEndlessServer(t, c.begin, strings.Repeat(c.piece, 1<<10), 0)
			x := &Exchanger{}
			_, err := do(t, x, s.address)
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "the bound on bytes ends it, not the deadline")
			require.NotErrorIs(t, err, ErrNotSent)
			require.Eventually(t, func() bool { return s.open.Load() == 0 }, 10*time.Second, time.Millisecond, "the connection is closed")
			require.Less(t, s.written.Load(), int64(MaxHeadBytes+maxForeignBytes+inFlight))
		})
	}
}

// TestSlowEndlessHeads: an endless head that arrives slowly lasts no longer than the caller's deadline.
func TestSlowEndlessHeads(t *testing.T) {
	for _, c := range endlessHeads {
		t.Run(c.name, func(t *testing.T) {
			s := newEndlessServer(t, c.begin, c.piece, 5*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			x := &Exchanger{}
			_, err := x.Do(ctx, Call{Address: s.address, Method: "GET", URI: "/", Matches: func(h http.Header) bool { return h.Get("Id") == "1" }})
			require.Error(t, err)
			require.Eventually(t, func() bool { return s.open.Load() == 0 }, 10*time.Second, time.Millisecond, "the connection is closed")
		})
	}
}

// TestMemoryWithManyEndlessTargets: the memory for 200 such targets stays within their bounds.
func TestMemoryWithManyEndlessTargets(t *testing.T) {
	const targets = 200
	s := newEndlessServer(t, "HTTP/1.1 200 OK\r\nId: ", strings.Repeat("1", 4<<10), 0)
	x := &Exchanger{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range targets {
		wg.Go(func() {
			_, err := x.Do(t.Context(), Call{Address: s.address, Method: "GET", URI: "/"})
			require.Error(t, err)
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	// The smallest machine has 284 MB: half of that stays free even if no memory were freed.
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(142<<20))
	require.Eventually(t, func() bool { return s.open.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// TestLongAnswerIsNotCut: the bound on heads does not apply to bodies.
func TestLongAnswerIsNotCut(t *testing.T) {
	const length = 4 * MaxHeadBytes
	address, _ := target(t, []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", length), completeAnswer})
	x := &Exchanger{}
	t.Cleanup(func() { x.CloseIdle("") })
	body, err := do(t, x, address)
	require.NoError(t, err)
	require.Len(t, body, length)
	body, err = do(t, x, address)
	require.NoError(t, err, "the connection is reused")
	require.Equal(t, "ok", body)
}
