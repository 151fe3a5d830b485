package configurer

import (
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

// applyList installs the items of a list of the store that was requested at the time sent.
func (m *machine) applyList(now, sent time.Time, items []Item, revision storer.Point) []effect {
	m.listing = false
	m.listAt = now.Add(m.jitter(m.listInterval))
	m.boot.listed = true
	m.boot.listedAt = now
	if m.cursor == 0 {
		m.cursor = revision
	}
	m.markComplete(sent)
	var out []effect
	for _, i := range items {
		out = append(out, m.install(i, fullSpan)...)
	}
	return append(out, m.checkBoot(now)...)
}

func (m *machine) listFailed(now time.Time) []effect {
	m.listing = false
	m.listAt = now.Add(m.jitter(minListInterval))
	m.boot.listFailed = true
	if !m.boot.ready {
		m.listAt = now.Add(m.jitter(minWatchRetry))
	}
	return m.checkBoot(now)
}

// applyWatchEvent handles an event of the watch; item is nil on a bookmark.
func (m *machine) applyWatchEvent(now time.Time, item *Item, revision storer.Point) []effect {
	m.lastEventAt = now
	m.cursor = max(m.cursor, revision)
	m.watchBackoff = minWatchRetry
	if item != nil {
		return m.install(*item, fullSpan)
	}
	m.boot.caughtUp = true
	m.markComplete(now)
	return m.checkBoot(now)
}

// watchEnded schedules the next watch; after a compaction the store is listed first.
func (m *machine) watchEnded(now time.Time, err error) []effect {
	m.watching = false
	m.watchAt = now.Add(m.jitter(m.watchBackoff))
	m.watchBackoff = min(2*m.watchBackoff, maxWatchRetry)
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
