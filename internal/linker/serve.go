package linker

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	acceptRetryDelay = 50 * time.Millisecond
	// noticeStreams is the number of streams for one-way messages that a connection has in addition to those of calls.
	noticeStreams = 1
	// readBufferBytes is enough for a typical one-way message with its length prefix.
	readBufferBytes = 512
)

// Serve accepts and serves the connections of listener until ctx is done or Close is called, and returns an error only if the
// listener was closed otherwise.
func (p *Peer) Serve(ctx context.Context, listener net.Listener) error {
	stopListening := func() { _ = listener.Close() }
	defer context.AfterFunc(ctx, stopListening)()
	defer context.AfterFunc(p.ctx, stopListening)()
	defer stopListening()
	p.tasks.Go(func() { p.removeIdleRegularly(ctx) })
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || p.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil && errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept peers")
		}
		if err != nil {
			p.config.Log.Warn().Err(err).Msg("failed to accept peer connection")
			_ = p.config.Clock.Sleep(ctx, acceptRetryDelay)
			continue
		}
		p.acceptConn(ctx, conn)
	}
}

// removeIdleRegularly closes the connections that have not been used for the idle timeout, until ctx is done.
func (p *Peer) removeIdleRegularly(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	for p.config.Clock.Sleep(ctx, p.config.IdleTimeout/2) == nil {
		p.mu.Lock()
		p.removeIdle()
		p.mu.Unlock()
	}
}

// acceptConn serves a connection in its own goroutine, or closes it if there are too many.
func (p *Peer) acceptConn(ctx context.Context, conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.accepted) >= p.config.MaxConnections {
		p.config.Log.Warn().Int("limit", p.config.MaxConnections).Msg("peer connection refused")
		_ = conn.Close()
		return
	}
	p.accepted[conn] = struct{}{}
	p.tasks.Go(func() {
		p.serveConn(ctx, conn)
		_ = conn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.accepted, conn)
	})
}

func (p *Peer) serveConn(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	handshakeCtx, cancelHandshake := context.WithTimeout(ctx, slotAndHandshakeFactor*p.config.HandshakeTimeout)
	defer cancelHandshake()
	conn, caller, err := p.serverHandshake(handshakeCtx, raw)
	if err != nil {
		p.traffic.refused.Add(1)
		p.config.Log.Warn().Err(err).Stringer("remote", raw.RemoteAddr()).Msg("peer handshake failed")
		return
	}
	_ = conn.SetDeadline(time.Time{})
	coalesced := &coalescer{Conn: conn, traffic: &p.traffic}
	session, err := yamux.Server(coalesced, p.yamuxConfig())
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	slots := make(chan struct{}, p.config.MaxStreams+noticeStreams)
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			started := p.tasks.Go(func() {
				defer func() { <-slots }()
				p.serveStream(ctx, caller.Name, &coalesced.streams, stream)
			})
			if !started {
				return
			}
		default:
			p.refuseStream(stream)
		}
	}
}

// refuseStream refuses a call over the stream limit without reading it.
func (p *Peer) refuseStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	refusal := refuser.New(refuser.PeerUnavailable, "peer has %d calls in progress", p.config.MaxStreams)
	p.writeReply(stream, refusalReply(refusal))
}

func (p *Peer) serveStream(ctx context.Context, caller string, streams *streamSet, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	streams.add(stream)
	defer streams.remove(stream)
	streams.setReadDeadline(stream, time.Now().Add(p.config.CallTimeout))
	// Each read of a stream costs a timer, so read a small message in one call.
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		var envelope peerv1.Envelope
		if err := readFrame(reader, &envelope, p.frameLimit()); err != nil {
			p.refuseUnread(stream, err)
			return
		}
		if !envelope.OneWay {
			p.answerCall(ctx, caller, streams, stream, &envelope)
			return
		}
		_, err := p.dispatch(ctx, caller, &envelope)
		if err != nil {
			p.config.Log.Debug().Err(err).Str("method", envelope.Method).Str("peer", caller).Msg("one-way message failed")
		}
		// No read deadline is needed: the session's keep-alive ends the stream of a lost peer.
		streams.setReadDeadline(stream, time.Time{})
	}
}

// refuseUnread refuses an envelope that could not be read and so reached no handler.
func (p *Peer) refuseUnread(stream *yamux.Stream, err error) {
	switch {
	case errors.Is(err, io.EOF):
	case errors.Is(err, errOversize):
		p.writeReply(stream, refusalReply(refuser.New(refuser.PayloadTooLarge, "%s", err.Error())))
	default:
		p.writeReply(stream, refusalReply(refuser.New(refuser.MalformedRequest, "envelope: %s", err.Error())))
	}
}

// answerCall runs one call and sends its reply; the context of the call ends at the caller's timeout or when the caller closes the
// stream.
func (p *Peer) answerCall(ctx context.Context, caller string, streams *streamSet, stream *yamux.Stream, envelope *peerv1.Envelope) {
	timeout := time.Duration(envelope.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = p.config.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	streams.setReadDeadline(stream, time.Time{})
	p.tasks.Go(func() {
		// The caller sends nothing more, so a read ends when it closes the stream.
		var b [1]byte
		_, _ = stream.Read(b[:])
		cancel()
	})
	msg, err := p.dispatch(ctx, caller, envelope)
	reply := p.encodeReply(envelope.Method, msg, err)
	p.writeReply(stream, reply)
	streams.setReadDeadline(stream, pastDeadline)
}

func (p *Peer) dispatch(ctx context.Context, caller string, envelope *peerv1.Envelope) (msg proto.Message, err error) {
	p.mu.Lock()
	h, ok := p.handlers[envelope.Method]
	p.mu.Unlock()
	if !ok {
		return nil, refuser.New(refuser.UnknownMethod, "peer method %q", envelope.Method)
	}
	defer func() {
		if v := recover(); v != nil {
			p.config.Log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Str("method", envelope.Method).Msg("peer handler panicked")
			err = refuser.New(refuser.Internal, "handler of %s failed", envelope.Method)
		}
	}()
	return h(ctx, caller, envelope.Body)
}

func (p *Peer) encodeReply(method string, msg proto.Message, err error) *peerv1.Reply {
	if err != nil {
		return refusalReply(refuser.From(err))
	}
	if msg == nil {
		return &peerv1.Reply{}
	}
	body, err := proto.Marshal(msg)
	if err != nil {
		return refusalReply(refuser.New(refuser.Internal, "encode the reply to %s", method).WithFact(refuser.FactRan))
	}
	if len(body) > p.config.MaxMessageBytes {
		refusal := refuser.New(refuser.PayloadTooLarge, "reply to %s takes %d bytes, at most %d", method, len(body), p.config.MaxMessageBytes)
		return refusalReply(refusal.WithFact(refuser.FactRan))
	}
	return &peerv1.Reply{Body: body}
}

func refusalReply(r *refuser.Refusal) *peerv1.Reply {
	return &peerv1.Reply{
		Code:         uint32(r.Code),
		Message:      r.Message,
		Fact:         uint32(r.Fact),
		RetryAfterMs: uint32(max(r.RetryAfter, 0) / time.Millisecond),
		AnswerDigest: r.Digest,
	}
}

func (p *Peer) writeReply(stream *yamux.Stream, reply *peerv1.Reply) {
	_ = stream.SetWriteDeadline(time.Now().Add(p.config.WriteTimeout))
	if err := writeFrame(stream, reply, p.frameLimit()); err != nil {
		p.config.Log.Debug().Err(err).Msg("failed to send peer reply")
	}
}
