package limiter

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is the minimum time for which an entry may use a share without a new answer from the owner of the limit.
	TTL = 10 * time.Second
	// floorShare is the fraction of a limit that is divided evenly among all entries regardless of demand.
	floorShare = 0.1
	// headroom is the factor by which a share exceeds the demand to allow for growth.
	headroom = 1.25
	// refreshInterval is how long the division of a limit among more than fewGrants entries is kept.
	refreshInterval = 250 * time.Millisecond
	// scarceShare is the fraction of a limit above the floors that may be requested before shares live only for TTL.
	scarceShare = 0.5
	fewGrants   = 16
)

// Limit is the rate, in requests per second, and the concurrency that the document allows a workspace over all entries;
// 0 means unlimited.
type Limit struct {
	Rate        float64
	Concurrency int
}

// Member is an entry as seen by the owner of a limit.
type Member struct {
	Name string
	// Suspect is true while the member cannot be reached and may use its fallback share.
	Suspect bool
}

// Report is the demand that an entry reports to the owner of a limit.
type Report struct {
	Member string
	Demand Demand
	// Held is the share that the entry may still use.
	Held Share
	// TTL is how long the entry wants to use the share without another report: the maximum of what it is granted, which
	// is at least the constant TTL.
	TTL time.Duration
}

// Allocator divides the limits that this daemon owns. It does no I/O and is not safe for concurrent use.
type Allocator struct {
	divisions map[Key]*division
	life      life
}

// NewAllocator returns an allocator without grants.
func NewAllocator() *Allocator {
	return &Allocator{divisions: map[Key]*division{}, life: life{longest: TTL}}
}

// division is the division of one key's limit among the members.
type division struct {
	// ownedSince is when this daemon became the owner; grants of an earlier owner last for at most the longest life from
	// then on.
	ownedSince time.Time
	grants     map[string]*grant

	refreshedAt       time.Time
	floor             Share
	rate, concurrency poolDivision
}

type grant struct {
	demand  Share // demand in the units of a share
	extra   Share // granted above the floor
	expires time.Time
}

// maxWhileWarming returns the maximum of a grant while grants of an earlier owner may be in use: the share that the member
// held or an even part, whichever is larger.
func (g *grant) maxWhileWarming(even Share) Share {
	return Share{Rate: max(g.extra.Rate, even.Rate), Concurrency: max(g.extra.Concurrency, even.Concurrency)}
}

// Fallback returns the share of a member that cannot reach the owner: an even part of the limit, where the remainder of
// the concurrency is assigned by rank.
func Fallback(key Key, limit Limit, members []string, self string) Share {
	n := max(1, len(members))
	s := Share{Rate: Unlimited, Concurrency: Unlimited}
	if limit.Rate > 0 {
		s.Rate = limit.Rate / float64(n)
	}
	if limit.Concurrency > 0 {
		s.Concurrency = float64(limit.Concurrency / n)
		if rank(key, members, self) < limit.Concurrency%n {
			s.Concurrency++
		}
	}
	return s
}

// rank returns the position of self among the members in an order that differs between keys.
func rank(key Key, members []string, self string) int {
	own := rankHash(key, self)
	rank := 0
	for _, m := range members {
		if p := rankHash(key, m); p < own || p == own && m < self {
			rank++
		}
	}
	return rank
}

func rankHash(key Key, member string) uint64 {
	return xxhash.Sum64String(strings.Join([]string{key.Service, string(key.Workspace), member}, "\x00"))
}

// Floor returns the share that every member may use at any time.
func Floor(limit Limit, members int) Share {
	n := float64(max(1, members))
	s := Share{Rate: Unlimited, Concurrency: Unlimited}
	if limit.Rate > 0 {
		s.Rate = floorShare * limit.Rate / n
	}
	if limit.Concurrency > 0 {
		s.Concurrency = math.Floor(floorShare * float64(limit.Concurrency) / n)
	}
	return s
}

// GrantDuration returns how long the share granted for a report may be used.
func (a *Allocator) GrantDuration(r Report) time.Duration {
	d := a.divisions[r.Demand.Key]
	if d == nil || d.scarce() {
		return TTL
	}
	return min(max(r.TTL, TTL), a.life.longest)
}

// Report records the demand of an entry and returns its share, which it may use for GrantDuration from now.
func (a *Allocator) Report(now time.Time, limit Limit, members []Member, r Report) Share {
	d := a.divisions[r.Demand.Key]
	if d == nil {
		d = &division{ownedSince: now, grants: map[string]*grant{}}
		a.divisions[r.Demand.Key] = d
	}
	g := d.grants[r.Member]
	if g == nil {
		g = &grant{extra: aboveFloor(r.Held, Floor(limit, len(members)))}
		d.grants[r.Member] = g
		d.rate.granted += g.extra.Rate
		d.concurrency.granted += g.extra.Concurrency
	}
	g.expires = now.Add(TTL)
	g.demand = Share{Rate: r.Demand.Rate*headroom + 1, Concurrency: math.Ceil(r.Demand.Wanted*headroom) + 1}
	if len(d.grants) <= fewGrants || now.Sub(d.refreshedAt) >= refreshInterval {
		d.refresh(now, r.Demand.Key, limit, members)
	}
	if r.Demand.Rate == 0 && r.Demand.Wanted == 0 {
		d.release(r.Member)
		return d.floor
	}
	maxExtra := Share{Rate: Unlimited, Concurrency: Unlimited}
	if now.Sub(d.ownedSince) < a.life.bound(now) {
		even := Fallback(r.Demand.Key, limit, namesOf(members), r.Member)
		maxExtra = g.maxWhileWarming(aboveFloor(even, d.floor))
	}
	// Capacity that nobody requests is not added to long-lived shares, so that others can get it immediately.
	spare := a.GrantDuration(r) <= TTL
	g.extra.Rate = d.rate.grantShare(g.demand.Rate-d.floor.Rate, g.extra.Rate, maxExtra.Rate, spare, false)
	g.extra.Concurrency = d.concurrency.grantShare(g.demand.Concurrency-d.floor.Concurrency,
		g.extra.Concurrency, maxExtra.Concurrency, spare, true)
	g.expires = now.Add(a.GrantDuration(r))
	return Share{Rate: d.floor.Rate + g.extra.Rate, Concurrency: d.floor.Concurrency + g.extra.Concurrency}
}

// scarce reports whether so much of a limit is requested that members may have to wait until shares expire.
func (d *division) scarce() bool { return d.rate.scarce() || d.concurrency.scarce() }

func (d *poolDivision) scarce() bool { return d.pool > 0 && d.wanted > scarceShare*d.pool }

// release removes the grant of a member, which keeps only the floor.
func (d *division) release(member string) {
	g := d.grants[member]
	d.rate.granted -= g.extra.Rate
	d.concurrency.granted -= g.extra.Concurrency
	delete(d.grants, member)
}

func aboveFloor(held, floor Share) Share {
	part := func(held, floor float64) float64 {
		if math.IsInf(floor, 1) || math.IsInf(held, 1) {
			return 0
		}
		return max(0, held-floor)
	}
	return Share{Rate: part(held.Rate, floor.Rate), Concurrency: part(held.Concurrency, floor.Concurrency)}
}

// reserveRate returns the rate that suspect members may use as their fallback beyond their grants.
func reserveRate(limit Limit, floor Share, members []Member, d *division) float64 {
	if limit.Rate <= 0 {
		return 0
	}
	sum := 0.0
	for _, m := range members {
		if m.Suspect {
			sum += max(0, limit.Rate/float64(len(members))-floor.Rate-d.granted(m.Name).Rate)
		}
	}
	return sum
}

func reserveConcurrency(key Key, limit Limit, floor Share, members []Member, d *division) float64 {
	if limit.Concurrency <= 0 {
		return 0
	}
	var names []string
	sum := 0.0
	for _, m := range members {
		if !m.Suspect {
			continue
		}
		if names == nil {
			names = namesOf(members)
		}
		fallback := Fallback(key, limit, names, m.Name).Concurrency
		sum += max(0, fallback-floor.Concurrency-d.granted(m.Name).Concurrency)
	}
	return sum
}

// granted returns the share of a member above the floor.
func (d *division) granted(member string) Share {
	if g := d.grants[member]; g != nil {
		return g.extra
	}
	return Share{}
}

func namesOf(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

// refresh removes expired grants and recomputes the level of each limit.
func (d *division) refresh(now time.Time, key Key, limit Limit, members []Member) {
	d.refreshedAt = now
	for name, g := range d.grants {
		if !now.Before(g.expires) {
			delete(d.grants, name)
		}
	}
	d.floor = Floor(limit, len(members))
	n := float64(len(members))
	d.rate = poolDivision{pool: max(0, limit.Rate-d.floor.Rate*n-reserveRate(limit, d.floor, members, d))}
	reserved := reserveConcurrency(key, limit, d.floor, members, d)
	d.concurrency = poolDivision{pool: max(0, float64(limit.Concurrency)-d.floor.Concurrency*n-reserved)}
	rates := make([]float64, 0, len(d.grants))
	wanted := make([]float64, 0, len(d.grants))
	for _, g := range d.grants {
		d.rate.granted += g.extra.Rate
		d.concurrency.granted += g.extra.Concurrency
		rates = append(rates, max(0, g.demand.Rate-d.floor.Rate))
		wanted = append(wanted, max(0, g.demand.Concurrency-d.floor.Concurrency))
	}
	d.rate.computeLevel(rates)
	d.concurrency.computeLevel(wanted)
}

// poolDivision is the division of one of the two limits above the floors.
type poolDivision struct {
	pool float64
	// level is the maximum that a member gets of its demand, spare what each member gets beyond its demand.
	level, spare float64
	granted      float64
	// wanted is the demand of all members.
	wanted float64
}

// computeLevel sets level and spare for a max-min fair division; unrequested capacity is divided evenly.
func (d *poolDivision) computeLevel(wants []float64) {
	slices.Sort(wants)
	for _, want := range wants {
		d.wanted += want
	}
	remaining := d.pool
	for i, want := range wants {
		d.level = remaining / float64(len(wants)-i)
		if want > d.level {
			return
		}
		remaining -= want
	}
	d.level = Unlimited
	d.spare = remaining / float64(len(wants))
}

// grantShare returns the new share of a member that has held, limited to what is not granted to the others.
func (d *poolDivision) grantShare(want, held, maxShare float64, spare, whole bool) float64 {
	if math.IsInf(want, 0) || math.IsNaN(want) {
		return 0
	}
	free := max(0, d.pool-(d.granted-held))
	share := max(0, min(want, d.level))
	if spare {
		share += d.spare
	}
	if whole {
		share, free = math.Ceil(share), math.Floor(free)
	}
	share = min(share, free, maxShare)
	d.granted += share - held
	return share
}

// Retain removes the divisions of keys for which keep returns false.
func (a *Allocator) Retain(keep func(Key) bool) {
	for key := range a.divisions {
		if !keep(key) {
			delete(a.divisions, key)
		}
	}
}
