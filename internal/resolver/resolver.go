package resolver

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// DefaultTimeToLive is how long callers keep an answer.
	DefaultTimeToLive = 10 * time.Second
	// DefaultEntries is the maximum number of entries in an answer.
	DefaultEntries = 4
	// DefaultLoadBound is the load, relative to the mean of its tier, above which an entry is ranked behind the others.
	DefaultLoadBound = 1.25
	// loadFloor is the load up to which an entry keeps its rank, whatever the load of the others.
	loadFloor = 0.5
)

// Query identifies the caller and the service it wants.
type Query struct {
	// DataCentre is the data centre of the caller; empty if unknown.
	DataCentre cataloger.DataCentre
	Workspace  cataloger.Workspace
	Service    string
	// Caller distinguishes callers of one workspace, for example by the host of the remote address; may be empty.
	Caller string
}

// Entry is an address that callers can use.
type Entry struct {
	Address     string
	DataCentre  cataloger.DataCentre
	Name        string
	Incarnation uint64
}

// Resolver holds the rules for answers; its zero value uses the defaults.
type Resolver struct {
	// DataCentre is the data centre of this daemon, used for callers whose own is unknown.
	DataCentre cataloger.DataCentre
	TimeToLive time.Duration
	Entries    int
	LoadBound  float64
}

// tier is the closeness of a member to the caller.
type tier int

const (
	tierDataCentre tier = iota
	tierRegion
	tierElsewhere
	tierCount
)

// Resolve returns the entries for a caller, best first, and how long the answer may be kept.
// Only live entries are returned; if there are any in more than one data centre, the answer spans at least two.
func (r Resolver) Resolve(fleet cataloger.Fleet, q Query) ([]Entry, time.Duration) {
	groups := r.groupByTier(fleet.Members, q)
	key := string(q.Workspace) + "\x00" + q.Service + "\x00" + q.Caller
	limit := r.entries()
	var ordered []*cataloger.Member
	for _, g := range groups {
		if len(ordered) >= limit && inSeveralDataCentres(ordered) {
			break
		}
		ordered = append(ordered, r.rank(g, key)...)
	}
	chosen := spanDataCentres(ordered, limit)
	out := make([]Entry, 0, len(chosen))
	for _, m := range chosen {
		out = append(out, Entry{Address: m.Address, DataCentre: m.DataCentre, Name: m.Name, Incarnation: m.Incarnation})
	}
	return out, r.timeToLive()
}

func (r Resolver) timeToLive() time.Duration {
	if r.TimeToLive <= 0 {
		return DefaultTimeToLive
	}
	return r.TimeToLive
}

func (r Resolver) entries() int {
	if r.Entries <= 0 {
		return DefaultEntries
	}
	return r.Entries
}

func (r Resolver) loadBound() float64 {
	if r.LoadBound <= 0 {
		return DefaultLoadBound
	}
	return r.LoadBound
}

// groupByTier groups the live members by their closeness to the caller.
func (r Resolver) groupByTier(members []cataloger.Member, q Query) [tierCount][]*cataloger.Member {
	dc := q.DataCentre
	region, found := regionOf(members, dc)
	if !found {
		dc = r.DataCentre
		region, _ = regionOf(members, dc)
	}
	var groups [tierCount][]*cataloger.Member
	for i := range members {
		m := &members[i]
		if m.State != cataloger.StateLive || m.Address == "" {
			continue
		}
		t := tierElsewhere
		switch {
		case m.DataCentre == dc:
			t = tierDataCentre
		case region != "" && m.Region == region:
			t = tierRegion
		}
		groups[t] = append(groups[t], m)
	}
	return groups
}

// regionOf looks up the region of a data centre among all members, including those that can't be used now.
func regionOf(members []cataloger.Member, dc cataloger.DataCentre) (string, bool) {
	if dc == "" {
		return "", false
	}
	for _, m := range members {
		if m.DataCentre == dc {
			return m.Region, true
		}
	}
	return "", false
}

// rank orders members by rendezvous hashing; those over the load bound go behind the others.
func (r Resolver) rank(members []*cataloger.Member, key string) []*cataloger.Member {
	candidates := make([]tracker.Candidate, len(members))
	total := 0.0
	for i, m := range members {
		candidates[i] = tracker.Candidate{Name: m.Name}
		total += m.Load
	}
	bound := r.loadBound() * total / float64(max(len(members), 1))
	var within, over []*cataloger.Member
	for _, i := range tracker.Rank(candidates, key, len(candidates)) {
		if members[i].Load > max(bound, loadFloor) {
			over = append(over, members[i])
			continue
		}
		within = append(within, members[i])
	}
	return append(within, over...)
}

// spanDataCentres returns the first members up to limit; if all are in one data centre, it replaces the last by one of another.
func spanDataCentres(ordered []*cataloger.Member, limit int) []*cataloger.Member {
	if len(ordered) <= limit {
		return ordered
	}
	chosen := ordered[:limit:limit]
	if inSeveralDataCentres(chosen) {
		return chosen
	}
	for _, m := range ordered[limit:] {
		if m.DataCentre != chosen[0].DataCentre {
			// The first choice stays even if the limit is one.
			return append(chosen[:max(limit-1, 1)], m)
		}
	}
	return chosen
}

// inSeveralDataCentres reports whether members are in more than one data centre.
func inSeveralDataCentres(members []*cataloger.Member) bool {
	for _, m := range members {
		if m.DataCentre != members[0].DataCentre {
			return true
		}
	}
	return false
}
