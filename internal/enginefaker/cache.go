package enginefaker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const maxEvents = 10_000

type cacheEvent struct {
	sequence  uint64
	prefix    uint64
	removed   bool
	visibleAt time.Time
}

// prefixCache holds prompt prefixes, evicts the oldest first and publishes an event for each insertion and eviction.
type prefixCache struct {
	cfg            Config
	mu             sync.Mutex
	held           map[uint64]bool
	insertionOrder []uint64
	events         []cacheEvent
	sequence       uint64
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, held: make(map[uint64]bool)}
}

// lookup returns how many tokens of the prompt are cached.
func (c *prefixCache) lookup(req *v1.GenerateRequest) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := 0
	for _, p := range engineer.Prefixes(req.Model, req.Version, req.Adapter, req.Prompt) {
		if !c.held[p] {
			break
		}
		blocks++
	}
	return blocks * engineer.PrefixBlockBytes / engineer.PromptBytesPerToken
}

func (c *prefixCache) insert(req *v1.GenerateRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range engineer.Prefixes(req.Model, req.Version, req.Adapter, req.Prompt) {
		if c.held[p] {
			continue
		}
		c.held[p] = true
		c.insertionOrder = append(c.insertionOrder, p)
		c.publish(p, false)
	}
	for len(c.insertionOrder) > c.cfg.CacheBlocks {
		old := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		delete(c.held, old)
		c.publish(old, true)
	}
}

func (c *prefixCache) publish(prefix uint64, removed bool) {
	c.sequence++
	if c.cfg.EventGap > 0 && c.sequence%uint64(c.cfg.EventGap) == 0 {
		return
	}
	visible := c.cfg.Clock.Now().Add(c.cfg.EventLag)
	c.events = append(c.events, cacheEvent{c.sequence, prefix, removed, visible})
	if len(c.events) > maxEvents {
		c.events = append([]cacheEvent(nil), c.events[maxEvents/2:]...)
	}
}

// visibleFrom returns the visible events from a sequence number on.
func (c *prefixCache) visibleFrom(from uint64) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	var out []cacheEvent
	first, _ := slices.BinarySearchFunc(c.events, from, func(ev cacheEvent, from uint64) int { return cmp.Compare(ev.sequence, from) })
	for _, ev := range c.events[first:] {
		if ev.visibleAt.After(now) {
			break
		}
		out = append(out, ev)
	}
	return out
}

// stream sends events until ctx is done.
func (c *prefixCache) stream(ctx context.Context, from uint64, send func(*v1.CacheEventsResponse) error) error {
	for {
		for _, ev := range c.visibleFrom(from) {
			if err := send(&v1.CacheEventsResponse{Sequence: ev.sequence, Prefix: ev.prefix, Removed: ev.removed}); err != nil {
				return err
			}
			from = ev.sequence + 1
		}
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.EventLag); err != nil {
			return nil
		}
	}
}
