package tunneler

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/timer"
)

const targetAddress = "10.9.0.1:80"

// TestFramesAgainstTheirSource: whatever is sent in whatever pieces arrives unchanged, and a stream that is cut off anywhere never
// looks complete.
func TestFramesAgainstTheirSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 3*bufferSize).Draw(t, "bytes")
		var framed bytes.Buffer
		require.NoError(t, copyFrames(&framed, &pieces{data: sent, size: rapid.IntRange(1, 2*bufferSize).Draw(t, "piece")}))
		received, err := io.ReadAll(&conn{reader: bytes.NewReader(framed.Bytes())})
		require.NoError(t, err)
		require.True(t, bytes.Equal(sent, received))
		cut := rapid.IntRange(0, framed.Len()-1).Draw(t, "cut")
		received, err = io.ReadAll(&conn{reader: bytes.NewReader(framed.Bytes()[:cut])})
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.True(t, bytes.HasPrefix(sent, received))
	})
}

// pieces is a reader that returns its data in pieces.
type pieces struct {
	data []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.data)
	p.data = p.data[n:]
	return n, nil
}

func TestResetOfATargetIsNotItsEnd(t *testing.T) {
	var framed bytes.Buffer
	broken := io.MultiReader(strings.NewReader("part"), iotestErr{syscall.ECONNRESET})
	require.ErrorIs(t, copyFrames(&framed, broken), syscall.ECONNRESET)
	received, err := io.ReadAll(&conn{reader: &framed})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "part", string(received))
}

type iotestErr struct{ err error }

func (e iotestErr) Read([]byte) (int, error) { return 0, e.err }

// TestLinksAgainstAnOracle: a daemon is cut off once peers have reached two targets that it did not, with no direct connection since,
// until a direct connection opens.
func TestLinksAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := newLinks(), time.Unix(1000, 0)
		missed := map[string]bool{}
		cut := false
		t.Repeat(map[string]func(*rapid.T){
			"direct": func(t *rapid.T) {
				address := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "target"))
				now = now.Add(time.Millisecond)
				require.Equal(t, cut, l.recordDirect(now, address))
				cut, missed = false, map[string]bool{}
			},
			"detour": func(t *rapid.T) {
				address := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "target"))
				_, known := l.lost[address]
				now = now.Add(time.Millisecond)
				_, cutOff := l.recordDetour(now, address)
				if !known {
					missed[address] = true
				}
				require.Equal(t, !cut && len(missed) >= minLostLinks, cutOff)
				cut = cut || cutOff
				_, lost := l.lostSince(address)
				require.True(t, lost)
			},
			"": func(t *rapid.T) {
				_, lost := l.lostSince("another")
				require.Equal(t, cut, lost, "all links of a daemon that is cut off are lost")
			},
		})
	})
}

func TestLostLinksAreForgotten(t *testing.T) {
	l, now := newLinks(), time.Unix(1000, 0)
	l.recordDetour(now, "a")
	l.recordDetour(now, "b")
	address, ok := l.toProbe(now)
	require.True(t, ok)
	require.Contains(t, []string{"a", "b"}, address)
	_, ok = l.toProbe(now.Add(lostRetention))
	require.False(t, ok, "nobody has reached them for a while")
	_, lost := l.lostSince("c")
	require.False(t, lost)
}

// way is how attempts to reach a target end.
type way struct {
	after time.Duration
	err   error
}

func (w way) open(ctx context.Context) (net.Conn, error) {
	if err := (timer.System{}).Sleep(ctx, w.after); err != nil {
		return nil, err
	}
	if w.err != nil {
		return nil, w.err
	}
	c, _ := net.Pipe()
	return c, nil
}

var (
	open    = way{after: time.Millisecond}
	silent  = way{after: time.Hour}
	refused = way{after: time.Millisecond, err: syscall.ECONNREFUSED}
	failing = way{after: time.Millisecond, err: errors.New("peer answered 502")}
)

// dialTimeout is how long the caller of a dialer waits.
const dialTimeout = 400 * time.Millisecond

// newTestDialer returns a dialer with one direct way and one through each peer, and the numbers of attempts.
func newTestDialer(direct *way, peers ...*way) (d *Dialer, directs, detours *atomic.Int64) {
	directs, detours = &atomic.Int64{}, &atomic.Int64{}
	d = NewDialer(timer.System{})
	d.Direct = func(ctx context.Context, _ string) (net.Conn, error) {
		directs.Add(1)
		return direct.open(ctx)
	}
	d.Peers = func() []Peer {
		var out []Peer
		for i := range peers {
			out = append(out, Peer{Name: strconv.Itoa(i)})
		}
		return out
	}
	d.Detour = func(ctx context.Context, p Peer, _ string) (net.Conn, error) {
		detours.Add(1)
		i, _ := strconv.Atoi(p.Name)
		return peers[i].open(ctx)
	}
	return d, directs, detours
}

// TestDial covers what a daemon concludes from its own attempts and those of peers.
func TestDial(t *testing.T) {
	cases := []struct {
		name     string
		direct   way
		peers    []way
		opens    bool
		linkLost bool
		refused  bool
		most     time.Duration
	}{
		{"all is well", open, []way{open, open}, true, false, false, 10 * time.Millisecond},
		{"no peers", refused, nil, false, false, true, 10 * time.Millisecond},
		{"the link is silent", silent, []way{open, open}, true, true, false, 2 * detourDelay},
		{"the link refuses", refused, []way{open, open}, true, true, false, 10 * time.Millisecond},
		{"the target has crashed", refused, []way{{after: time.Millisecond, err: syscall.ECONNREFUSED}, {after: time.Millisecond, err: syscall.ECONNREFUSED}}, false, false, true, 10 * time.Millisecond},
		{"the target is dark", silent, []way{failing, failing}, false, false, false, dialTimeout},
		{"two of three peers are cut off too", silent, []way{silent, silent, open}, true, true, false, dialTimeout},
		{"peers do not answer", open, []way{silent, silent}, true, false, false, 10 * time.Millisecond},
		{"a slow target", way{after: detourDelay / 2}, []way{open}, true, false, false, detourDelay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peers []*way
				for i := range c.peers {
					peers = append(peers, &c.peers[i])
				}
				d, _, _ := newTestDialer(&c.direct, peers...)
				ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
				defer cancel()
				began := time.Now()
				conn, err := d.Dial(ctx, targetAddress)
				require.LessOrEqual(t, time.Since(began), c.most)
				require.Equal(t, c.opens, err == nil)
				require.Equal(t, c.refused, IsRefused(err))
				_, lost := d.LostSince(targetAddress)
				require.Equal(t, c.linkLost, lost)
				if conn != nil {
					_ = conn.Close()
				}
			})
		})
	}
}

// TestTargetsLostForAllAreNotACut guards against a gateway that takes crashed or silent targets for its own lost links.
func TestTargetsLostForAllAreNotACut(t *testing.T) {
	for name, w := range map[string]way{"crashed": refused, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := failing
				d, _, detours := newTestDialer(&w, &peer, &peer, &peer)
				for i := range 50 {
					ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
					_, err := d.Dial(ctx, strconv.Itoa(i%5))
					require.Error(t, err)
					cancel()
				}
				require.False(t, d.CutOff())
				require.LessOrEqual(t, detours.Load(), int64(50*maxPeers))
			})
		})
	}
}

// TestCutAndReturn: a daemon that is cut off uses peers at once, tries its own links at a bounded rate however many targets there are, and
// uses them again soon after the cut.
func TestCutAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := open
		d, _, _ := newTestDialer(&silent, &peer, &peer)
		var directs atomic.Int64
		var back atomic.Bool
		d.Direct = func(ctx context.Context, _ string) (net.Conn, error) {
			directs.Add(1)
			if back.Load() {
				return open.open(ctx)
			}
			return silent.open(ctx)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = d.Run(ctx) }()
		var lost []string
		d.OnLost = func(address string) { lost = append(lost, address) }
		for i := range 400 {
			c, err := d.Dial(ctx, strconv.Itoa(i))
			require.NoError(t, err)
			_ = c.Close()
		}
		require.True(t, d.CutOff())
		require.Contains(t, lost, "", "all links")
		since, ok := d.LostSince("never used")
		require.True(t, ok)
		require.Less(t, time.Since(since), 5*time.Second)
		directs.Store(0)
		time.Sleep(9 * time.Second)
		require.LessOrEqual(t, directs.Load(), int64(9*time.Second/ProbeInterval))
		began := time.Now()
		c, err := d.Dial(ctx, "7")
		require.NoError(t, err)
		_ = c.Close()
		require.LessOrEqual(t, time.Since(began), 2*time.Millisecond, "through a peer at once")
		back.Store(true)
		time.Sleep(time.Second)
		require.False(t, d.CutOff())
		_, ok = d.LostSince("7")
		require.False(t, ok)
	})
}

// newDoor returns a door to a target on loopback, and a client of it.
func newDoor(t *testing.T, serve func(net.Conn)) (door *Door, client Client, peer Peer, address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	address = l.Addr().String()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	door = &Door{Dial: dial, Allows: func(string, string) bool { return true }, Closed: func() bool { return false }, Log: zerolog.Nop()}
	server := httptest.NewServer(door)
	t.Cleanup(server.Close)
	return door, Client{Dial: dial}, Peer{Name: "peer", Address: strings.TrimPrefix(server.URL, "http://")}, address
}

func TestTunnelCarriesBothWaysAndEnds(t *testing.T) {
	targetClosed := make(chan struct{})
	door, client, peer, address := newDoor(t, func(c net.Conn) {
		defer close(targetClosed)
		_, _ = io.Copy(c, c)
		_ = c.Close()
	})
	c, err := client.Detour(t.Context(), peer, address)
	require.NoError(t, err)
	require.Equal(t, address, c.RemoteAddr().String())
	_, err = io.WriteString(c, "request")
	require.NoError(t, err)
	got := make([]byte, len("request"))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "request", string(got))
	require.Equal(t, 1, door.Active())
	require.NoError(t, c.Close())
	<-targetClosed
	require.Eventually(t, func() bool { return door.Active() == 0 }, 10*time.Second, time.Millisecond)
}

func TestTunnelEndsAsItsTargetDoes(t *testing.T) {
	cases := map[string]struct {
		serve func(net.Conn)
		err   error
	}{
		"closes": {func(c net.Conn) {
			_, _ = io.WriteString(c, "whole")
			_, _ = io.ReadFull(c, make([]byte, len("read")))
			_ = c.Close()
		}, nil},
		"resets": {func(c net.Conn) {
			_, _ = io.WriteString(c, "whole")
			_, _ = io.ReadFull(c, make([]byte, len("read")))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, io.ErrUnexpectedEOF},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, client, peer, address := newDoor(t, test.serve)
			c, err := client.Detour(t.Context(), peer, address)
			require.NoError(t, err)
			got := make([]byte, len("whole"))
			_, err = io.ReadFull(c, got)
			require.NoError(t, err)
			require.Equal(t, "whole", string(got))
			_, err = io.WriteString(c, "read")
			require.NoError(t, err)
			rest, err := io.ReadAll(c)
			require.ErrorIs(t, err, test.err)
			require.Empty(t, rest)
		})
	}
}

func TestDoorRefuses(t *testing.T) {
	door, client, peer, address := newDoor(t, func(net.Conn) {})
	closedPort := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}()
	_, err := client.Detour(t.Context(), peer, closedPort)
	require.True(t, IsRefused(err), "a target that refuses connections")

	resp, err := http.Get("http://" + peer.Address + Path + "?" + addressField + "=" + address)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusUpgradeRequired, resp.StatusCode)

	door.Closed = func() bool { return true }
	_, err = client.Detour(t.Context(), peer, address)
	require.ErrorContains(t, err, "503")
	require.False(t, IsRefused(err), "it says nothing about the target")

	door.Allows = func(ip, asked string) bool {
		require.Equal(t, "127.0.0.1", ip)
		require.Equal(t, address, asked)
		return false
	}
	_, err = client.Detour(t.Context(), peer, address)
	require.ErrorContains(t, err, "403")
	require.Zero(t, door.Active())
}
