package tunneler

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// detourDelay is how long a direct connection may take to open before a peer is asked as well. Targets accept connections
	// within a few milliseconds.
	detourDelay = 100 * time.Millisecond
	// peerDelay is the time after which the next peer is asked, if the one before has not answered.
	peerDelay = 60 * time.Millisecond
	// maxPeers bounds the peers that are asked for one connection.
	maxPeers = 3
	// minUnreached is how many peers must fail to reach a target for it to be at fault rather than their links.
	minUnreached = 2
	// peerPause is how long a peer that did not reach a target is asked last.
	peerPause = time.Second
	// ProbeInterval is the time between two attempts to open a direct connection over a lost link.
	ProbeInterval = 300 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// checkGrace is how much longer than that of a peer a direct connection may take to open when a link is checked.
	checkGrace = 20 * time.Millisecond
)

// Peer is a daemon that may reach targets which this one does not.
type Peer struct {
	Name    string
	Address string
	// Near is true for a daemon in the same data centre.
	Near bool
}

// Dialer opens connections to targets; set its exported fields before use. It is safe for concurrent use.
type Dialer struct {
	// Direct opens a connection to a target.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Detour opens a connection to a target through a peer.
	Detour func(ctx context.Context, peer Peer, address string) (net.Conn, error)
	// Peers returns the daemons that may be asked.
	Peers func() []Peer
	// OnLost is called when the link to a target is lost, with an empty address if all are.
	OnLost func(address string)
	Clock  timer.Clock
	Log    zerolog.Logger

	mu    sync.Mutex
	links links
	// paused holds by name until when peers are asked last.
	paused map[string]time.Time
}

// NewDialer returns a dialer without peers.
func NewDialer(clock timer.Clock) *Dialer {
	return &Dialer{
		Peers: func() []Peer { return nil }, OnLost: func(string) {}, Clock: clock, Log: zerolog.Nop(), links: newLinks(), paused: map[string]time.Time{},
	}
}

// LostSince returns when this daemon's link to a target was lost, and whether it is.
func (d *Dialer) LostSince(address string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links.lostSince(address)
}

// CutOff reports whether this daemon is cut off from the targets.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.links.cutSince.IsZero()
}

// Run tries lost links again until ctx is done, one at a time. It returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	for d.Clock.Sleep(ctx, ProbeInterval) == nil {
		d.mu.Lock()
		address, ok := d.links.toProbe(d.Clock.Now())
		d.mu.Unlock()
		if !ok {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		if c, err := d.DialDirect(probeCtx, address); err == nil {
			_ = c.Close()
		}
		cancel()
	}
	return nil
}

// attempt is the outcome of an attempt to open a connection; peer is nil for a direct one.
type attempt struct {
	peer *Peer
	conn net.Conn
	err  error
}

// Dial opens a connection to a target. Where it does not open directly in time, it asks peers as well and uses the first connection
// that opens; a link over which peers reach the target and this daemon does not is lost. It returns the error of the direct attempt
// if all fail.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	now := d.Clock.Now()
	_, lost := d.links.lostSince(address)
	unreached := d.links.isUnreached(now, address)
	d.mu.Unlock()
	peers := d.order(now)
	if len(peers) == 0 || unreached && !lost {
		return d.DialDirect(ctx, address)
	}
	race := &race{dialer: d, ctx: ctx, address: address, peers: peers, attempts: make(chan attempt, len(peers)+1)}
	defer race.end()
	return race.run(lost)
}

// DialDirect opens a connection to a target without a detour.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.Direct(ctx, address)
	if err == nil {
		d.recordDirect(address)
	}
	return c, err
}

// Check finds out whether the link to a target is lost, by opening a connection directly and through peers at once.
func (d *Dialer) Check(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	peers := d.order(d.Clock.Now())
	opened, reached := make(chan bool, 1), make(chan Peer, len(peers))
	go func() {
		c, err := d.DialDirect(ctx, address)
		if err == nil {
			_ = c.Close()
		}
		opened <- err == nil
	}()
	for _, p := range peers {
		go func() {
			if c, err := d.Detour(ctx, p, address); err == nil {
				_ = c.Close()
				reached <- p
			}
		}()
	}
	var by *Peer
	grace := make(chan struct{})
	for {
		select {
		case <-ctx.Done():
			return
		case open := <-opened:
			if open {
				return
			}
		case p := <-reached:
			if by == nil {
				by = &p
				defer d.Clock.AfterFunc(checkGrace, func() { close(grace) })()
			}
		case <-grace:
			d.recordDetour(*by, address)
			return
		}
	}
}

// order returns the peers to ask, in order: one in the same data centre first, others at random, as a whole data centre may be cut
// off; those that lately did not reach a target last.
func (d *Dialer) order(now time.Time) []Peer {
	peers := d.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	d.mu.Lock()
	defer d.mu.Unlock()
	var near, others, paused []Peer
	for _, p := range peers {
		switch {
		case now.Before(d.paused[p.Name]):
			paused = append(paused, p)
		case p.Near && len(near) == 0:
			near = append(near, p)
		default:
			others = append(others, p)
		}
	}
	out := append(append(near, others...), paused...)
	return out[:min(len(out), maxPeers)]
}

func (d *Dialer) recordDirect(address string) {
	d.mu.Lock()
	cutEnded := d.links.recordDirect(d.Clock.Now(), address)
	d.mu.Unlock()
	if cutEnded {
		d.Log.Info().Str("address", address).Msg("links to targets are back")
	}
}

func (d *Dialer) recordDetour(peer Peer, address string) {
	d.mu.Lock()
	delete(d.paused, peer.Name)
	linkLost, cutOff := d.links.recordDetour(d.Clock.Now(), address)
	d.mu.Unlock()
	if linkLost {
		d.Log.Warn().Str("address", address).Str("peer", peer.Name).Msg("link to target lost, a peer reaches it")
		d.OnLost(address)
	}
	if cutOff {
		d.Log.Warn().Msg("cut off from targets that peers reach")
		d.OnLost("")
	}
}

func (d *Dialer) pause(peer Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused[peer.Name] = d.Clock.Now().Add(peerPause)
}

// race is the opening of one connection, directly and through peers.
type race struct {
	dialer  *Dialer
	ctx     context.Context
	address string
	peers   []Peer
	// attempts receives the outcomes; it holds all of them.
	attempts chan attempt
	// pending is the number of attempts without an outcome, asked that of the peers that were asked, and failed that of those
	// that did not reach the target.
	pending, asked, failed int
	direct                 bool
	directErr              error
}

// startDirect starts the direct attempt, once.
func (r *race) startDirect() {
	if r.direct {
		return
	}
	r.direct = true
	r.pending++
	go func() {
		c, err := r.dialer.DialDirect(r.ctx, r.address)
		r.attempts <- attempt{conn: c, err: err}
	}()
}

func (r *race) askPeer() {
	if r.asked == len(r.peers) {
		return
	}
	peer := r.peers[r.asked]
	r.asked++
	r.pending++
	go func() {
		c, err := r.dialer.Detour(r.ctx, peer, r.address)
		r.attempts <- attempt{peer: &peer, conn: c, err: err}
	}()
}

// run waits for the first connection that opens. It begins with a peer if the link is lost.
func (r *race) run(lost bool) (net.Conn, error) {
	delay := detourDelay
	if lost {
		r.askPeer()
		delay = peerDelay
	} else {
		r.startDirect()
	}
	for {
		next := make(chan struct{})
		stop := r.dialer.Clock.AfterFunc(delay, func() { close(next) })
		select {
		case <-r.ctx.Done():
			stop()
			return nil, r.failure(r.ctx.Err())
		case <-next:
			r.startDirect()
			r.askPeer()
			delay = peerDelay
		case a := <-r.attempts:
			stop()
			r.pending--
			if c, done := r.handle(a); done {
				return c, nil
			}
			r.startDirect()
			r.askPeer()
			if r.pending == 0 {
				return nil, r.failure(a.err)
			}
			delay = peerDelay
		}
	}
}

// handle applies the outcome of an attempt, and returns its connection if it opened.
func (r *race) handle(a attempt) (net.Conn, bool) {
	switch {
	case a.err == nil && a.peer == nil:
		return a.conn, true
	case a.err == nil:
		r.dialer.recordDetour(*a.peer, r.address)
		return a.conn, true
	case a.peer == nil:
		r.directErr = a.err
	default:
		r.failed++
		r.dialer.pause(*a.peer)
	}
	return nil, false
}

// failure returns the error of a race in which no connection opened, and records that peers did not reach the target either.
func (r *race) failure(err error) error {
	if r.failed >= min(minUnreached, len(r.peers)) && !errors.Is(r.ctx.Err(), context.Canceled) {
		r.dialer.mu.Lock()
		r.dialer.links.recordUnreached(r.dialer.Clock.Now(), r.address)
		r.dialer.mu.Unlock()
	}
	if r.directErr != nil {
		return r.directErr
	}
	return errors.Wrap(err, "no peer reaches the target either")
}

// end closes the connections that open after the first one.
func (r *race) end() {
	go func(pending int) {
		for range pending {
			if a := <-r.attempts; a.err == nil {
				_ = a.conn.Close()
			}
		}
	}(r.pending)
}

// IsRefused reports whether an error means that no process listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
