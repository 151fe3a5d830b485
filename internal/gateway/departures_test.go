package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
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
	const takes = 8 * time.Second
	var d departures
	require.Empty(t, d.Last(nil))
	require.Equal(t, at(0), d.Back(at(0), takes), "nobody is expected")
	d.See("b", 1, true, at(0))
	d.See("b", 1, true, at(900))
	d.See("a", 1, true, at(1000))
	d.See("c", 1, false, at(1000))
	require.Equal(t, at(8000), d.Back(at(1000), takes), "first seen to leave at 0")
	require.Equal(t, at(9000), d.Back(at(8500), takes), "b should be back by now")
	require.Equal(t, at(9500), d.Back(at(9500), takes))
	require.True(t, d.Later("a", "b"))
	require.False(t, d.Later("b", "a"))
	require.Equal(t, "a", d.Last([]string{"a", "b"}))
	d.See("b", 1, false, at(2000))
	require.Equal(t, at(8000), d.Back(at(2000), takes), "an old heartbeat")
	d.See("b", 2, false, at(2000))
	require.Equal(t, at(9000), d.Back(at(2000), takes), "b has come back")
	d.See("b", 2, true, at(1200))
	require.True(t, d.Later("b", "a"), "they left together: the greater name")
	require.False(t, d.Later("a", "b"))
}

// withPeers returns a gateway that knows of peers.
func withPeers(peers ...cataloger.Member) *Gateway {
	g := newTestGateway("m", 0)
	g.Settings.Grace = 8 * time.Second
	g.takeMembers(peers)
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

// TestAllDaemonsLeave: clients are sent to the last that left, which stands in until another takes requests.
func TestAllDaemonsLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := withPeers(leaving("a"), leaving("z"))
		g.leaving.Store(true)
		time.Sleep(time.Second)
		g.departures.See("m", g.epoch, true, time.Now())
		require.Equal(t, []string{"m:1"}, g.EntryAddresses())
		require.False(t, g.relieved())

		time.Sleep(time.Second)
		g.departures.See("z", 2, true, time.Now())
		require.Equal(t, []string{"z:1"}, g.EntryAddresses())
		require.True(t, g.relieved(), "the one that left later stands in")
		require.False(t, g.othersReady())
	})
	synctest.Test(t, func(t *testing.T) {
		g := withPeers(staying("a"), leaving("z"))
		require.Equal(t, []string{"a:1"}, g.EntryAddresses())
		require.True(t, g.othersReady())
	})
}

// TestDrainTakesNothingThatItMayNotGiveUp: a request taken later than 3 s after the signal has to end. Nothing is taken then
// where another daemon takes requests, and else only what ends before this one does.
func TestDrainTakesNothingThatItMayNotGiveUp(t *testing.T) {
	const mayNotGiveUp = 3 * time.Second
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
		require.Less(t, took, mayNotGiveUp)
	})
	synctest.Test(t, func(t *testing.T) {
		g, _, done := drain(t)
		serve := func(left time.Duration) *refuser.Refusal {
			return g.Relayer().Serve(t.Context(), httptest.NewRecorder(), &relayer.Request{
				Arrived: time.Now(), Deadline: time.Now().Add(left), Route: &matcher.Route{MaxAttempts: 1}, Service: &matcher.Service{Name: "app"},
			})
		}
		time.Sleep(lingerTime - standInPause)
		require.NotEqual(t, refuser.Draining, serve(20*time.Second).Code)
		time.Sleep(mayNotGiveUp - lingerTime + standInPause)
		end := g.Settings.Grace - stopMargin - mayNotGiveUp
		require.NotEqual(t, refuser.Draining, serve(end).Code)
		refusal := serve(end + time.Millisecond)
		require.Equal(t, refuser.Draining, refusal.Code)
		require.GreaterOrEqual(t, refusal.RetryAfter, g.Settings.Grace+restartTime-mayNotGiveUp)
		require.NoError(t, <-done)
	})
}

// TestDaemonThatIsNeededBackEndsOnceItIsIdle: connections on which no request has come do not hold it up.
func TestDaemonThatIsNeededBackEndsOnceItIsIdle(t *testing.T) {
	for _, ready := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			peer := leaving("a")
			if ready {
				peer = staying("a")
			}
			g := withPeers(peer)
			listener := &pipes{accept: make(chan net.Conn)}
			g.client = newServer(http.NotFoundHandler())
			served := make(chan struct{})
			go func() {
				_ = g.client.Serve(listener)
				close(served)
			}()
			client, server := net.Pipe()
			listener.accept <- server
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 2*idleTime)
			defer cancel()
			err := g.finish(ctx)
			if ready {
				require.ErrorIs(t, err, context.DeadlineExceeded, "another takes requests: this one is in no hurry")
			} else {
				require.NoError(t, err)
			}
			_ = client.Close()
			_ = g.client.Close()
			<-served
		})
	}
}

// pipes is a listener on connections in memory.
type pipes struct {
	accept chan net.Conn
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	conn, ok := <-p.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.accept) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
