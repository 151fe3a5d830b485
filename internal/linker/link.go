package linker

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Link calls other daemons.
type Link struct {
	// Call sends req to the handler of that name at a peer's host:port and fills in resp.
	// A refusal by the peer comes back as *refuser.Refusal; PeerUnavailable with fact not-run means the call was never sent.
	Call func(ctx context.Context, address, method string, req, resp proto.Message) error
	// Notify queues msg for the handler of that name at a peer's host:port, without an answer and without a promise that it arrives.
	// queuer.ErrFull says that too many messages are waiting for the peer; the message is dropped.
	Notify func(address, method string, msg proto.Message) error
}

// Handler answers the calls of one method; body is the serialized request and peer the caller's member name.
type Handler func(ctx context.Context, peer string, body []byte) (proto.Message, error)
