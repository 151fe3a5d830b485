package configurer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// peer is another daemon as the machine sees it.
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

// newPeers returns the daemons that may be called, without self, in the order of their hashes.
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

// watchersPerDataCentre is how many daemons of a data centre hold a watch.
const watchersPerDataCentre = 2

// Watchers returns the daemons among members that hold the store's watch for a data centre, by rendezvous hashing over the live ones.
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
	everyone = span{0, ^uint64(0)}
	nobody   = span{1, 0}
)

// handout is one receiver of an item and the range that it passes the item on to.
type handout struct {
	to   peer
	rest span
}

// fanout is how many daemons each daemon passes an item on to.
const fanout = 3

// split divides the members of a data centre whose hashes lie in the span among at most fanout receivers.
func split(peers []peer, dc cataloger.DataCentre, s span) []handout {
	var inside []peer
	for _, p := range peers {
		if p.dataCentre == dc && p.hash >= s.low && p.hash <= s.high {
			inside = append(inside, p)
		}
	}
	parts := min(fanout, len(inside))
	out := make([]handout, 0, parts)
	for i := range parts {
		first := i * len(inside) / parts
		rest := span{inside[first].hash + 1, s.high}
		if i < parts-1 {
			rest.high = inside[(i+1)*len(inside)/parts].hash - 1
		}
		if rest.low == 0 {
			rest = nobody
		}
		out = append(out, handout{to: inside[first], rest: rest})
	}
	return out
}

// minus returns the parts of the span that the other one leaves.
func (s span) minus(other span) []span {
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

// coverage is what a daemon has been asked to pass on of one version.
type coverage struct {
	version uint64
	spans   []span
}

// maxCoverageSpans bounds the memory of a coverage; what is over it may be passed on twice.
const maxCoverageSpans = 8

// with returns the coverage after a push, and the parts of its span that are new.
func (c coverage) with(version uint64, s span) (coverage, []span) {
	if version != c.version {
		c = coverage{version: version}
	}
	fresh := []span{s}
	for _, covered := range c.spans {
		var left []span
		for _, f := range fresh {
			left = append(left, f.minus(covered)...)
		}
		fresh = left
	}
	if len(fresh) > 0 && s.low <= s.high && len(c.spans) < maxCoverageSpans {
		c.spans = append(slices.Clone(c.spans), s)
	}
	return c, fresh
}
