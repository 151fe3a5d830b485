package platformfaker

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// Config holds the settings of a Platform.
type Config struct {
	// Clock is the clock of the platform; nil means the system clock.
	Clock timer.Clock
	// History is the number of changes that watches can resume from, fewer if values are large; 0 means DefaultHistory.
	History int
	// VMLag is the age of the VM list that ListVMs returns.
	VMLag time.Duration
	// BookmarkInterval is the time between bookmarks of an idle watch; 0 means DefaultBookmarkInterval.
	BookmarkInterval time.Duration
}

// Defaults of Config.
const (
	DefaultHistory          = 10_000
	DefaultBookmarkInterval = 5 * time.Second
)

// maxChangeBytes bounds the total size of the values of past changes.
const maxChangeBytes = 64 << 20

// Ledger counts calls, watches, objects and bytes.
type Ledger struct {
	Calls    map[Operation]uint64 `json:"calls"`
	Watches  int                  `json:"watches"`
	Revision uint64               `json:"revision"`
	Objects  int                  `json:"objects"`
	// BytesRead and BytesWritten count the bytes of values that were read and written.
	BytesRead    uint64 `json:"bytes-read"`
	BytesWritten uint64 `json:"bytes-written"`
}

type change struct {
	at       time.Time
	revision storer.Point
	key      string
	before   storer.Object
	existed  bool
	after    storer.Object
	deleted  bool
}

type vmList struct {
	at  time.Time
	vms []cataloger.VM
}

// Platform is a fake platform; it is safe for concurrent use.
type Platform struct {
	cfg Config

	mu       sync.Mutex
	revision storer.Point
	objects  map[string]storer.Object
	// changes holds the last changes, the oldest first; their revisions have no gaps.
	changes []change
	// changeBytes is the total size of the values in changes.
	changeBytes int
	wake        chan struct{}
	vmLists     []vmList
	faults      []*activeFault
	ledger      Ledger
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	if cfg.Clock == nil {
		cfg.Clock = timer.System{}
	}
	if cfg.History <= 0 {
		cfg.History = DefaultHistory
	}
	if cfg.BookmarkInterval <= 0 {
		cfg.BookmarkInterval = DefaultBookmarkInterval
	}
	return &Platform{
		cfg:     cfg,
		objects: map[string]storer.Object{},
		wake:    make(chan struct{}),
		ledger:  Ledger{Calls: map[Operation]uint64{}},
	}
}

// Store returns the platform as a Store that is called without a network.
func (p *Platform) Store() storer.Store {
	return storer.Store{
		Get:     p.get,
		List:    p.list,
		Put:     p.put,
		Delete:  p.remove,
		Watch:   p.watch,
		ListVMs: p.listVMs,
	}
}

// SetVMs replaces the VM list; ListVMs returns it after VMLag, the first one immediately.
func (p *Platform) SetVMs(vms []cataloger.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{at: p.cfg.Clock.Now(), vms: slices.Clone(vms)})
}

// Compact drops every past change, so that watches can start at the current revision only.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = nil
	p.changeBytes = 0
	p.broadcast()
}

// Restore resets the platform to its state of age ago, or to the oldest state that its history allows. A new era begins, in
// which the revisions since then are assigned again.
func (p *Platform) Restore(age time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	then := p.cfg.Clock.Now().Add(-age)
	back := 0
	for i := len(p.changes) - 1; i >= 0 && p.changes[i].at.After(then); i-- {
		back++
	}
	revision := p.revision - storer.Point(back)
	era := p.revision.Era() + 1
	restored := map[string]storer.Object{}
	for key, o := range p.objectsAt(revision) {
		var err error
		if o.Version, err = storer.NewPoint(era, o.Version.Revision()); err != nil {
			return err
		}
		restored[key] = o
	}
	at, err := storer.NewPoint(era, revision.Revision())
	if err != nil {
		return err
	}
	p.objects, p.revision = restored, at
	p.changes, p.changeBytes = nil, 0
	p.broadcast()
	return nil
}

// Ledger returns a copy of the counts.
func (p *Platform) Ledger() Ledger {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.ledger
	l.Calls = make(map[Operation]uint64, len(p.ledger.Calls))
	for op, n := range p.ledger.Calls {
		l.Calls[op] = n
	}
	l.Revision = uint64(p.revision)
	l.Objects = len(p.objects)
	return l
}

// broadcast wakes the watches. The caller holds p.mu.
func (p *Platform) broadcast() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// beginCall counts a call and applies the faults that come before it takes effect.
func (p *Platform) beginCall(ctx context.Context, op Operation, key string) error {
	p.mu.Lock()
	p.ledger.Calls[op]++
	_, outage := p.consumeFault(FaultOutage, op, key)
	_, limited := p.consumeFault(FaultRateLimit, op, key)
	slow, isSlow := p.consumeFault(FaultSlow, op, key)
	p.mu.Unlock()
	if isSlow {
		if err := p.cfg.Clock.Sleep(ctx, time.Duration(slow.Delay)); err != nil {
			return storer.Mark(err, storer.ErrUnavailable)
		}
	}
	switch {
	case outage:
		return errors.Wrapf(storer.ErrUnavailable, "%s %s", op, key)
	case limited:
		return errors.Wrapf(storer.ErrRateLimited, "%s %s", op, key)
	}
	return ctx.Err()
}

func (p *Platform) get(ctx context.Context, key string) (storer.Object, error) {
	if err := p.beginCall(ctx, OperationGet, key); err != nil {
		return storer.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	if f, stale := p.consumeFault(FaultStaleRead, OperationGet, key); stale {
		o, ok = p.objectAt(key, p.staleRevision(f))
	}
	if !ok {
		return storer.Object{}, errors.Wrapf(storer.ErrNotFound, "get %s", key)
	}
	p.ledger.BytesRead += uint64(len(o.Value))
	return clone(o), nil
}

func (p *Platform) list(ctx context.Context, prefix string) ([]storer.Object, storer.Point, error) {
	if err := p.beginCall(ctx, OperationList, prefix); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	objects, revision := p.objects, p.revision
	if f, stale := p.consumeFault(FaultStaleRead, OperationList, prefix); stale {
		revision = p.staleRevision(f)
		objects = p.objectsAt(revision)
	}
	var out []storer.Object
	for key, o := range objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, clone(o))
			p.ledger.BytesRead += uint64(len(o.Value))
		}
	}
	slices.SortFunc(out, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, revision, nil
}

func (p *Platform) put(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
	if err := p.beginCall(ctx, OperationPut, key); err != nil {
		return 0, err
	}
	if len(value) > storer.MaxValueBytes {
		return 0, errors.Wrapf(storer.ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	return p.write(OperationPut, key, value, expected)
}

func (p *Platform) remove(ctx context.Context, key string, expected storer.Point) (storer.Point, error) {
	if err := p.beginCall(ctx, OperationDelete, key); err != nil {
		return 0, err
	}
	return p.write(OperationDelete, key, nil, expected)
}

func (p *Platform) write(op Operation, key string, value []byte, expected storer.Point) (storer.Point, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, lost := p.consumeFault(FaultRequestLost, op, key); lost {
		return 0, errors.Wrapf(storer.ErrUncertain, "%s %s", op, key)
	}
	_, answerLost := p.consumeFault(FaultAnswerLost, op, key)
	err := p.apply(op, key, value, expected)
	switch {
	case answerLost:
		return 0, errors.Wrapf(storer.ErrUncertain, "%s %s", op, key)
	case err != nil:
		return 0, err
	}
	return p.revision, nil
}

func (p *Platform) apply(op Operation, key string, value []byte, expected storer.Point) error {
	before, existed := p.objects[key]
	switch {
	case op == OperationDelete && !existed:
		return errors.Wrapf(storer.ErrNotFound, "delete %s", key)
	case before.Version != expected:
		return errors.Wrapf(storer.ErrConflict, "%s %s: stored version %d, expected %d", op, key, before.Version, expected)
	}
	p.revision++
	c := change{at: p.cfg.Clock.Now(), revision: p.revision, key: key, before: before, existed: existed}
	if op == OperationDelete {
		delete(p.objects, key)
		c.deleted = true
		c.after = storer.Object{Key: key, Version: p.revision}
	} else {
		c.after = storer.Object{Key: key, Value: slices.Clone(value), Version: p.revision}
		p.objects[key] = c.after
		p.ledger.BytesWritten += uint64(len(value))
	}
	p.changes = append(p.changes, c)
	p.changeBytes += len(value)
	p.trimHistory()
	p.broadcast()
	return nil
}

// trimHistory drops old changes. It trims to half the limits, so that it rarely copies.
func (p *Platform) trimHistory() {
	if len(p.changes) < 2*p.cfg.History && p.changeBytes < maxChangeBytes {
		return
	}
	drop := 0
	for len(p.changes)-drop > p.cfg.History || p.changeBytes > maxChangeBytes/2 {
		p.changeBytes -= len(p.changes[drop].after.Value)
		drop++
	}
	p.changes = slices.Clone(p.changes[drop:])
}

func (p *Platform) staleRevision(f Fault) storer.Point {
	back := min(max(f.Revisions, 1), uint64(len(p.changes)))
	return p.revision - storer.Point(back)
}

// objectAt returns an object as it was at a revision.
func (p *Platform) objectAt(key string, revision storer.Point) (storer.Object, bool) {
	for _, c := range p.changes {
		if c.revision > revision && c.key == key {
			return c.before, c.existed
		}
	}
	o, ok := p.objects[key]
	return o, ok
}

func (p *Platform) objectsAt(revision storer.Point) map[string]storer.Object {
	objects := make(map[string]storer.Object, len(p.objects))
	for key, o := range p.objects {
		objects[key] = o
	}
	for i := len(p.changes) - 1; i >= 0 && p.changes[i].revision > revision; i-- {
		c := p.changes[i]
		if c.existed {
			objects[c.key] = c.before
		} else {
			delete(objects, c.key)
		}
	}
	return objects
}

func (p *Platform) listVMs(ctx context.Context) ([]cataloger.VM, error) {
	if err := p.beginCall(ctx, OperationListVMs, ""); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleUntil := p.cfg.Clock.Now().Add(-p.cfg.VMLag)
	current := 0
	for i, l := range p.vmLists {
		if !l.at.After(visibleUntil) {
			current = i
		}
	}
	// No list is older than the first SetVMs, so that one is visible immediately.
	p.vmLists = slices.Delete(p.vmLists, 0, current)
	if len(p.vmLists) == 0 {
		return nil, nil
	}
	return slices.Clone(p.vmLists[0].vms), nil
}

func clone(o storer.Object) storer.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
