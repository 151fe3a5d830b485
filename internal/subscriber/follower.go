package subscriber

import (
	"context"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
)

// follower follows one engine until it is stopped.
type follower struct {
	s       *Subscriber
	name    string
	address string
	stop    context.CancelFunc
}

func (s *Subscriber) follow(ctx context.Context, t cataloger.Target) *follower {
	ctx, stop := context.WithCancel(ctx)
	f := &follower{s: s, name: t.Name, address: t.Address, stop: stop}
	s.wait.Go(func() { f.run(ctx) })
	return f
}

// run keeps a stream open; what was learnt from one that broke is doubted.
func (f *follower) run(ctx context.Context) {
	for try := 0; ; try++ {
		began := f.s.Clock.Now()
		err := f.stream(ctx)
		f.s.Doubt(f.name)
		if ctx.Err() != nil {
			return
		}
		f.s.counts.breaks.Inc(1)
		f.s.Log.Debug().Err(err).Str("target", f.name).Msg("cache events broke off")
		if f.s.Clock.Now().Sub(began) >= steadyFor {
			try = 0
		}
		if f.s.Clock.Sleep(ctx, f.s.backoff(try)) != nil {
			return
		}
	}
}

// stream takes in events until the stream ends.
//
// It asks for all that the engine keeps: a number from an earlier stream says nothing after a restart of the engine,
// and events that come again leave the right state behind, as they come in order.
func (f *follower) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := f.s.Open(ctx, f.address)
	if err != nil {
		return err
	}
	defer func() { _ = events.Close() }()
	return f.take(events)
}

func (f *follower) take(events *engineer.Events) error {
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
			f.s.Doubt(f.name)
		}
		last = e.Sequence
		f.s.counts.events.Inc(1)
		f.s.Observe(f.name, e.Prefix, e.Removed)
	}
}
