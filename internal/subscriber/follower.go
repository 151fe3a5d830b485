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
	f := &subscription{s: s, name: t.Name, address: t.Address, stop: stop}
	s.running.Go(func() { f.run(ctx) })
	return f
}

// run keeps a stream open until ctx is done, and reports a possible gap in the events whenever a stream ends.
func (f *subscription) run(ctx context.Context) {
	for retries := 0; ; retries++ {
		began := f.s.Clock.Now()
		err := f.stream(ctx)
		f.s.ObserveGap(f.name)
		if ctx.Err() != nil {
			return
		}
		f.s.counts.breaks.Inc(1)
		f.s.Log.Debug().Err(err).Str("target", f.name).Msg("cache event stream ended")
		if f.s.Clock.Now().Sub(began) >= stableAfter {
			retries = 0
		}
		if f.s.Clock.Sleep(ctx, f.s.backoff(retries)) != nil {
			return
		}
	}
}

// stream receives events until the stream ends.
//
// It requests all events that the engine keeps: after a restart of the engine, sequence numbers of an earlier stream
// are meaningless, and repeated events lead to the right state, as they arrive in order.
func (f *subscription) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := f.s.Open(ctx, f.address)
	if err != nil {
		return err
	}
	defer func() { _ = events.Close() }()
	return f.receiveEvents(events)
}

func (f *subscription) receiveEvents(events *engineer.Events) error {
	for last := uint64(0); ; {
		e, err := events.Receive()
		if err != nil {
			return err
		}
		switch {
		case last == 0:
		case e.Sequence <= last:
			f.s.counts.duplicates.Inc(1)
			continue
		case e.Sequence > last+1:
			f.s.counts.gaps.Inc(1)
			f.s.ObserveGap(f.name)
		}
		last = e.Sequence
		f.s.counts.events.Inc(1)
		f.s.Observe(f.name, e.Prefix, e.Removed)
	}
}
