package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/matcher"
)

// bodyServer serves a gateway's bodies on connections in memory.
type bodyServer struct {
	*pipeListener
	gateway *Gateway
	server  *http.Server
	// ran counts the requests whose bodies were read to their end.
	ran int
}

func newBodyServer(t *testing.T) *bodyServer {
	s := &bodyServer{pipeListener: &pipeListener{accept: make(chan net.Conn)}, gateway: withPeers()}
	limits := matcher.Limits{MaxBodyBytes: 32 << 10, MaxHeaderBytes: 8 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	s.gateway.config.Store(matcher.New(matcher.Document{Limits: limits}))
	s.server = newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, release, refusal := s.gateway.ReadBody(w, r, "")
		if refusal != nil {
			_, _ = io.WriteString(w, refusal.Code.String())
			return
		}
		defer release()
		s.ran++
		_, _ = fmt.Fprint(w, len(data))
	}))
	served := make(chan struct{})
	limited := limitedListener{Listener: s.pipeListener, limits: s.gateway.newLimits(clientShare, false)}
	go func() {
		_ = s.server.Serve(limited)
		close(served)
	}()
	t.Cleanup(func() {
		_ = s.server.Close()
		<-served
	})
	return s
}

// client is a connection whose answer is read as it comes.
type client struct {
	net.Conn
	answer chan string
}

func (s *bodyServer) connect() *client {
	near, far := net.Pipe()
	s.accept <- far
	c := &client{Conn: near, answer: make(chan string, 1)}
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		if err != nil {
			c.answer <- "closed"
			return
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.answer <- strings.TrimSpace(fmt.Sprint(map[bool]string{true: "431"}[resp.StatusCode == 431], string(data)))
	}()
	return c
}

// send writes in the background, as a connection in memory has no buffer.
func (c *client) send(text string, times int, pause time.Duration) {
	go func() {
		for range times {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
}

// TestInputLimits checks what ends requests that are not read to their end, and that slow ones within the limits are served.
func TestInputLimits(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	sized := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n) }
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	kb := strings.Repeat("x", 1<<10)
	cases := []struct {
		name  string
		first string
		piece string
		times int
		pause time.Duration
		want  string
		after time.Duration
	}{
		{"stops short of its length", sized(20_000), kb, 19, 0, "body-timed-out", bodyTimeout},
		{"stops short of its last chunk", chunked, "400\r\n" + kb + "\r\n", 20, 0, "body-timed-out", bodyTimeout},
		{"a byte now and then", sized(20_000), "x", 100, time.Second, "body-timed-out", bodyTimeout},
		{"slow within the limits", sized(20 << 10), kb, 20, 9 * time.Second, "20480", 19 * 9 * time.Second},
		{"as long as allowed", chunked, "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n", 2, 0, "body-timed-out", bodyTimeout},
		{"chunks over the limit", chunked, "400\r\n" + kb + "\r\n", 33, 0, "payload-too-large", 0},
		{"announced over the limit", sized(32<<10 + 1), "", 0, 0, "payload-too-large", 0},
		{"announced at the limit", sized(32 << 10), kb, 32, 0, "32768", 0},
		{"a silent connection", "", "", 0, 0, "closed", 15 * time.Second},
		{"a piece of a head", "POST / HT", "", 0, 0, "400 Bad Request", 5 * time.Second},
		{"a head without an end", head, "A: " + kb + "\r\n", 100, 0, "431", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBodyServer(t)
				began := time.Now()
				client := s.connect()
				defer func() {
					_ = client.Close()
					// The sender ends with its next piece.
					time.Sleep(c.pause + time.Millisecond)
				}()
				if c.first != "" {
					_, err := io.WriteString(client, c.first)
					require.NoError(t, err)
				}
				client.send(c.piece, c.times, c.pause)
				require.Equal(t, c.want, <-client.answer)
				require.Equal(t, c.after, time.Since(began))
				require.Equal(t, map[bool]int{true: 1}[c.want[0] >= '0' && c.want[0] <= '3'], s.ran, "a refused request has not run")
				// The server waits for the client to read its answer.
				time.Sleep(time.Second)
				require.Zero(t, s.gateway.bodies.Used())
			})
		})
	}
}

// TestStoppedBodyGivesWay guards against ordinary requests that find no memory, as bodies that stopped keep it.
func TestStoppedBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBodyServer(t)
		s.gateway.bodies.Limit = 40 << 10
		post := func(sent int) *client {
			c := s.connect()
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", sent), 1, 0)
			return c
		}
		stopped := post(19_999)
		time.Sleep(time.Second)
		ordinary := post(20_000)
		require.Equal(t, "20000", <-ordinary.answer)
		require.Equal(t, "memory-short", <-stopped.answer)
		require.Equal(t, 1, s.ran)
		require.EqualValues(t, 1, s.gateway.shedBodies.Load())
		for _, c := range []*client{stopped, ordinary} {
			_ = c.Close()
		}
	})
}

// TestIdleConnectionGivesWay: over the bound, the connection that is idle for longest is closed, and a new one is served.
func TestIdleConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBodyServer(t)
		s.gateway.connections[0].Limit = 2
		first := s.connect()
		time.Sleep(time.Second)
		second, third := s.connect(), s.connect()
		require.Equal(t, "closed", <-first.answer)
		for _, c := range []*client{second, third} {
			c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1, 0)
			require.Equal(t, "0", <-c.answer)
			_ = c.Close()
		}
		_ = first.Close()
	})
}
