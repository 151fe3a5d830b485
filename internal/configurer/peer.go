package configurer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// peer is a daemon with the hash of its name.
type peer struct {
	name       string
	dataCentre cataloger.DataCentre
	address    string
	state      cataloger.State
	hash       uint64
}

func newPeer(m cataloger.Member) peer {
	return peer{
		name:       m.Name,
		dataCentre: m.DataCentre,
		address:    m.PeerAddress,
		state:      m.State,
		hash:       xxhash.Sum64String(m.Name),
	}
}

// newPeers returns the daemons that are not dead, without self, in the order of their hashes.
func newPeers(members []cataloger.Member, self string) []peer {
	out := make([]peer, 0, len(members))
	for _, m := range members {
		if m.Name != self && m.State != cataloger.StateDead {
			out = append(out, newPeer(m))
		}
	}
	slices.SortFunc(out, func(a, b peer) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) })
	return out
}

// watchersPerDataCentre is how many daemons of a data centre watch the store.
const watchersPerDataCentre = 2

// Watchers returns the members that watch the store for a data centre, selected from its live ones by rendezvous hashing.
func Watchers(members []cataloger.Member, dc cataloger.DataCentre) []cataloger.Member {
	type scored struct {
		cataloger.Member
		score uint64
	}
	var candidates []scored
	for _, m := range members {
		if m.DataCentre == dc && m.State == cataloger.StateLive {
			candidates = append(candidates, scored{m, xxhash.Sum64String("config-watcher\x00" + m.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var out []cataloger.Member
	for i := range min(watchersPerDataCentre, len(candidates)) {
		out = append(out, candidates[i].Member)
	}
	return out
}

// span is an inclusive range of member hashes; it is empty where low is over high.
type span struct {
	low  uint64
	high uint64
}

var (
	fullSpan  = span{0, ^uint64(0)}
	emptySpan = span{1, 0}
)

// recipient is a peer that receives an item and the span of hashes that it forwards the item to.
type recipient struct {
	to      peer
	forward span
}

// fanout is how many daemons each daemon forwards an item to.
const fanout = 3

// splitSpan divides the members of a data centre whose hashes lie in the span among at most fanout recipients.
func splitSpan(peers []peer, dc cataloger.DataCentre, s span) []recipient {
	var inside []peer
	for _, p := range peers {
		if p.dataCentre == dc && p.hash >= s.low && p.hash <= s.high {
			inside = append(inside, p)
		}
	}
	parts := min(fanout, len(inside))
	out := make([]recipient, 0, parts)
	for i := range parts {
		first := i * len(inside) / parts
		forward := span{inside[first].hash + 1, s.high}
		if i < parts-1 {
			forward.high = inside[(i+1)*len(inside)/parts].hash - 1
		}
		if forward.low == 0 {
			forward = emptySpan
		}
		out = append(out, recipient{to: inside[first], forward: forward})
	}
	return out
}

// subtract returns the parts of the span that are not in the other one.
func (s span) subtract(other span) []span {
	if s.low > s.high {
		return nil
	}
	if other.low > other.high || other.high < s.low || other.low > s.high {
		return []span{s}
	}
	var out []span
	if other.low > s.low {
		out = append(out, span{s.low, other.low - 1})
	}
	if other.high < s.high {
		out = append(out, span{other.high + 1, s.high})
	}
	return out
}

// coverage holds the spans that a daemon was asked to forward one version to.
type coverage struct {
	version uint64
	spans   []span
}

// maxCoverageSpans bounds the memory of a coverage; further spans may be forwarded to twice.
const maxCoverageSpans = 8

// add returns the coverage after a push, and the parts of the push's span that were not covered before.
func (c coverage) add(version uint64, s span) (coverage, []span) {
	if version != c.version {
		c = coverage{version: version}
	}
	uncovered := []span{s}
	for _, covered := range c.spans {
		var remaining []span
		for _, u := range uncovered {
			remaining = append(remaining, u.subtract(covered)...)
		}
		uncovered = remaining
	}
	if len(uncovered) > 0 && s.low <= s.high && len(c.spans) < maxCoverageSpans {
		c.spans = append(slices.Clone(c.spans), s)
	}
	return c, uncovered
}
