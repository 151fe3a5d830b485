package configurer

import (
	"slices"
	"strings"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/documenter"
)

// entry holds the versions of one service on a daemon.
type entry struct {
	newest Item
	// previous is the version before newest, which splices are made from.
	previous Item
	// document is the newest document that could be parsed, of version inForce; nil after a delete.
	document *documenter.Document
	inForce  uint64
}

// set holds the newest version of each service; a version is never replaced by an older one.
type set struct {
	entries map[string]entry
	digest  uint64
}

func newSet() *set { return &set{entries: map[string]entry{}} }

// install adds an item and returns whether it is newer than the one held; on an error its document cannot be parsed
// and the earlier one stays in force.
func (s *set) install(i Item) (bool, error) {
	old, ok := s.entries[i.Name]
	if i.Name == "" || i.Version == 0 || ok && i.Version <= old.newest.Version {
		return false, nil
	}
	e := entry{newest: i, previous: old.newest, document: old.document, inForce: old.inForce}
	var err error
	if i.Deleted {
		e.document, e.inForce = nil, i.Version
	} else {
		var doc *documenter.Document
		if doc, err = i.Document(); err == nil {
			e.document, e.inForce = doc.WithDefaults(), i.Version
		}
	}
	if ok {
		s.digest ^= old.newest.digest()
	}
	s.digest ^= i.digest()
	s.entries[i.Name] = e
	return true, err
}

func (s *set) version(name string) uint64 { return s.entries[name].newest.Version }

func (s *set) versions() []*peerv1.ConfigVersion {
	out := make([]*peerv1.ConfigVersion, 0, len(s.entries))
	for name, e := range s.entries {
		out = append(out, &peerv1.ConfigVersion{Name: name, Version: e.newest.Version})
	}
	slices.SortFunc(out, func(a, b *peerv1.ConfigVersion) int { return strings.Compare(a.Name, b.Name) })
	return out
}
