package linker

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/rattantray/rattantray/internal/queuer"
)

// slotAndHandshakeFactor is the number of handshake timeouts that both ends allow for a handshake, since the caller may wait for
// its slot first.
const slotAndHandshakeFactor = 2

// slotWaitFactor is the number of handshake timeouts that a dial waits for a free slot.
const slotWaitFactor = 4

var (
	errClosed = errors.New("link closed")
	errBusy   = errors.New("too many calls in progress to the peer")
)

// session is an open connection to a peer.
type session struct {
	*yamux.Session
	streams *streamSet
}

// remote is the calling side of the connection to one address.
type remote struct {
	peer    *Peer
	address string
	// slots limits the calls in progress.
	slots   chan struct{}
	notices *queuer.Ring[notice]

	mu       sync.Mutex
	users    int
	lastUse  time.Time
	session  *session
	dialing  chan struct{}
	failures int
	// notBefore is the earliest time for the next dial.
	notBefore time.Time
	lastErr   error
	notifying bool
	closed    bool
}

// remote returns the entry for an address and counts the caller as its user.
func (p *Peer) remote(address string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	r, ok := p.remotes[address]
	if !ok {
		p.removeIdle()
		r = &remote{
			peer:    p,
			address: address,
			slots:   make(chan struct{}, p.config.MaxStreams),
			notices: queuer.NewRing[notice](p.config.NotifyBacklog),
		}
		p.remotes[address] = r
	}
	r.addUser()
	return r, nil
}

// removeIdle closes and removes the entries that have not been used for the idle timeout; p.mu is held.
func (p *Peer) removeIdle() {
	for address, r := range p.remotes {
		if r.closeIfIdle(p.config.Clock.Now().Add(-p.config.IdleTimeout)) {
			delete(p.remotes, address)
		}
	}
}

func (r *remote) addUser() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users++
}

func (r *remote) removeUser() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users--
	r.lastUse = r.peer.config.Clock.Now()
}

func (r *remote) closeIfIdle(before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.users > 0 || r.notifying || r.lastUse.After(before) {
		return false
	}
	r.closed = true
	if r.session != nil {
		_ = r.session.Close()
	}
	return true
}

func (r *remote) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.session != nil {
		_ = r.session.Close()
	}
}

func (r *remote) acquireSlot(ctx context.Context) error {
	select {
	case r.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.CombineErrors(errBusy, ctx.Err())
	}
}

func (r *remote) releaseSlot() { <-r.slots }

// open opens a stream; a session that turns out to be closed is replaced once.
func (r *remote) open(ctx context.Context) (*session, *yamux.Stream, error) {
	const attempts = 2
	var err error
	for range attempts {
		var session *session
		session, err = r.connect(ctx)
		if err != nil {
			return nil, nil, err
		}
		var stream *yamux.Stream
		stream, err = session.OpenStream()
		if err == nil {
			return session, stream, nil
		}
		r.drop(session)
	}
	return nil, nil, err
}

// connect returns the open session or dials one; concurrent callers share one dial.
func (r *remote) connect(ctx context.Context) (*session, error) {
	for {
		r.mu.Lock()
		switch {
		case r.closed:
			r.mu.Unlock()
			return nil, errClosed
		case r.session != nil && !r.session.IsClosed():
			session := r.session
			r.mu.Unlock()
			return session, nil
		case r.dialing == nil && r.peer.config.Clock.Now().Before(r.notBefore):
			err := r.lastErr
			r.mu.Unlock()
			return nil, errors.Wrap(err, "waiting to dial again")
		case r.dialing == nil:
			r.dialing = make(chan struct{})
			if !r.peer.tasks.Go(r.dial) {
				r.mu.Unlock()
				return nil, errClosed
			}
		}
		dialing := r.dialing
		r.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := r.dialError(); err != nil {
			return nil, err
		}
	}
}

func (r *remote) dialError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == nil && r.dialing == nil {
		return r.lastErr
	}
	return nil
}

// dial makes one attempt to connect and records its result.
func (r *remote) dial() {
	session, err := r.peer.dialSession(r.address)
	r.peer.traffic.dials.Add(1)
	if err != nil {
		r.peer.traffic.failures.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.dialing)
	r.dialing = nil
	if err == nil && r.closed {
		_ = session.Close()
		err = errClosed
	}
	if err != nil {
		r.session = nil
		r.lastErr = err
		r.notBefore = r.peer.config.Clock.Now().Add(r.peer.redialDelay(r.failures))
		r.failures++
		return
	}
	r.session = session
	r.failures = 0
}

func (p *Peer) redialDelay(failures int) time.Duration {
	d := p.config.RedialMin
	for range failures {
		if d >= p.config.RedialMax {
			break
		}
		d *= 2
	}
	return p.jitter(min(d, p.config.RedialMax))
}

func (p *Peer) dialSession(address string) (*session, error) {
	// Wait for a free slot before dialling, since an open connection that waits takes processor time and memory at both ends.
	// Acquire the slot only after dialling, so that a dial to a lost machine does not hold the slot of another.
	waitCtx, cancelWait := context.WithTimeout(p.ctx, slotWaitFactor*p.config.HandshakeTimeout)
	defer cancelWait()
	if err := p.handshakes.waitForSlot(waitCtx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.config.DialTimeout+slotAndHandshakeFactor*p.config.HandshakeTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancelDial()
	raw, err := p.config.Dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	session, err := p.openSession(ctx, raw)
	if err != nil {
		_ = raw.Close()
	}
	return session, err
}

// openSession waits for a slot, runs the handshake and starts the session.
func (p *Peer) openSession(ctx context.Context, raw net.Conn) (*session, error) {
	slotCtx, cancelSlot := context.WithTimeout(ctx, p.config.HandshakeTimeout/2)
	defer cancelSlot()
	if err := p.handshakes.acquire(slotCtx); err != nil {
		return nil, err
	}
	begin := p.config.Clock.Now()
	conn, err := p.handshake(ctx, raw)
	p.handshakes.release(begin, p.config.Clock.Now(), err == nil)
	if err != nil {
		return nil, err
	}
	coalesced := &coalescer{Conn: conn, traffic: &p.traffic}
	opened, err := yamux.Client(coalesced, p.yamuxConfig())
	if err != nil {
		return nil, err
	}
	return &session{Session: opened, streams: &coalesced.streams}, nil
}

func (p *Peer) handshake(ctx context.Context, raw net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.HandshakeTimeout)
	defer cancel()
	conn, _, err := p.clientHandshake(ctx, raw)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Time{})
}

// drop closes a failed session, so that the next call dials again.
func (r *remote) drop(session *session) {
	_ = session.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == session {
		r.session = nil
	}
}

// checkAlive closes the session if the peer does not answer a ping, so that half-open connections are not kept.
func (r *remote) checkAlive(session *session) {
	r.peer.tasks.Go(func() {
		if _, err := session.Ping(); err != nil {
			r.drop(session)
		}
	})
}
