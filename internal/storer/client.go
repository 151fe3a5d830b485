package storer

import (
	"context"
	"net"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	platformv1 "github.com/rattantray/rattantray/pkg/api/rattantray/platform/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/platform/v1/platformv1connect"
)

// maxMessageBytes bounds one message from the platform; a list holds many values.
const maxMessageBytes = 64 << 20

// NewClient returns a client of the object API at a base URL, for example http://10.0.0.5:7400.
func NewClient(httpClient connect.HTTPClient, address string) Store {
	c := &client{rpc: platformv1connect.NewPlatformServiceClient(httpClient, address,
		connect.WithReadMaxBytes(maxMessageBytes))}
	return Store{Get: c.get, List: c.list, Put: c.put, Delete: c.remove, Watch: c.watch, ListVMs: c.listVMs}
}

type client struct {
	rpc platformv1connect.PlatformServiceClient
}

func (c *client) get(ctx context.Context, key string) (Object, error) {
	resp, err := c.rpc.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
	if err != nil {
		return Object{}, readError(err)
	}
	return ObjectFromProto(resp.Msg.Object), nil
}

func (c *client) list(ctx context.Context, prefix string) ([]Object, Point, error) {
	resp, err := c.rpc.List(ctx, connect.NewRequest(&platformv1.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, 0, readError(err)
	}
	objects := make([]Object, 0, len(resp.Msg.Objects))
	for _, o := range resp.Msg.Objects {
		objects = append(objects, ObjectFromProto(o))
	}
	return objects, Point(resp.Msg.Revision), nil
}

func (c *client) put(ctx context.Context, key string, value []byte, expected Point) (Point, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	req := &platformv1.PutRequest{Key: key, Value: value, ExpectedVersion: uint64(expected)}
	resp, err := c.rpc.Put(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, writeError(err)
	}
	return Point(resp.Msg.Version), nil
}

func (c *client) remove(ctx context.Context, key string, expected Point) (Point, error) {
	req := &platformv1.DeleteRequest{Key: key, ExpectedVersion: uint64(expected)}
	resp, err := c.rpc.Delete(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, writeError(err)
	}
	return Point(resp.Msg.Revision), nil
}

func (c *client) watch(ctx context.Context, prefix string, after Point, emit func(Event) error) error {
	req := &platformv1.WatchRequest{Prefix: prefix, FromRevision: uint64(after)}
	stream, err := c.rpc.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return readError(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := emit(EventFromProto(stream.Msg())); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := stream.Err(); err != nil {
		return readError(err)
	}
	return errors.Wrap(ErrUnavailable, "watch ended")
}

func (c *client) listVMs(ctx context.Context) ([]cataloger.VM, error) {
	resp, err := c.rpc.ListVMs(ctx, connect.NewRequest(&platformv1.ListVMsRequest{}))
	if err != nil {
		return nil, readError(err)
	}
	vms := make([]cataloger.VM, 0, len(resp.Msg.Vms))
	for _, vm := range resp.Msg.Vms {
		vms = append(vms, VMFromProto(vm))
	}
	return vms, nil
}

// platformError returns the error that the platform itself sent, or nil if it sent none.
func platformError(err error) error {
	if !connect.IsWireError(err) {
		return nil
	}
	for _, w := range wireCodes {
		if connect.CodeOf(err) == w.code {
			return Mark(err, w.err)
		}
	}
	return nil
}

func readError(err error) error {
	if platformErr := platformError(err); platformErr != nil {
		return platformErr
	}
	return Mark(err, ErrUnavailable)
}

// writeError returns ErrUncertain unless the platform refused the write or no connection was established.
func writeError(err error) error {
	if platformErr := platformError(err); platformErr != nil {
		return platformErr
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Mark(err, ErrUnavailable)
	}
	return Mark(err, ErrUncertain)
}
