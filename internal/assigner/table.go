package assigner

import (
	"sync"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Table caches the owners of the shards of one duty.
type Table struct {
	Shards uint32
	// Lookup returns the live member that owns a shard, and whether there is one.
	Lookup func(shard uint32) (cataloger.Member, bool)
	// View returns a number that changes with the live members; nil disables the cache.
	View func() uint64

	mu     sync.Mutex
	view   uint64
	filled bool
	owners []Owner
}

// Owner is the member that owns a shard; Found is false if there is none.
type Owner struct {
	Member cataloger.Member
	Found  bool
}

// Is reports whether the owner is this incarnation of this member.
func (o Owner) Is(m cataloger.Member) bool {
	return o.Found && o.Member.Name == m.Name && o.Member.Incarnation == m.Incarnation
}

// Get returns the owner of a shard.
func (t *Table) Get(shard uint32) Owner {
	if t.View == nil {
		return t.lookup(shard)
	}
	return t.All()[shard]
}

// All returns the owner of every shard; callers must not change it.
func (t *Table) All() []Owner {
	var view uint64
	if t.View != nil {
		view = t.View()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.filled && t.View != nil && view == t.view {
		return t.owners
	}
	owners := make([]Owner, t.Shards)
	for i := range owners {
		owners[i] = t.lookup(uint32(i))
	}
	t.owners, t.view, t.filled = owners, view, true
	return owners
}

func (t *Table) lookup(shard uint32) Owner {
	m, ok := t.Lookup(shard)
	return Owner{Member: m, Found: ok}
}
