package gossiper

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/timer"
)

// hub carries datagrams between connections by address.
type hub struct {
	mu    sync.Mutex
	conns map[string]*hubConn
	// cut drops what an address sends and what is sent to it.
	cut map[string]bool
}

type datagram struct {
	data []byte
	from net.Addr
}

type hubConn struct {
	net.PacketConn
	hub     *hub
	address net.Addr
	in      chan datagram
	closed  chan struct{}
	once    sync.Once
}

func (h *hub) listen(address string) *hubConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, _ := net.ResolveUDPAddr("udp", address)
	c := &hubConn{hub: h, address: a, in: make(chan datagram, 1000), closed: make(chan struct{})}
	h.conns[address] = c
	return c
}

func (c *hubConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	if peer := c.hub.conns[to.String()]; peer != nil && !c.hub.cut[to.String()] && !c.hub.cut[c.address.String()] {
		peer.in <- datagram{append([]byte{}, p...), c.address}
	}
	return len(p), nil
}

func (c *hubConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(p, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *hubConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// daemon runs a gossiper until the returned function is called.
func (h *hub) daemon(t *testing.T, name, address string, epoch uint64, seeds ...string) (*Gossiper, context.CancelFunc) {
	g := New(h.listen(address), timer.System{})
	g.Name = name
	g.Self = func() *peerv1.GatewayHeartbeat {
		return &peerv1.GatewayHeartbeat{Name: name, Epoch: epoch, PeerAddress: address, Ready: true}
	}
	g.Learn(seeds...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = g.Run(ctx)
		close(done)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return g, stop
}

func names(g *Gossiper) []string {
	var out []string
	for _, h := range g.Alive() {
		out = append(out, h.GetName())
	}
	return out
}

func newHub() *hub { return &hub{conns: map[string]*hubConn{}, cut: map[string]bool{}} }

func TestDaemonsLearnOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		a, _ := h.daemon(t, "a", "10.0.0.1:1", 1)
		b, _ := h.daemon(t, "b", "10.0.0.2:1", 1, "10.0.0.1:1", "10.0.0.9:1")
		c, stop := h.daemon(t, "c", "10.0.0.3:1", 1, "10.0.0.1:1")
		time.Sleep(SettleTime)
		require.Equal(t, []string{"b", "c"}, names(a))
		require.Equal(t, []string{"a", "c"}, names(b), "c is known by a's word only")
		require.Equal(t, []string{"a", "b"}, names(c))

		stop()
		time.Sleep(time.Duration(missed+1) * Interval)
		require.Equal(t, []string{"b"}, names(a), "a daemon that went silent is not named")
		again, _ := h.daemon(t, "c", "10.0.0.3:1", 2)
		time.Sleep(strangerPause + Interval)
		require.Equal(t, []string{"b", "c"}, names(a))
		require.Equal(t, []string{"a", "b"}, names(again), "others still try the address of a daemon that went silent")
	})
}

func TestCutDaemonComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		a, _ := h.daemon(t, "a", "10.0.0.1:1", 1)
		_, _ = h.daemon(t, "b", "10.0.0.2:1", 1, "10.0.0.1:1")
		time.Sleep(SettleTime)
		h.mu.Lock()
		h.cut["10.0.0.2:1"] = true
		h.mu.Unlock()
		time.Sleep(time.Duration(missed+1) * Interval)
		require.Empty(t, names(a))
		h.mu.Lock()
		h.cut["10.0.0.2:1"] = false
		h.mu.Unlock()
		time.Sleep(2 * Interval)
		require.Equal(t, []string{"b"}, names(a))
	})
}

// TestHeartbeatOfAnEarlierStart: a datagram of the process before, that was under way, changes nothing.
func TestHeartbeatOfAnEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		a, _ := h.daemon(t, "a", "10.0.0.1:1", 1)
		gone := 0
		a.Gone = func(string) { gone++ }
		require.True(t, a.take(&peerv1.GatewayHeartbeat{Name: "b", Epoch: 2, PeerAddress: "10.0.0.2:1", Ready: true}))
		require.False(t, a.take(&peerv1.GatewayHeartbeat{Name: "b", Epoch: 1, PeerAddress: "10.0.0.2:1", Leaving: true}))
		require.True(t, a.Alive()[0].GetReady())
		require.True(t, a.take(&peerv1.GatewayHeartbeat{Name: "b", Epoch: 3, PeerAddress: "10.0.0.2:1"}))
		require.Equal(t, 1, gone, "what the earlier process had in progress is over")
	})
}

// TestSentDatagramsStayBounded: what a daemon sends does not grow with the fleet.
func TestSentDatagramsStayBounded(t *testing.T) {
	g := New(newHub().listen("10.0.0.1:1"), timer.System{})
	for i := range 200 {
		g.take(&peerv1.GatewayHeartbeat{Name: string(rune('a'+i%26)) + string(rune('a'+i/26)), Epoch: 1, PeerAddress: "10.0.1.1:1"})
	}
	addresses, heard := g.round("10.0.0.1:1")
	require.LessOrEqual(t, len(addresses), fanOut)
	require.Len(t, heard, named)
}
