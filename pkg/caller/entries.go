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

type answer struct {
	entries []*v1.Entry
	expires time.Time
}

// entries remembers resolved addresses and which of them failed lately.
type entries struct {
	mu      sync.Mutex
	answers map[entryKey]answer
	failed  map[string]time.Time
}

func newEntries() *entries {
	return &entries{answers: map[entryKey]answer{}, failed: map[string]time.Time{}}
}

func (e *entries) get(key entryKey, now time.Time) (fresh bool, list []*v1.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.answers[key]
	return ok && now.Before(a.expires), a.entries
}

func (e *entries) put(key entryKey, list []*v1.Entry, expires time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers[key] = answer{entries: list, expires: expires}
}

// expire makes the next use of the key resolve again.
func (e *entries) expire(key entryKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.answers[key]
	if ok {
		a.expires = time.Time{}
		e.answers[key] = a
	}
}

func (e *entries) fail(address string, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[address] = until
}

func (e *entries) succeed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.failed, address)
}

// order moves the addresses that failed lately to the end and keeps the order otherwise.
func (e *entries) order(addresses []string, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(addresses)
	slices.SortStableFunc(out, func(a, b string) int {
		return boolInt(now.Before(e.failed[a])) - boolInt(now.Before(e.failed[b]))
	})
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
