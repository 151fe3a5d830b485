package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestDepartures(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const returnTime = 8 * time.Second
	var d departures
	require.Empty(t, d.LastToLeave(nil))
	require.Equal(t, at(0), d.NextReturn(at(0), returnTime), "no daemon is expected back")
	d.Record("b", 1, true, at(0))
	d.Record("b", 1, true, at(900))
	d.Record("a", 1, true, at(1000))
	d.Record("c", 1, false, at(1000))
	require.Equal(t, at(8000), d.NextReturn(at(1000), returnTime), "first seen to leave at 0")
	require.Equal(t, at(9000), d.NextReturn(at(8500), returnTime), "b should be back by now")
	require.Equal(t, at(9500), d.NextReturn(at(9500), returnTime))
	require.True(t, d.LeftLater("a", "b"))
	require.False(t, d.LeftLater("b", "a"))
	require.Equal(t, "a", d.LastToLeave([]string{"a", "b"}))
	d.Record("b", 1, false, at(2000))
	require.Equal(t, at(8000), d.NextReturn(at(2000), returnTime), "an old heartbeat")
	d.Record("b", 2, false, at(2000))
	require.Equal(t, at(9000), d.NextReturn(at(2000), returnTime), "b has returned")
	d.Record("b", 2, true, at(1200))
	require.True(t, d.LeftLater("b", "a"), "they left together: the greater name")
	require.False(t, d.LeftLater("a", "b"))
}

// withPeers returns a gateway that has peers.
func withPeers(peers ...cataloger.Member) *Gateway {
	g := newTestGateway("m", 0)
	g.Settings.Grace = 8 * time.Second
	g.applyMembers(peers)
	return g
}

func member(name string, state cataloger.State, traits uint32) cataloger.Member {
	return cataloger.Member{Name: name, Epoch: 1, Incarnation: 1, Address: name + ":1", PeerAddress: "127.0.0.1:9", State: state, Traits: traits}
}

func staying(name string) cataloger.Member {
	return member(name, cataloger.StateLive, traitReady|traitReachesStore)
}

func leaving(name string) cataloger.Member {
	return member(name, cataloger.StateLeaving, traitReachesStore)
}

// TestLastDaemonToLeaveStandsIn: while all daemons leave, clients are sent to the last to leave, which serves until
// another accepts requests.
func TestLastDaemonToLeaveStandsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := withPeers(leaving("a"), leaving("z"))
		g.leaving.Store(true)
		time.Sleep(time.Second)
		g.departures.Record("m", g.epoch, true, time.Now())
		require.Equal(t, []string{"m:1"}, g.EntryAddresses())
		require.False(t, g.hasReplacement())

		time.Sleep(time.Second)
		g.departures.Record("z", 2, true, time.Now())
		require.Equal(t, []string{"z:1"}, g.EntryAddresses())
		require.True(t, g.hasReplacement(), "the one that left later stands in")
		require.False(t, g.othersReady())
	})
	synctest.Test(t, func(t *testing.T) {
		g := withPeers(staying("a"), leaving("z"))
		require.Equal(t, []string{"a:1"}, g.EntryAddresses())
		require.True(t, g.othersReady())
	})
}

// TestDrainRefusesRequestsThatMayOutlastIt: a request accepted later than 3 s after the signal must run to its end.
// After that, nothing is accepted if another daemon accepts requests, and otherwise only what ends before this daemon
// does.
func TestDrainRefusesRequestsThatMayOutlastIt(t *testing.T) {
	const mustFinishAfter = 3 * time.Second
	drain := func(t *testing.T, peers ...cataloger.Member) (*Gateway, time.Duration, <-chan error) {
		g := withPeers(peers...)
		g.client = newServer(http.NotFoundHandler())
		began, done := time.Now(), make(chan error, 1)
		go func() { done <- g.drain(t.Context()) }()
		if len(peers) == 0 {
			return g, 0, done
		}
		require.NoError(t, <-done)
		require.True(t, g.Leaving())
		require.False(t, g.Ready())
		return g, time.Since(began), done
	}
	synctest.Test(t, func(t *testing.T) {
		_, took, _ := drain(t, staying("a"))
		require.Less(t, took, mustFinishAfter)
	})
	synctest.Test(t, func(t *testing.T) {
		g, _, done := drain(t)
		serve := func(remaining time.Duration) *refuser.Refusal {
			return g.Relayer().Serve(t.Context(), httptest.NewRecorder(), &relayer.Request{
				Arrived: time.Now(), Deadline: time.Now().Add(remaining), Route: &matcher.Route{MaxAttempts: 1}, Service: &matcher.Service{Name: "app"},
			})
		}
		time.Sleep(lingerTime - standInInterval)
		require.NotEqual(t, refuser.Draining, serve(20*time.Second).Code)
		time.Sleep(mustFinishAfter - lingerTime + standInInterval)
		end := g.Settings.Grace - stopMargin - mustFinishAfter
		require.NotEqual(t, refuser.Draining, serve(end).Code)
		refusal := serve(end + time.Millisecond)
		require.Equal(t, refuser.Draining, refusal.Code)
		require.GreaterOrEqual(t, refusal.RetryAfter, g.Settings.Grace+restartTime-mustFinishAfter)
		require.NoError(t, <-done)
	})
}

// TestDrainRelaysNoLateRequests guards against requests that come late in a planned stop, on a connection that was opened before, and are
// cut off at the end of the grace time: none is relayed once half of the time is over, though other daemons accept requests.
func TestDrainRelaysNoLateRequests(t *testing.T) {
	for grace, sentAfter := range map[time.Duration]time.Duration{8 * time.Second: 4 * time.Second, 3 * time.Second: 2 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := withPeers(staying("a"))
				g.Settings.Grace = grace
				var relayed atomic.Int64
				client, served := serveOnPipe(g, func() { relayed.Add(1) })
				done := make(chan error, 1)
				go func() { done <- g.drain(t.Context()) }()
				time.Sleep(sentAfter)
				_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
				require.NoError(t, <-done)
				require.Zero(t, relayed.Load())
				_ = client.Close()
				_ = g.client.Close()
				<-served
			})
		})
	}
}

// serveOnPipe serves the clients of a gateway on a connection that it returns; served is closed once the server has ended.
func serveOnPipe(g *Gateway, handle func()) (client net.Conn, served chan struct{}) {
	g.client = newServer(g.countRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handle() })))
	listener := &pipeListener{accept: make(chan net.Conn)}
	served = make(chan struct{})
	go func() {
		_ = g.client.Serve(listener)
		close(served)
	}()
	client, server := net.Pipe()
	listener.accept <- server
	synctest.Wait()
	return client, served
}

// TestDrainEndsWithItsLastAnswer guards against a planned stop that is reported as failed though every request got an answer, as the
// server does not look for open connections between the last answer and the end of the grace time.
func TestDrainEndsWithItsLastAnswer(t *testing.T) {
	for _, before := range []time.Duration{150 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond, 10 * time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := withPeers(staying("a"))
				client, served := serveOnPipe(g, func() { time.Sleep(g.Settings.Grace - stopMargin - before) })
				go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
				answered := make(chan error, 1)
				go func() {
					resp, err := http.ReadResponse(bufio.NewReader(client), nil)
					if err == nil {
						err = resp.Body.Close()
					}
					answered <- err
				}()
				synctest.Wait()
				require.NoError(t, g.drain(t.Context()))
				require.NoError(t, <-answered)
				_ = client.Close()
				<-served
			})
		})
	}
}

// TestIdleDaemonEndsWhileNoPeerIsReady: while no other daemon accepts requests, connections without a request do not
// delay the restart.
func TestIdleDaemonEndsWhileNoPeerIsReady(t *testing.T) {
	for _, ready := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			peer := leaving("a")
			if ready {
				peer = staying("a")
			}
			g := withPeers(peer)
			client, served := serveOnPipe(g, func() {})
			ctx, cancel := context.WithTimeout(t.Context(), 2*idleTime)
			defer cancel()
			err := g.awaitRequests(ctx)
			if ready {
				require.ErrorIs(t, err, context.DeadlineExceeded, "another daemon accepts requests, so this one keeps waiting")
			} else {
				require.NoError(t, err)
			}
			_ = client.Close()
			_ = g.client.Close()
			<-served
		})
	}
}

// pipeListener is a listener for in-memory connections.
type pipeListener struct {
	accept chan net.Conn
	once   sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-p.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.accept) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
