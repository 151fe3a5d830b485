package tracker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
)

// switchboard connects peers by address over in-memory pipes.
type switchboard struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

func (s *switchboard) listen(address string) *pipeListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	s.listeners[address] = l
	return l
}

func (s *switchboard) dial(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	l := s.listeners[address]
	s.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// daemon is a running tracker with its peer.
type daemon struct {
	*Tracker
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (s *switchboard) start(t *testing.T, name string, list func(context.Context) ([]cataloger.VM, error)) *daemon {
	t.Helper()
	address := name + ":7"
	random := rand.New(rand.NewPCG(1, uint64(len(name))+uint64(name[1])))
	peer, err := linker.NewPeer(linker.Config{
		Name:     name,
		Security: linker.Insecure(),
		Dial:     s.dial,
		Random:   random,
		Log:      zerolog.Nop(),
	})
	require.NoError(t, err)
	d := &daemon{Tracker: &Tracker{
		Local: cataloger.Member{
			Name:        name,
			Incarnation: 1,
			Address:     name + ":80",
			PeerAddress: address,
			DataCentre:  "dc",
		},
		Seeds:   []string{"r1:7"},
		Link:    peer.Link(),
		ListVMs: list,
		Random:  random,
		Log:     zerolog.Nop(),
	}}
	peer.Handle(Method, d.Handle)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	listener := s.listen(address)
	d.done.Go(func() { _ = peer.Serve(ctx, listener) })
	d.done.Go(func() {
		_ = d.Run(ctx)
		_ = peer.Close()
	})
	return d
}

func (d *daemon) stop() {
	d.cancel()
	d.done.Wait()
}

func TestTrackersOverLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []cataloger.VM{
			{Name: "r1", Role: cataloger.RoleEntry, Address: "r1:80"},
			{Name: "e1", Role: cataloger.RoleTarget, DataCentre: "dc", Targets: []cataloger.Target{{Name: "t1", Address: "e1:9", Type: cataloger.TypeEngine}}},
		}
		var mu sync.Mutex
		list := func(context.Context) ([]cataloger.VM, error) {
			mu.Lock()
			defer mu.Unlock()
			return append([]cataloger.VM(nil), vms...), nil
		}
		s := &switchboard{listeners: map[string]*pipeListener{}}
		daemons := []*daemon{s.start(t, "r1", list), s.start(t, "r2", nil), s.start(t, "r3", nil)}
		changed, unsubscribe := daemons[1].Subscribe()
		defer unsubscribe()
		time.Sleep(5 * time.Second)
		<-changed
		for _, d := range daemons {
			require.Len(t, Live(d.Fleet().Members), 3)
			require.Len(t, d.Fleet().Targets, 1)
			require.Equal(t, cataloger.StateJoining, d.Fleet().Targets[0].State)
			require.True(t, d.Status().Synced)
			require.Equal(t, daemons[0].Owner("shard", "7").Name, d.Owner("shard", "7").Name)
			require.Len(t, d.Watchers("dc"), 2)
		}
		daemons[2].ReportTarget(context.Background(), "t1", TargetReport{State: cataloger.StateLive})
		time.Sleep(time.Second)
		require.Equal(t, cataloger.StateLive, daemons[1].Fleet().Targets[0].State)
		mu.Lock()
		vms[1].Leaving = true
		mu.Unlock()
		time.Sleep(3 * time.Second)
		for _, d := range daemons {
			require.Equal(t, cataloger.StateLeaving, d.Fleet().Targets[0].State)
		}
		daemons[2].stop()
		time.Sleep(2 * time.Second)
		require.Len(t, Live(daemons[0].Fleet().Members), 2)
		daemons[0].Leave(context.Background())
		time.Sleep(time.Second)
		require.Equal(t, cataloger.StateLeaving, daemons[0].Self().State)
		require.Len(t, Live(daemons[1].Fleet().Members), 1)
		daemons[0].stop()
		daemons[1].stop()
	})
}

// TestLossOfMemberAfterItsWatchers guards against a late detection in a small fleet: a member whose watchers have been lost
// one after another within seconds must itself be detected in time when it ends.
func TestLossOfMemberAfterItsWatchers(t *testing.T) {
	const size = 7
	for last := range size {
		n := newNetwork(4388)
		n.grow(size, 3)
		n.run(5 * time.Second)
		for i := 1; i <= 4; i++ {
			n.order[(last+i)%size].alive = false
			n.run(300 * time.Millisecond)
		}
		n.order[last].alive = false
		n.run(detectBound)
		name := n.order[last].name
		require.Zero(t, n.states(name)[cataloger.StateLive], "%s is still live in a view %s after its end", name, detectBound)
	}
}
