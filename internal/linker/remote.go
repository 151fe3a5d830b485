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

// turnAndHandshake is how many times the time for a handshake the two ends allow: the caller may wait for its turn first.
const turnAndHandshake = 2

// turnWait is how many times the time for a handshake a dial waits until there is a turn.
const turnWait = 4

var (
	errClosed = errors.New("link closed")
	errBusy   = errors.New("too many calls in progress to the peer")
)

// session is a connection to a peer.
type session struct {
	*yamux.Session
	streams *streamSet
}

// remote is the calling side of the link to one address.
type remote struct {
	peer    *Peer
	address string
	// slots bounds the calls in progress.
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

// remote returns the entry for an address, marked as in use.
func (p *Peer) remote(address string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	r, ok := p.remotes[address]
	if !ok {
		p.dropIdle()
		r = &remote{
			peer:    p,
			address: address,
			slots:   make(chan struct{}, p.config.MaxStreams),
			notices: queuer.NewRing[notice](p.config.NotifyBacklog),
		}
		p.remotes[address] = r
	}
	r.use()
	return r, nil
}

// dropIdle forgets the addresses that have not been used for the idle time; p.mu is held.
func (p *Peer) dropIdle() {
	for address, r := range p.remotes {
		if r.closeIfIdle(p.config.Clock.Now().Add(-p.config.IdleTimeout)) {
			delete(p.remotes, address)
		}
	}
}

func (r *remote) use() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users++
}

func (r *remote) unuse() {
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

func (r *remote) acquire(ctx context.Context) error {
	select {
	case r.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.CombineErrors(errBusy, ctx.Err())
	}
}

func (r *remote) release() { <-r.slots }

// open returns a new stream; a session that turns out to be dead is replaced once.
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

// connect returns the live session, dialling where there is none; concurrent callers share one dial.
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

// dial makes one attempt and records its result.
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
	// A connection that is open while it waits for its turn takes processor time and room at both ends, and one to a
	// lost machine must not keep the turn of another, so that it is waited for before and taken after.
	waitCtx, cancelWait := context.WithTimeout(p.ctx, turnWait*p.config.HandshakeTimeout)
	defer cancelWait()
	if err := p.gate.await(waitCtx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.config.DialTimeout+turnAndHandshake*p.config.HandshakeTimeout)
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

// openSession waits for its turn and runs the handshake.
func (p *Peer) openSession(ctx context.Context, raw net.Conn) (*session, error) {
	turnCtx, cancelTurn := context.WithTimeout(ctx, p.config.HandshakeTimeout/2)
	defer cancelTurn()
	if err := p.gate.enter(turnCtx); err != nil {
		return nil, err
	}
	begin := p.config.Clock.Now()
	conn, err := p.shakeHands(ctx, raw)
	p.gate.leave(begin, p.config.Clock.Now(), err == nil)
	if err != nil {
		return nil, err
	}
	joined := &coalescer{Conn: conn, traffic: &p.traffic}
	opened, err := yamux.Client(joined, p.yamuxConfig())
	if err != nil {
		return nil, err
	}
	return &session{Session: opened, streams: &joined.streams}, nil
}

func (p *Peer) shakeHands(ctx context.Context, raw net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.HandshakeTimeout)
	defer cancel()
	conn, _, err := p.connectSecured(ctx, raw)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Time{})
}

// drop closes a session that failed.
func (r *remote) drop(session *session) {
	_ = session.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == session {
		r.session = nil
	}
}

// checkAlive closes the session if the peer does not answer a ping, so that half-open connections do not stay.
func (r *remote) checkAlive(session *session) {
	r.peer.tasks.Go(func() {
		if _, err := session.Ping(); err != nil {
			r.drop(session)
		}
	})
}
