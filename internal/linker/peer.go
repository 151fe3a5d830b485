package linker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/spawner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Peer is one daemon's end of the connections to all other daemons.
type Peer struct {
	config Config
	// ctx is canceled by Close and bounds everything that the peer runs.
	ctx    context.Context
	cancel context.CancelFunc
	// tasks holds every goroutine of the peer; its lock is taken last.
	tasks spawner.Group

	traffic    traffic
	handshakes *handshakeLimiter

	randomMu sync.Mutex
	random   *rand.Rand

	mu       sync.Mutex
	closed   bool
	remotes  map[string]*remote
	handlers map[string]Handler
	accepted map[net.Conn]struct{}
}

// NewPeer returns a peer without connections, or an error if config is invalid.
func NewPeer(config Config) (*Peer, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Peer{
		config:     config,
		ctx:        ctx,
		cancel:     cancel,
		remotes:    map[string]*remote{},
		handlers:   map[string]Handler{},
		random:     config.Random,
		handshakes: newHandshakeLimiter(config.HandshakeTimeout),
		accepted:   map[net.Conn]struct{}{},
	}, nil
}

// Handle sets the handler of a method and replaces an earlier one.
func (p *Peer) Handle(method string, h Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = h
}

// Link returns the functions to call other daemons through the peer.
func (p *Peer) Link() Link { return Link{Call: p.call, Notify: p.notify} }

// Close closes every connection and waits for the handlers to return.
func (p *Peer) Close() error {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	remotes := p.remotes
	p.remotes = map[string]*remote{}
	for conn := range p.accepted {
		_ = conn.Close()
	}
	p.mu.Unlock()
	for _, r := range remotes {
		r.close()
	}
	p.tasks.Close()
	return nil
}

// call implements Link.Call.
func (p *Peer) call(ctx context.Context, address, method string, req, resp proto.Message) error {
	body, err := proto.Marshal(req)
	if err != nil {
		return refuser.New(refuser.Internal, "encode %s", method).WithFact(refuser.FactNotRun).WithCause(err)
	}
	if len(body) > p.config.MaxMessageBytes {
		return refuser.New(refuser.PayloadTooLarge, "%s takes %d bytes, at most %d", method, len(body), p.config.MaxMessageBytes)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.config.CallTimeout)
		defer cancel()
	}
	r, err := p.remote(address)
	if err != nil {
		return neverSent(address, err)
	}
	defer r.removeUser()
	if err := r.acquireSlot(ctx); err != nil {
		return neverSent(address, err)
	}
	defer r.releaseSlot()
	session, stream, err := r.open(ctx)
	if err != nil {
		return neverSent(address, err)
	}
	defer func() { _ = stream.Close() }()
	reply, err := p.exchange(ctx, session.streams, stream, method, body)
	if err != nil {
		return p.replyLost(ctx, r, session, address, method, err)
	}
	return decodeReply(reply, method, resp)
}

// exchange sends the envelope and reads the reply; the call may run as soon as the first byte is written.
func (p *Peer) exchange(ctx context.Context, streams *streamSet, stream *yamux.Stream, method string, body []byte) (*peerv1.Reply, error) {
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	streams.add(stream)
	defer streams.remove(stream)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
	defer stop()
	envelope := &peerv1.Envelope{
		Method:    method,
		Body:      body,
		TimeoutMs: timeoutMillis(time.Until(deadline)),
	}
	if err := writeFrame(stream, envelope, p.frameLimit()); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	var reply peerv1.Reply
	if err := readFrame(stream, &reply, p.frameLimit()); err != nil {
		return nil, errors.Wrap(err, "await reply")
	}
	return &reply, nil
}

// replyLost returns the refusal for a call whose reply did not arrive and, after a timeout, checks whether the connection is alive.
func (p *Peer) replyLost(ctx context.Context, r *remote, session *session, address, method string, err error) error {
	// The stream's deadline may pass a moment before that of the context.
	if ctx.Err() != nil || errors.Is(err, yamux.ErrTimeout) {
		err = errors.CombineErrors(ctx.Err(), err)
		r.checkAlive(session)
	}
	return refuser.New(refuser.PeerUnavailable, "%s to %s has no reply: %s", method, address, err.Error()).
		WithFact(refuser.FactMayHaveRun).
		WithCause(err)
}

func neverSent(address string, err error) error {
	return refuser.New(refuser.PeerUnavailable, "no connection to %s: %s", address, err.Error()).
		WithFact(refuser.FactNotRun).
		WithCause(err)
}

func decodeReply(reply *peerv1.Reply, method string, resp proto.Message) error {
	if reply.Code != 0 {
		refusal := refuser.New(refuser.Code(reply.Code), "%s", reply.Message).
			WithFact(refuser.Fact(reply.Fact)).
			WithRetryAfter(time.Duration(reply.RetryAfterMs) * time.Millisecond)
		if len(reply.AnswerDigest) > 0 {
			refusal = refusal.WithDigest(reply.AnswerDigest)
		}
		return refusal
	}
	if resp == nil {
		return nil
	}
	if err := proto.Unmarshal(reply.Body, resp); err != nil {
		return refuser.New(refuser.Internal, "decode the reply to %s", method).WithFact(refuser.FactRan).WithCause(err)
	}
	return nil
}

func (p *Peer) frameLimit() int { return p.config.MaxMessageBytes + envelopeOverhead }

func timeoutMillis(d time.Duration) uint32 {
	const maxTimeout = time.Duration(1<<31) * time.Millisecond
	return uint32(max(min(d, maxTimeout), time.Millisecond) / time.Millisecond)
}

// jitter returns a random duration between half of d and d.
func (p *Peer) jitter(d time.Duration) time.Duration {
	p.randomMu.Lock()
	defer p.randomMu.Unlock()
	return d/2 + time.Duration(p.random.Int64N(int64(d)/2+1))
}

func (p *Peer) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 2 * p.config.MaxStreams
	c.KeepAliveInterval = p.config.KeepAlive
	c.ConnectionWriteTimeout = p.config.WriteTimeout
	c.StreamCloseTimeout = p.config.CallTimeout
	c.LogOutput = nil
	c.Logger = sessionLog{p.config.Log}
	return c
}
