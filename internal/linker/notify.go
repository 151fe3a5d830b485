package linker

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// notice is a one-way message.
type notice struct {
	method string
	body   []byte
}

// notify implements Link.Notify.
func (p *Peer) notify(address, method string, msg proto.Message) error {
	body, err := proto.Marshal(msg)
	if err != nil {
		return refuser.New(refuser.Internal, "encode %s", method).WithFact(refuser.FactNotRun).WithCause(err)
	}
	if len(body) > p.config.MaxMessageBytes {
		return refuser.New(refuser.PayloadTooLarge, "%s takes %d bytes, at most %d", method, len(body), p.config.MaxMessageBytes)
	}
	r, err := p.remote(address)
	if err != nil {
		return neverSent(address, err)
	}
	defer r.removeUser()
	if err := r.notices.Offer(notice{method: method, body: body}); err != nil {
		return err
	}
	r.startNotifying()
	return nil
}

// startNotifying starts the goroutine that sends the queued messages, unless it is running.
func (r *remote) startNotifying() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notifying || r.closed {
		return
	}
	r.notifying = r.peer.tasks.Go(r.sendNotices)
}

// sendNotices sends queued messages over one stream until none has been queued for the idle timeout.
func (r *remote) sendNotices() {
	var stream *yamux.Stream
	defer func() {
		if stream != nil {
			_ = stream.Close()
		}
	}()
	for {
		n, ok := r.nextNotice()
		if !ok {
			return
		}
		if stream == nil {
			stream = r.openNoticeStream()
		}
		if stream == nil {
			continue
		}
		if err := r.sendNotice(stream, n); err != nil {
			_ = stream.Close()
			stream = nil
		}
	}
}

func (r *remote) nextNotice() (notice, bool) {
	ctx, cancel := context.WithTimeout(r.peer.ctx, r.peer.config.IdleTimeout)
	defer cancel()
	n, err := r.notices.Take(ctx)
	if err == nil {
		return n, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := r.notices.Poll(); ok && r.peer.ctx.Err() == nil {
		return n, true
	}
	r.notifying = false
	return notice{}, false
}

func (r *remote) openNoticeStream() *yamux.Stream {
	ctx, cancel := context.WithTimeout(r.peer.ctx, r.peer.config.DialTimeout+r.peer.config.HandshakeTimeout)
	defer cancel()
	_, stream, err := r.open(ctx)
	if err != nil {
		return nil
	}
	return stream
}

func (r *remote) sendNotice(stream *yamux.Stream, n notice) error {
	_ = stream.SetWriteDeadline(time.Now().Add(r.peer.config.WriteTimeout))
	envelope := &peerv1.Envelope{Method: n.method, Body: n.body, OneWay: true}
	return writeFrame(stream, envelope, r.peer.frameLimit())
}
