package platformfaker

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/storer"
)

func (p *Platform) watch(ctx context.Context, prefix string, after storer.Point, emit func(storer.Event) error) error {
	if err := p.beginCall(ctx, OperationWatch, prefix); err != nil {
		return err
	}
	p.mu.Lock()
	p.ledger.Watches++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.ledger.Watches--
		p.mu.Unlock()
	}()
	w := &watch{platform: p, prefix: prefix, cursor: after}
	for {
		events, wake, err := w.next()
		if err != nil {
			return err
		}
		for _, e := range events {
			if err := emit(e); err != nil {
				return err
			}
		}
		if err := w.wait(ctx, wake, emit); err != nil {
			return err
		}
	}
}

type watch struct {
	platform *Platform
	prefix   string
	cursor   storer.Point
	started  bool
	// held is an event that FaultWatchReorder holds back until its successor.
	held *storer.Event
}

// next returns the events after the cursor and a channel that closes when there may be more.
func (w *watch) next() ([]storer.Event, <-chan struct{}, error) {
	p := w.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, out := p.consumeFault(FaultOutage, OperationWatch, w.prefix); out {
		return nil, nil, errors.Wrapf(storer.ErrUnavailable, "watch %s", w.prefix)
	}
	oldest := p.revision - storer.Point(len(p.changes))
	if w.cursor < oldest {
		return nil, nil, errors.Wrapf(storer.ErrCompacted, "watch %s after %d, oldest is %d", w.prefix, w.cursor, oldest)
	}
	var events []storer.Event
	start := min(w.cursor-oldest, storer.Point(len(p.changes)))
	for _, c := range p.changes[start:] {
		events = w.appendEvent(events, c)
	}
	w.cursor = max(w.cursor, p.revision)
	if !w.started {
		w.started = true
		events = append(events, storer.Event{Revision: w.cursor})
	}
	return events, p.wake, nil
}

func (w *watch) appendEvent(events []storer.Event, c change) []storer.Event {
	if !strings.HasPrefix(c.key, w.prefix) {
		return events
	}
	if _, gap := w.platform.consumeFault(FaultWatchGap, OperationWatch, c.key); gap {
		return events
	}
	e := storer.Event{Object: clone(c.after), Deleted: c.deleted, Revision: c.revision}
	if w.held != nil {
		events = append(events, e, *w.held)
		w.held = nil
		return events
	}
	if _, reorder := w.platform.consumeFault(FaultWatchReorder, OperationWatch, c.key); reorder {
		w.held = &e
		return events
	}
	w.platform.ledger.BytesRead += uint64(len(e.Object.Value))
	return append(events, e)
}

// wait returns when there may be more events; it emits a bookmark after an interval without any.
func (w *watch) wait(ctx context.Context, wake <-chan struct{}, emit func(storer.Event) error) error {
	bookmark := make(chan struct{})
	stop := w.platform.cfg.Clock.AfterFunc(w.platform.cfg.BookmarkInterval, func() { close(bookmark) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake:
		return nil
	case <-bookmark:
		return emit(storer.Event{Revision: w.cursor})
	}
}
