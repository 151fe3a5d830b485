package configurer

import (
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

// listed takes in a list of the store that was asked for at sent.
func (m *machine) listed(now, sent time.Time, items []Item, revision storer.Point) []effect {
	m.listing = false
	m.listAt = now.Add(m.jitter(m.listInterval))
	m.boot.listed = true
	m.boot.listedAt = now
	if m.cursor == 0 {
		m.cursor = revision
	}
	m.complete(sent)
	var out []effect
	for _, i := range items {
		out = append(out, m.install(i, everyone)...)
	}
	return append(out, m.checkBoot(now)...)
}

func (m *machine) listFailed(now time.Time) []effect {
	m.listing = false
	m.listAt = now.Add(m.jitter(minListInterval))
	m.boot.listFailed = true
	if !m.boot.ready {
		m.listAt = now.Add(m.jitter(watchRetry))
	}
	return m.checkBoot(now)
}

// watched takes in an event of the watch; item is nil on a bookmark.
func (m *machine) watched(now time.Time, item *Item, revision storer.Point) []effect {
	m.heardAt = now
	m.cursor = max(m.cursor, revision)
	m.watchRetry = watchRetry
	if item != nil {
		return m.install(*item, everyone)
	}
	m.boot.caughtUp = true
	m.complete(now)
	return m.checkBoot(now)
}

// watchEnded plans the next watch; after a compaction it follows a list.
func (m *machine) watchEnded(now time.Time, err error) []effect {
	m.watching = false
	m.watchAt = now.Add(m.jitter(m.watchRetry))
	m.watchRetry = min(2*m.watchRetry, maxWatchRetry)
	if isCompacted(err) {
		m.cursor = 0
		m.boot.listed = false
		m.listAt = now
		if !m.listing {
			m.listing = true
			return []effect{effectList{}}
		}
	}
	return nil
}

func isCompacted(err error) bool { return err != nil && storer.ErrorName(err) == "compacted" }
