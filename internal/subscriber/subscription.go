package subscriber

import (
	"context"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
)

// subscription streams the events of one engine until it is stopped.
type subscription struct {
	s       *Subscriber
	name    string
	address string
	stop    context.CancelFunc
}

func (s *Subscriber) subscribe(ctx context.Context, t cataloger.Target) *subscription {
	ctx, stop := context.WithCancel(ctx)
	sub := &subscription{s: s, name: t.Name, address: t.Address, stop: stop}
	s.running.Go(func() { sub.run(ctx) })
	return sub
}

// run keeps a stream open until ctx is done, and reports a possible gap in the events whenever a stream ends.
func (sub *subscription) run(ctx context.Context) {
	for retries := 0; ; retries++ {
		began := sub.s.Clock.Now()
		err := sub.stream(ctx)
		sub.s.ObserveGap(sub.name)
		if ctx.Err() != nil {
			return
		}
		sub.s.counts.breaks.Inc(1)
		sub.s.Log.Debug().Err(err).Str("target", sub.name).Msg("cache event stream ended")
		if sub.s.Clock.Now().Sub(began) >= stableAfter {
			retries = 0
		}
		if sub.s.Clock.Sleep(ctx, sub.s.backoff(retries)) != nil {
			return
		}
	}
}

// stream receives events until the stream ends.
//
// It requests all events that the engine keeps: after a restart of the engine, sequence numbers of an earlier stream
// are meaningless, and repeated events lead to the right state, as they arrive in order.
func (sub *subscription) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := sub.s.Open(ctx, sub.address)
	if err != nil {
		return err
	}
	defer func() { _ = events.Close() }()
	return sub.receiveEvents(events)
}

func (sub *subscription) receiveEvents(events *engineer.Events) error {
	for last := uint64(0); ; {
		e, err := events.Receive()
		if err != nil {
			return err
		}
		switch {
		case last == 0:
		case e.Sequence <= last:
			sub.s.counts.duplicates.Inc(1)
			continue
		case e.Sequence > last+1:
			sub.s.counts.gaps.Inc(1)
			sub.s.ObserveGap(sub.name)
		}
		last = e.Sequence
		sub.s.counts.events.Inc(1)
		sub.s.Observe(sub.name, e.Prefix, e.Removed)
	}
}
