package caller

import (
	"slices"
	"sync"
	"time"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

type entryKey struct {
	workspace string
	service   string
}

type resolution struct {
	entries []*v1.Entry
	expires time.Time
}

// entryCache caches resolved entries and records which addresses failed recently.
type entryCache struct {
	mu          sync.Mutex
	resolutions map[entryKey]resolution
	failed      map[string]time.Time
}

func newEntryCache() *entryCache {
	return &entryCache{resolutions: map[entryKey]resolution{}, failed: map[string]time.Time{}}
}

func (e *entryCache) get(key entryKey, now time.Time) (fresh bool, list []*v1.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.resolutions[key]
	return ok && now.Before(a.expires), a.entries
}

func (e *entryCache) put(key entryKey, list []*v1.Entry, expires time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resolutions[key] = resolution{entries: list, expires: expires}
}

// expire forces the next lookup of the key to resolve again; the old entries remain as a fallback.
func (e *entryCache) expire(key entryKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.resolutions[key]
	if ok {
		a.expires = time.Time{}
		e.resolutions[key] = a
	}
}

func (e *entryCache) markFailed(address string, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[address] = until
}

func (e *entryCache) clearFailure(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.failed, address)
}

// healthyFirst moves the addresses that failed recently to the end and otherwise keeps the order.
func (e *entryCache) healthyFirst(addresses []string, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(addresses)
	slices.SortStableFunc(out, func(a, b string) int {
		return boolToInt(now.Before(e.failed[a])) - boolToInt(now.Before(e.failed[b]))
	})
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
