package limiter

import (
	"cmp"
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
}

// Allocator divides the limits that this daemon owns; it does no I/O and is not safe for concurrent use.
type Allocator struct {
	keys map[Key]*division
}

// NewAllocator returns an allocator that has given nothing.
func NewAllocator() *Allocator { return &Allocator{keys: map[Key]*division{}} }

// division is how one key's limit is divided.
type division struct {
	// first is when this owner took over; grants of an owner before it last until TTL after that.
	first  time.Time
	grants map[string]*grant
}

type grant struct {
	demand  Share // demand in the units of a share
	extra   Share // given above the floor
	expires time.Time
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

// Report takes the demand of an entry and returns the share that it may use until TTL from now.
func (a *Allocator) Report(now time.Time, limit Limit, members []Member, r Report) Share {
	d := a.keys[r.Demand.Key]
	if d == nil {
		d = &division{first: now, grants: map[string]*grant{}}
		a.keys[r.Demand.Key] = d
	}
	d.expire(now)
	floor := Floor(limit, len(members))
	g := d.grants[r.Member]
	if g == nil {
		g = &grant{extra: above(r.Held, floor)}
		d.grants[r.Member] = g
	}
	g.expires = now.Add(TTL)
	g.demand = Share{Rate: r.Demand.Rate*headroom + 1, Concurrency: math.Ceil(r.Demand.Wanted*headroom) + 1}
	n := float64(len(members))
	most := Share{Rate: Unlimited, Concurrency: Unlimited}
	if now.Sub(d.first) < TTL {
		even := Fallback(r.Demand.Key, limit, namesOf(members), r.Member)
		most = g.mostWhileWarming(above(even, floor))
	}
	rates := divide{
		pool:  max(0, limit.Rate-floor.Rate*n-reserveRate(limit, floor, members, d)),
		floor: floor.Rate, part: rateOf, most: most.Rate,
	}
	concurrency := divide{
		pool:  max(0, float64(limit.Concurrency)-floor.Concurrency*n-reserveConcurrency(r.Demand.Key, limit, floor, members, d)),
		floor: floor.Concurrency, part: concurrencyOf, most: most.Concurrency, whole: true,
	}
	extra := Share{Rate: d.share(r.Member, rates), Concurrency: d.share(r.Member, concurrency)}
	g.extra = extra
	return Share{Rate: floor.Rate + extra.Rate, Concurrency: floor.Concurrency + extra.Concurrency}
}

// mostWhileWarming bounds a grant while grants of an earlier owner may be in use: to what the member held, or an even part.
func (g *grant) mostWhileWarming(even Share) Share {
	return Share{Rate: max(g.extra.Rate, even.Rate), Concurrency: max(g.extra.Concurrency, even.Concurrency)}
}

// divide says how one of the two limits is divided.
type divide struct {
	// pool is what can be given above the floors, most what one member may get of it.
	pool, floor, most float64
	part              func(*Share) *float64
	// whole is true where only whole numbers can be given.
	whole bool
}

func rateOf(s *Share) *float64 { return &s.Rate }

func concurrencyOf(s *Share) *float64 { return &s.Concurrency }

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

func (d *division) expire(now time.Time) {
	for name, g := range d.grants {
		if !now.Before(g.expires) {
			delete(d.grants, name)
		}
	}
}

// share gives the member its part of the pool, and no more than the others have not been given.
func (d *division) share(member string, by divide) float64 {
	if math.IsInf(by.floor, 1) {
		return 0
	}
	want := d.fill(member, by)
	given := 0.0
	for name, g := range d.grants {
		if name != member {
			given += *by.part(&g.extra)
		}
	}
	free := max(0, by.pool-given)
	if by.whole {
		free = math.Floor(free)
	}
	return min(want, free, by.most)
}

// claim is what a member wants above the floor.
type claim struct {
	name string
	want float64
}

func (c claim) compare(d claim) int {
	return cmp.Or(cmp.Compare(c.want, d.want), strings.Compare(c.name, d.name))
}

// fill returns the member's part of the pool in a max-min fair division; what nobody asks for is spread evenly.
func (d *division) fill(member string, by divide) float64 {
	claims := make([]claim, 0, len(d.grants))
	for name, g := range d.grants {
		claims = append(claims, claim{name, max(0, *by.part(&g.demand)-by.floor)})
	}
	slices.SortFunc(claims, claim.compare)
	left := by.pool
	got := make([]float64, len(claims))
	for i, c := range claims {
		got[i] = min(c.want, left/float64(len(claims)-i))
		if by.whole {
			got[i] = math.Floor(got[i])
		}
		left -= got[i]
	}
	each := left / float64(len(claims))
	if by.whole {
		each = math.Floor(each)
		left -= each * float64(len(claims))
	}
	for i := len(claims) - 1; i >= 0; i-- {
		more := each
		if by.whole && left >= 1 {
			more++
			left--
		}
		if claims[i].name == member {
			return got[i] + more
		}
	}
	return 0
}

// Keep drops the divisions of keys for which keep returns false.
func (a *Allocator) Keep(keep func(Key) bool) {
	for key := range a.keys {
		if !keep(key) {
			delete(a.keys, key)
		}
	}
}
