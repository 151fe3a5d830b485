package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// target answers each request on a connection with the next script entry, as raw bytes; "" closes, "reset" resets.
func target(t *testing.T, scripts ...[]string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var conns atomic.Int64
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1)) - 1
			go playScript(c, scripts[min(n, len(scripts)-1)])
		}
	}()
	return l.Addr().String(), &conns
}

func playScript(c net.Conn, script []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i, answer := range script {
		if i > 0 && answer == "" {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch answer {
		case "":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = io.WriteString(c, answer)
	}
	// The connection stays open for the client to close.
	_, _ = r.ReadByte()
}

const (
	completeAnswer  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	foreignAnswer   = "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 3\r\n\r\nbad"
	truncatedAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok"
	chunkedAnswer   = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	cutChunks       = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	closingAnswer   = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	unframedAnswer  = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok"
)

func do(t *testing.T, e *Exchanger, address string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := e.Do(ctx, Call{
		Address: address, Method: "POST", URI: "/a/b?c=%2f", Host: "h", Header: http.Header{"X": {"y"}}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a)
	_ = a.Close()
	return string(body), err
}

func TestAnswerForms(t *testing.T) {
	cases := []struct {
		name    string
		scripts [][]string
		// bodies are those of the calls in order; "!" stands for an error.
		bodies []string
		conns  int64
	}{
		{"reused connection", [][]string{{completeAnswer, chunkedAnswer, completeAnswer}}, []string{"ok", "ok", "ok"}, 1},
		{"closed after an answer", [][]string{{closingAnswer}, {completeAnswer}}, []string{"ok", "ok"}, 2},
		{"closed while idle", [][]string{{completeAnswer, ""}, {completeAnswer}}, []string{"ok", "ok"}, 2},
		{"extra answer in the same write", [][]string{{completeAnswer + foreignAnswer}, {completeAnswer}}, []string{"ok", "ok"}, 2},
		{"answer to another request first", [][]string{{foreignAnswer + completeAnswer}, {completeAnswer}}, []string{"ok", "ok"}, 2},
		{"only answers to others", [][]string{{foreignAnswer + foreignAnswer + foreignAnswer}}, []string{"!"}, 1},
		{"truncated", [][]string{{truncatedAnswer, ""}}, []string{"!"}, 1},
		{"truncated chunks", [][]string{{cutChunks, ""}}, []string{"!"}, 1},
		{"no answer at all", [][]string{{""}}, []string{"!"}, 1},
		{"reset", [][]string{{"reset"}}, []string{"!"}, 1},
		{"bytes that are no answer", [][]string{{"hello\r\n\r\n"}}, []string{"!"}, 1},
		{"status 000", [][]string{{"HTTP/1.1 000 \r\nId: 1\r\nContent-Length: 0\r\n\r\n"}}, []string{"!"}, 1},
		{"status under 100", [][]string{{"HTTP/1.1 099 Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"}}, []string{"!"}, 1},
		{"status 000, then an answer", [][]string{{"HTTP/1.1 000 \r\n\r\n" + completeAnswer}}, []string{"!"}, 1},
		{"switch of protocols that was not asked for", [][]string{{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + completeAnswer}}, []string{"!"}, 1},
		{"status over 599", [][]string{{"HTTP/1.1 600 Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"}}, []string{"!"}, 1},
		{"status 999", [][]string{{"HTTP/1.1 999 Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"}}, []string{"!"}, 1},
		{"status that no RFC defines in a known class", [][]string{{"HTTP/1.1 299 Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"}}, []string{"ok"}, 1},
		{"two interim answers first", [][]string{{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 104 Odd\r\n\r\n" + completeAnswer}}, []string{"ok"}, 1},
		{"interim answer first", [][]string{{"HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer}}, []string{"ok"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, conns := target(t, c.scripts...)
			e := &Exchanger{}
			t.Cleanup(func() { e.CloseIdle("") })
			for i, want := range c.bodies {
				// The bytes that follow an answer must have arrived before the next call.
				time.Sleep(20 * time.Millisecond)
				got, err := do(t, e, address)
				if want == "!" {
					require.Error(t, err, "call %d", i)
					require.False(t, errors.Is(err, ErrNotSent), "call %d may have run", i)
					continue
				}
				require.NoError(t, err, "call %d", i)
				require.Equal(t, want, got, "call %d", i)
			}
			require.Equal(t, c.conns, conns.Load())
		})
	}
}

// TestHeadThatStopsIsNoAnswer guards against a client that gets a success with an empty or short body, as a target stopped in the middle
// of the head of its answer and closed.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 25\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		for n := 1; n < len(answer); n++ {
			address, _ := target(t, []string{answer[:n], ""})
			_, err := do(t, &Exchanger{}, address)
			require.Error(t, err, "%q", answer[:n])
			require.NotErrorIs(t, err, ErrNotSent, "%q", answer[:n])
		}
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, unframedAnswer)
			if i > 0 {
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	e := &Exchanger{}
	body, err := do(t, e, l.Addr().String())
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	_, err = do(t, e, l.Addr().String())
	require.Error(t, err, "a reset is not the end of an answer")
}

func TestFailedDialSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = do(t, &Exchanger{}, address)
	require.ErrorIs(t, err, ErrNotSent)
}

func TestCancelClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		cancel()
		_, _ = r.ReadByte()
		close(closed)
	}()
	_, err = (&Exchanger{}).Do(ctx, Call{Address: l.Addr().String(), Method: "GET", URI: "/", Host: "h"})
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

// TestLateCopyOfAnAnswer: a target sends the answer of a call a second time once the next request was sent. An answer
// that names its request is skipped; after one that does not, the connection must not be used again.
func TestLateCopyOfAnAnswer(t *testing.T) {
	const unidentified = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	serve := func(last bool) (string, int64) {
		address, conns := target(t, []string{unidentified, unidentified + completeAnswer}, []string{completeAnswer})
		e := &Exchanger{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		a, err := e.Do(ctx, Call{Address: address, Method: "GET", URI: "/report", Host: "h", NoReuse: last})
		require.NoError(t, err)
		_, err = io.ReadAll(a)
		require.NoError(t, err)
		require.NoError(t, a.Close())
		a, err = e.Do(ctx, Call{
			Address: address, Method: "POST", URI: "/a", Host: "h",
			Matches: func(h http.Header) bool { return h.Get("Id") == "1" || h.Get("Id") == "" },
		})
		require.NoError(t, err)
		body, err := io.ReadAll(a)
		require.NoError(t, err)
		_ = a.Close()
		return string(body), conns.Load()
	}
	body, conns := serve(false)
	require.Equal(t, "stale", body, "without NoReuse, the late copy is taken")
	require.Equal(t, int64(1), conns)
	body, conns = serve(true)
	require.Equal(t, "ok", body)
	require.Equal(t, int64(2), conns)
}

// TestRefuses: only an address at which no process listens refuses connections.
func TestRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var e Exchanger
	require.False(t, e.Refuses(t.Context(), l.Addr().String()))
	require.NoError(t, l.Close())
	require.True(t, e.Refuses(t.Context(), l.Addr().String()))
	e.Dial = func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded }
	require.False(t, e.Refuses(t.Context(), l.Addr().String()), "silence is no refusal")
}
