package configurer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Methods that a configurer serves to other daemons.
const (
	MethodPush     = "config-push"
	MethodExchange = "config-exchange"
	MethodPull     = "config-pull"
	MethodStatus   = "config-status"
)

// maxPullBytes is the size of an answer to a pull over which no more items are added.
const maxPullBytes = 512 << 10

// Handlers returns the handlers for the daemon's peer listener, by method.
func (c *Configurer) Handlers() map[string]linker.Handler {
	return map[string]linker.Handler{
		MethodPush:     handle(c.handlePush),
		MethodExchange: handle(c.handleExchange),
		MethodPull:     handle(c.handlePull),
		MethodStatus:   handle(c.handleStatus),
	}
}

// handle returns a handler that decodes the body of a call for f.
func handle[T any, P interface {
	*T
	proto.Message
}](f func(context.Context, P) (proto.Message, error)) linker.Handler {
	return func(ctx context.Context, _ string, body []byte) (proto.Message, error) {
		req := P(new(T))
		if err := proto.Unmarshal(body, req); err != nil {
			return nil, refuser.New(refuser.MalformedRequest, "%s", err)
		}
		return f(ctx, req)
	}
}

func (c *Configurer) handlePush(ctx context.Context, req *peerv1.ConfigPushRequest) (proto.Message, error) {
	done := make(chan error, 1)
	err := c.steps.Put(ctx, func(m *machine, _ time.Time) []effect {
		name := req.GetItem().GetName()
		newest := m.set.entries[name].newest
		if name == "" || req.Item.Version < newest.Version {
			done <- nil
			return nil
		}
		i, err := newest, error(nil)
		if req.Item.Version > newest.Version {
			i, err = itemFromProto(req.Item, newest)
		}
		done <- err
		if err != nil {
			return nil
		}
		return m.applyPush(pushedItem{item: i, from: cataloger.DataCentre(req.DataCentre), forward: span{req.Low, req.High}})
	})
	if err == nil {
		select {
		case err = <-done:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	if errors.Is(err, errNeedFullText) {
		return &peerv1.ConfigPushResponse{NeedWhole: true}, nil
	}
	if err != nil {
		return nil, refuser.New(refuser.MalformedRequest, "%s", err)
	}
	return &peerv1.ConfigPushResponse{}, nil
}

func (c *Configurer) handleExchange(_ context.Context, req *peerv1.ConfigExchangeRequest) (proto.Message, error) {
	v := c.view.Load()
	resp := &peerv1.ConfigExchangeResponse{Ready: v.ready, Same: v.digest == req.Digest}
	if age, ok := c.Age(); ok {
		resp.AgeMs = proto.Uint64(uint64(age/time.Millisecond) + 1)
	}
	if !resp.Same {
		resp.Versions = (&set{entries: v.entries}).versions()
	}
	return resp, nil
}

func (c *Configurer) handlePull(_ context.Context, req *peerv1.ConfigPullRequest) (proto.Message, error) {
	v := c.view.Load()
	resp := &peerv1.ConfigPullResponse{}
	size := 0
	for _, have := range req.Have {
		e, ok := v.entries[have.Name]
		if !ok || e.newest.Version <= have.Version {
			continue
		}
		var item *peerv1.ConfigItem
		if have.Version == e.previous.Version {
			item = e.newest.spliceMessage(e.previous)
		} else {
			item = e.newest.fullMessage()
		}
		resp.Items = append(resp.Items, item)
		if size += proto.Size(item); size > maxPullBytes {
			break
		}
	}
	return resp, nil
}

func (c *Configurer) handleStatus(_ context.Context, req *peerv1.ConfigStatusRequest) (proto.Message, error) {
	return &peerv1.ConfigStatusResponse{Version: c.view.Load().entries[req.Name].inForce}, nil
}
