package poster

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// maxDatagramBytes is the maximum size of an encoded message, in bytes.
	maxDatagramBytes = 60 << 10
	// readRetryDelay is the wait after a failed read.
	readRetryDelay = 100 * time.Millisecond
)

// ErrTooLarge is returned by Notify for a message that does not fit a datagram.
var ErrTooLarge = errors.New("message does not fit a datagram")

// Poster sends and receives datagrams; set its exported fields before Run.
type Poster struct {
	// Name is the name of this daemon.
	Name  string
	Conn  net.PacketConn
	Clock timer.Clock
	Log   zerolog.Logger

	mu       sync.Mutex
	handlers map[string]linker.Handler
}

// New returns a poster that sends and receives on conn.
func New(name string, conn net.PacketConn, clock timer.Clock) *Poster {
	return &Poster{Name: name, Conn: conn, Clock: clock, Log: zerolog.Nop(), handlers: map[string]linker.Handler{}}
}

// Handle registers the handler of a method. Its result is never sent back; an error is logged.
func (p *Poster) Handle(method string, h linker.Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = h
}

// Link returns the poster as a link that carries messages only.
func (p *Poster) Link() linker.Link { return linker.Link{Notify: p.Notify} }

// Notify sends a message to the handler of a method at address, an IP address with a port. Delivery is not guaranteed; a message
// that does not fit a datagram returns ErrTooLarge.
func (p *Poster) Notify(address, method string, msg proto.Message) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse address of peer")
	}
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(&peerv1.Datagram{Sender: p.Name, Method: method, Body: body})
	if err != nil {
		return err
	}
	if len(data) > maxDatagramBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes for %s", len(data), method)
	}
	_, err = p.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return err
}

// Run receives datagrams until ctx is done.
func (p *Poster) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := p.Conn.ReadFrom(buffer)
		switch {
		case err == nil:
			p.dispatch(ctx, buffer[:n])
		case ctx.Err() == nil:
			p.Log.Debug().Err(err).Msg("failed to read datagram")
			_ = p.Clock.Sleep(ctx, readRetryDelay)
		}
	}
	return nil
}

// dispatch decodes a datagram and calls its handler.
func (p *Poster) dispatch(ctx context.Context, data []byte) {
	d := &peerv1.Datagram{}
	if err := proto.Unmarshal(data, d); err != nil || d.GetSender() == "" {
		p.Log.Warn().Err(err).Int("bytes", len(data)).Msg("datagram is malformed or has no sender")
		return
	}
	if d.GetSender() == p.Name {
		return
	}
	p.mu.Lock()
	handle := p.handlers[d.GetMethod()]
	p.mu.Unlock()
	if handle == nil {
		p.Log.Warn().Str("peer", d.GetSender()).Str("method", d.GetMethod()).Msg("no handler for datagram")
		return
	}
	if _, err := handle(ctx, d.GetSender(), d.GetBody()); err != nil {
		p.Log.Warn().Str("peer", d.GetSender()).Str("method", d.GetMethod()).Err(err).Msg("datagram handler failed")
	}
}
