package linker

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	protocolVersion = 1
	maxHelloBytes   = 4 << 10
)

// clientHandshake runs the handshake of the dialling side and returns the identity of the other daemon.
func (p *Peer) clientHandshake(ctx context.Context, raw net.Conn) (net.Conn, Identity, error) {
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	s, err := p.config.Security.Client(ctx, raw)
	if err != nil {
		return nil, Identity{}, errors.Wrap(err, "secure connection")
	}
	if err := p.sendHello(s, SideClient); err != nil {
		return nil, Identity{}, err
	}
	other, err := receiveHello(s, SideServer)
	if err != nil {
		return nil, Identity{}, err
	}
	return s.Conn, other, ctx.Err()
}

// serverHandshake runs the handshake of the accepting side and returns the identity of the caller.
func (p *Peer) serverHandshake(ctx context.Context, raw net.Conn) (net.Conn, Identity, error) {
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	s, err := p.config.Security.Server(ctx, raw)
	if err != nil {
		return nil, Identity{}, errors.Wrap(err, "secure connection")
	}
	other, err := receiveHello(s, SideClient)
	if err != nil {
		_ = writeFrame(s.Conn, &peerv1.Hello{Protocol: protocolVersion, Refusal: err.Error()}, maxHelloBytes)
		return nil, Identity{}, err
	}
	if err := p.sendHello(s, SideServer); err != nil {
		return nil, Identity{}, err
	}
	return s.Conn, other, ctx.Err()
}

func (p *Peer) sendHello(s Secured, side Side) error {
	own := Identity{Name: p.config.Name, Incarnation: p.config.Incarnation, DataCentre: string(p.config.DataCentre)}
	proof, err := s.Prove(side, own)
	if err != nil {
		return errors.Wrap(err, "prove identity")
	}
	hello := &peerv1.Hello{
		Protocol:    protocolVersion,
		Name:        own.Name,
		Incarnation: own.Incarnation,
		DataCentre:  own.DataCentre,
		Proof:       proof,
	}
	return errors.Wrap(s.explain(writeFrame(s.Conn, hello, maxHelloBytes)), "send hello")
}

func receiveHello(s Secured, side Side) (Identity, error) {
	var hello peerv1.Hello
	if err := readFrame(s.Conn, &hello, maxHelloBytes); err != nil {
		return Identity{}, errors.Wrap(s.explain(err), "read hello")
	}
	if hello.Refusal != "" {
		return Identity{}, errors.Newf("peer refused the connection: %s", hello.Refusal)
	}
	if hello.Protocol != protocolVersion {
		return Identity{}, errors.Newf("peer speaks protocol %d, not %d", hello.Protocol, protocolVersion)
	}
	if hello.Name == "" {
		return Identity{}, errors.New("peer gives no name")
	}
	other := Identity{Name: hello.Name, Incarnation: hello.Incarnation, DataCentre: hello.DataCentre}
	if err := s.Verify(side, other, hello.Proof); err != nil {
		return Identity{}, errors.Wrapf(err, "peer %q is not authenticated", hello.Name)
	}
	return other, nil
}
