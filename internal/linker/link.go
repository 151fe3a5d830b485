package linker

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Link sends calls and one-way messages to other daemons.
type Link struct {
	// Call sends req to the handler of method at a peer's host:port and decodes the reply into resp.
	// A refusal by the peer is returned as *refuser.Refusal; PeerUnavailable with fact not-run means that the call was never sent.
	Call func(ctx context.Context, address, method string, req, resp proto.Message) error
	// Notify queues msg for the handler of method at a peer's host:port, without a reply or a delivery guarantee.
	// It returns queuer.ErrFull and drops the message if too many are queued for the peer.
	Notify func(address, method string, msg proto.Message) error
}

// Handler answers the calls of one method; body is the serialized request and peer the caller's member name.
type Handler func(ctx context.Context, peer string, body []byte) (proto.Message, error)
