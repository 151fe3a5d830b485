package configurer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// execute starts the actions that the machine requests; a job that does not fit into the queue counts as failed.
func (c *Configurer) execute(ctx context.Context, effects []effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		now := c.Clock.Now()
		var err error
		switch e := e.(type) {
		case effectList:
			if err = c.jobs.Offer(c.list); err != nil {
				effects = append(effects, c.machine.listFailed(now)...)
			}
		case effectWatch:
			c.startWatch(ctx, e)
		case effectUnwatch:
			c.watchNumber++
			c.stopWatch()
		case effectPush:
			err = c.jobs.Offer(func(ctx context.Context) { c.push(ctx, e) })
		case effectExchange:
			if err = c.jobs.Offer(func(ctx context.Context) { c.exchange(ctx, e) }); err != nil {
				effects = append(effects, c.machine.exchangeFailed(now, e.to)...)
			}
		case effectPull:
			if err = c.jobs.Offer(func(ctx context.Context) { c.pull(ctx, e) }); err != nil {
				effects = append(effects, c.machine.exchangeFailed(now, e.from)...)
			}
		case effectUnreadable:
			c.Log.Error().Err(e.err).Str("service", e.item.Name).Uint64("version", e.item.Version).
				Msg("stored document cannot be read, the earlier version stays in force")
			c.count("config-unreadable", 1)
		}
		if err != nil {
			c.count("config-jobs-dropped", 1)
		}
	}
}

// enqueueStep queues an event for the machine.
func (c *Configurer) enqueueStep(ctx context.Context, s step) { _ = c.steps.Put(ctx, s) }

func (c *Configurer) list(ctx context.Context) {
	sent := c.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := c.Store.List(callCtx, Prefix)
	if err != nil {
		c.enqueueStep(ctx, func(m *machine, now time.Time) []effect { return m.listFailed(now) })
		return
	}
	items := make([]Item, 0, len(objects))
	for _, o := range objects {
		if i, ok := c.readObject(o); ok {
			items = append(items, i)
		}
	}
	c.enqueueStep(ctx, func(m *machine, now time.Time) []effect { return m.applyList(now, sent, items, revision) })
}

func (c *Configurer) readObject(o storer.Object) (Item, bool) {
	i, err := itemFromObject(o)
	if err != nil {
		c.Log.Error().Err(err).Msg("stored object is not a service document")
		c.count("config-unreadable", 1)
	}
	return i, err == nil
}

func (c *Configurer) startWatch(ctx context.Context, e effectWatch) {
	c.watchNumber++
	number := c.watchNumber
	watchCtx, cancel := context.WithCancel(ctx)
	c.stopWatch = cancel
	// current drops events from a watch that was ended.
	current := func(s step) step {
		return func(m *machine, now time.Time) []effect {
			if number != c.watchNumber {
				return nil
			}
			return s(m, now)
		}
	}
	c.goroutines.Go(func() {
		defer cancel()
		err := c.Store.Watch(watchCtx, Prefix, e.after, func(event storer.Event) error {
			return c.steps.Put(watchCtx, current(c.watchStep(event)))
		})
		if ctx.Err() == nil {
			c.enqueueStep(ctx, current(func(m *machine, now time.Time) []effect { return m.watchEnded(now, err) }))
		}
	})
}

func (c *Configurer) watchStep(event storer.Event) step {
	var item *Item
	switch {
	case event.Object.Key == "":
	case event.Deleted:
		// An object that was deleted directly in the store counts as a tombstone.
		item = &Item{Name: event.Object.Key[len(Prefix):], Version: uint64(event.Revision), Deleted: true, Time: c.Clock.Now()}
	default:
		i, ok := c.readObject(event.Object)
		if !ok {
			return func(*machine, time.Time) []effect { return nil }
		}
		item = &i
	}
	return func(m *machine, now time.Time) []effect { return m.applyWatchEvent(now, item, event.Revision) }
}

// call calls a peer and counts the bytes sent and received.
func (c *Configurer) call(ctx context.Context, address, method string, timeout time.Duration, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.Link.Call(ctx, address, method, req, resp)
	c.count("config-messages", 1)
	c.count("config-bytes", proto.Size(req)+proto.Size(resp))
	if err != nil {
		c.count("config-call-failures", 1)
	}
	return err
}

func (c *Configurer) push(ctx context.Context, e effectPush) {
	req := &peerv1.ConfigPushRequest{
		Item:       e.item.spliceMessage(e.base),
		DataCentre: string(c.Self.DataCentre),
		Low:        e.forward.low,
		High:       e.forward.high,
	}
	resp := &peerv1.ConfigPushResponse{}
	err := c.call(ctx, e.to.address, MethodPush, peerTimeout, req, resp)
	if err == nil && resp.NeedWhole {
		req.Item = e.item.fullMessage()
		err = c.call(ctx, e.to.address, MethodPush, peerTimeout, req, resp)
	}
	if err != nil {
		c.enqueueStep(ctx, func(m *machine, _ time.Time) []effect { return m.pushFailed(e) })
	}
}

func (c *Configurer) exchange(ctx context.Context, e effectExchange) {
	sent := c.Clock.Now()
	resp := &peerv1.ConfigExchangeResponse{}
	err := c.call(ctx, e.to.address, MethodExchange, peerTimeout, &peerv1.ConfigExchangeRequest{Digest: e.digest}, resp)
	c.enqueueStep(ctx, func(m *machine, now time.Time) []effect {
		if err != nil {
			return m.exchangeFailed(now, e.to)
		}
		return m.applyExchange(now, sent, e.to, e.digest, resp)
	})
}

func (c *Configurer) pull(ctx context.Context, e effectPull) {
	resp := &peerv1.ConfigPullResponse{}
	err := c.call(ctx, e.from.address, MethodPull, pullTimeout, &peerv1.ConfigPullRequest{Have: e.have}, resp)
	c.enqueueStep(ctx, func(m *machine, now time.Time) []effect {
		if err != nil {
			return m.exchangeFailed(now, e.from)
		}
		return m.applyPull(now, e.from, e.have, c.readItems(m, resp.Items))
	})
}

func (c *Configurer) readItems(m *machine, items []*peerv1.ConfigItem) []Item {
	var out []Item
	for _, p := range items {
		i, err := itemFromProto(p, m.set.entries[p.GetName()].newest)
		if err != nil {
			// The next exchange requests it again.
			c.count("config-splice-failures", 1)
			continue
		}
		out = append(out, i)
	}
	return out
}
