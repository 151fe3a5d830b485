package limiter

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long an entry may use a share without a new answer from its owner.
	TTL = 10 * time.Second
	// floorShare is the part of a limit that is spread evenly over all entries, asked for or not.
	floorShare = 0.1
	// headroom is the growth of demand that a share allows for.
	headroom = 1.25
	// refreshEvery is how long the division of a limit among more than fewGrants entries is kept.
	refreshEvery = 250 * time.Millisecond
	// scarceShare is the part of a limit above the floors up to which shares live for long.
	scarceShare = 0.5
	fewGrants   = 16
)

// Limit is what the document allows a workspace over all entries; 0 is no limit.
type Limit struct {
	Rate        float64
	Concurrency int
}

// Member is an entry as the owner of a limit sees it.
type Member struct {
	Name string
	// Suspect is true while the member cannot be reached and may be using its fallback share.
	Suspect bool
}

// Report is what an entry asks for.
type Report struct {
	Member string
	Demand Demand
	// Held is the share that the entry may still use.
	Held Share
	// TTL is how long the entry would use the share without another report; it gets that at most, and at least TTL.
	TTL time.Duration
}

// Allocator divides the limits that this daemon owns; it does no I/O and is not safe for concurrent use.
type Allocator struct {
	keys map[Key]*division
	life life
}

// NewAllocator returns an allocator that has given nothing.
func NewAllocator() *Allocator {
	return &Allocator{keys: map[Key]*division{}, life: life{longest: TTL}}
}

// division is how one key's limit is divided.
type division struct {
	// first is when this owner took over; grants of an owner before it last until the longest life after that.
	first  time.Time
	grants map[string]*grant

	refreshed         time.Time
	floor             Share
	rate, concurrency divide
}

type grant struct {
	demand  Share // demand in the units of a share
	extra   Share // given above the floor
	expires time.Time
}

// mostWhileWarming bounds a grant while grants of an earlier owner may be in use: to what the member held, or an even part.
func (g *grant) mostWhileWarming(even Share) Share {
	return Share{Rate: max(g.extra.Rate, even.Rate), Concurrency: max(g.extra.Concurrency, even.Concurrency)}
}

// Fallback is the share of a member that cannot reach the owner: an even part, whole requests given out by rank.
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

// rank is the place of self among the members in an order that differs from key to key.
func rank(key Key, members []string, self string) int {
	own := place(key, self)
	before := 0
	for _, m := range members {
		if p := place(key, m); p < own || p == own && m < self {
			before++
		}
	}
	return before
}

func place(key Key, member string) uint64 {
	return xxhash.Sum64String(strings.Join([]string{key.Service, string(key.Workspace), member}, "\x00"))
}

// Floor is the share that every member may use at any time.
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

// Granted returns how long the share may be used that was the answer to a report.
func (a *Allocator) GrantDuration(r Report) time.Duration {
	d := a.keys[r.Demand.Key]
	if d == nil || d.scarce() {
		return TTL
	}
	return min(max(r.TTL, TTL), a.life.longest)
}

// Report takes the demand of an entry and returns the share that it may use until the time of Granted from now.
func (a *Allocator) Report(now time.Time, limit Limit, members []Member, r Report) Share {
	d := a.keys[r.Demand.Key]
	if d == nil {
		d = &division{first: now, grants: map[string]*grant{}}
		a.keys[r.Demand.Key] = d
	}
	g := d.grants[r.Member]
	if g == nil {
		g = &grant{extra: above(r.Held, Floor(limit, len(members)))}
		d.grants[r.Member] = g
		d.rate.given += g.extra.Rate
		d.concurrency.given += g.extra.Concurrency
	}
	g.expires = now.Add(TTL)
	g.demand = Share{Rate: r.Demand.Rate*headroom + 1, Concurrency: math.Ceil(r.Demand.Wanted*headroom) + 1}
	if len(d.grants) <= fewGrants || now.Sub(d.refreshed) >= refreshEvery {
		d.refresh(now, r.Demand.Key, limit, members)
	}
	if r.Demand.Rate == 0 && r.Demand.Wanted == 0 {
		d.drop(r.Member)
		return d.floor
	}
	most := Share{Rate: Unlimited, Concurrency: Unlimited}
	if now.Sub(d.first) < a.life.bound(now) {
		even := Fallback(r.Demand.Key, limit, namesOf(members), r.Member)
		most = g.mostWhileWarming(above(even, d.floor))
	}
	// What nobody asks for stays free where it would be held for long, so that others get it at once.
	spare := a.GrantDuration(r) <= TTL
	g.extra.Rate = d.rate.give(g.demand.Rate-d.floor.Rate, g.extra.Rate, most.Rate, spare, false)
	g.extra.Concurrency = d.concurrency.give(g.demand.Concurrency-d.floor.Concurrency,
		g.extra.Concurrency, most.Concurrency, spare, true)
	g.expires = now.Add(a.GrantDuration(r))
	return Share{Rate: d.floor.Rate + g.extra.Rate, Concurrency: d.floor.Concurrency + g.extra.Concurrency}
}

// scarce tells whether so much of a limit is asked for that others may wait for the end of shares.
func (d *division) scarce() bool { return d.rate.scarce() || d.concurrency.scarce() }

func (d *divide) scarce() bool { return d.pool > 0 && d.wanted > scarceShare*d.pool }

// drop gives back all that a member holds above the floor.
func (d *division) drop(member string) {
	g := d.grants[member]
	d.rate.given -= g.extra.Rate
	d.concurrency.given -= g.extra.Concurrency
	delete(d.grants, member)
}

func above(held, floor Share) Share {
	part := func(held, floor float64) float64 {
		if math.IsInf(floor, 1) || math.IsInf(held, 1) {
			return 0
		}
		return max(0, held-floor)
	}
	return Share{Rate: part(held.Rate, floor.Rate), Concurrency: part(held.Concurrency, floor.Concurrency)}
}

// reserveRate is what suspect members may use as their fallback beyond what they were given.
func reserveRate(limit Limit, floor Share, members []Member, d *division) float64 {
	if limit.Rate <= 0 {
		return 0
	}
	sum := 0.0
	for _, m := range members {
		if m.Suspect {
			sum += max(0, limit.Rate/float64(len(members))-floor.Rate-d.given(m.Name).Rate)
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
		sum += max(0, fallback-floor.Concurrency-d.given(m.Name).Concurrency)
	}
	return sum
}

// given is what a member holds above the floor.
func (d *division) given(member string) Share {
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

// refresh drops grants that ran out and works out the level of each limit.
func (d *division) refresh(now time.Time, key Key, limit Limit, members []Member) {
	d.refreshed = now
	for name, g := range d.grants {
		if !now.Before(g.expires) {
			delete(d.grants, name)
		}
	}
	d.floor = Floor(limit, len(members))
	n := float64(len(members))
	d.rate = divide{pool: max(0, limit.Rate-d.floor.Rate*n-reserveRate(limit, d.floor, members, d))}
	reserved := reserveConcurrency(key, limit, d.floor, members, d)
	d.concurrency = divide{pool: max(0, float64(limit.Concurrency)-d.floor.Concurrency*n-reserved)}
	rates := make([]float64, 0, len(d.grants))
	wanted := make([]float64, 0, len(d.grants))
	for _, g := range d.grants {
		d.rate.given += g.extra.Rate
		d.concurrency.given += g.extra.Concurrency
		rates = append(rates, max(0, g.demand.Rate-d.floor.Rate))
		wanted = append(wanted, max(0, g.demand.Concurrency-d.floor.Concurrency))
	}
	d.rate.fill(rates)
	d.concurrency.fill(wanted)
}

// divide is how one of the two limits is divided above the floors.
type divide struct {
	pool float64
	// level is the most that a member gets of what it asks for, spare what each gets beyond that.
	level, spare float64
	given        float64
	// wanted is what all members ask for.
	wanted float64
}

// fill sets level and spare for a max-min fair division; what nobody asks for is spread evenly.
func (d *divide) fill(wants []float64) {
	slices.Sort(wants)
	for _, want := range wants {
		d.wanted += want
	}
	left := d.pool
	for i, want := range wants {
		d.level = left / float64(len(wants)-i)
		if want > d.level {
			return
		}
		left -= want
	}
	d.level = Unlimited
	d.spare = left / float64(len(wants))
}

// give returns what a member that holds held gets, no more than the others have not been given.
func (d *divide) give(want, held, most float64, spare, whole bool) float64 {
	if math.IsInf(want, 0) || math.IsNaN(want) {
		return 0
	}
	free := max(0, d.pool-(d.given-held))
	share := max(0, min(want, d.level))
	if spare {
		share += d.spare
	}
	if whole {
		share, free = math.Ceil(share), math.Floor(free)
	}
	share = min(share, free, most)
	d.given += share - held
	return share
}

// Keep drops the divisions of keys for which keep returns false.
func (a *Allocator) Retain(keep func(Key) bool) {
	for key := range a.keys {
		if !keep(key) {
			delete(a.keys, key)
		}
	}
}
