package assessor

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// SuspicionTime is how long a target that went silent is left alone: by then the platform's list has dropped it, or it
	// reports there again.
	SuspicionTime = 4 * time.Second
	// RefusalTime is how long a target is passed over that refused a request for want of room or as it gives its layers up;
	// it doubles with each refusal in a row, up to maxRefusalTime.
	RefusalBackoff = 300 * time.Millisecond
	maxRefusalTime = 2 * time.Second
	// misplacedTime is how long a target is passed over that does not hold what is listed, unless it is listed anew: what it
	// lists follows within a heartbeat of its own while the store answers.
	misplacedTime = 5 * time.Second
	// faultTime is the time over which faults of a target are forgotten, so that it is tried again.
	faultTime = 5 * time.Second
	// faultGain and soundGain are how far one request moves the share of faults.
	faultGain = 0.2
	soundGain = 0.1
	// paceTime is how long a pace counts that a target reported, and freshPace how long it is news for other daemons.
	paceTime  = 4 * time.Second
	freshPace = time.Second
	// doubtTime is within which a second failure to answer makes a target count as lost.
	doubtTime = 2 * time.Second
	// removedTime is how long a target that is listed no more is remembered.
	removedTime = 15 * time.Second
	// sumTime is how long the sum of the peers' loads stands while none of them changes.
	sumTime = 250 * time.Millisecond
	// peerLoadAge is how long the load that another daemon reported counts.
	peerLoadAge = 2 * time.Second
)

// belief is what is known of one incarnation of a target.
type belief struct {
	target cataloger.Target
	// loadKey is that of the target's name.
	loadKey uint32
	// tokenLayers are reserved by requests in progress on this daemon.
	tokenLayers float64
	requests    int
	lostAt      time.Time
	// refusedUntil is when the target may be asked again after refusals, of which there were so many in a row.
	refusedUntil time.Time
	refusals     int
	// pausedUntil is until when the target wants nothing from this daemon, as it said itself.
	pausedUntil time.Time
	// faults is the share of requests that the target received first and failed, at faultsAt.
	faults   float64
	faultsAt time.Time
	// doubtedAt is when the target last did not answer, and clearedAt when it was last proven to.
	doubtedAt time.Time
	clearedAt time.Time
	// pace is how slow the target said it was at pacedAt; 1 is its usual pace.
	pace    float64
	pacedAt time.Time
	// removedAt is when the target was listed no more.
	removedAt time.Time
	// leavingAt is when the target was first seen to leave, and gaveUpAt when it last gave layers up.
	leavingAt time.Time
	gaveUpAt  time.Time
	// replaced is true once a target that started later has the address: whoever answers there is not this one.
	replaced bool
}

// View is a target with what is believed of it, at one moment.
type View struct {
	cataloger.Target
	// TokenLayers and Requests are in progress on the whole fleet, as far as it is known.
	TokenLayers float64
	Requests    int
	// Lost targets do not answer; Refused ones want no more for the moment.
	Unreachable bool
	Refusing    bool
	// Paused is for how much longer the target wants nothing from this daemon; such a target is also Refused.
	Paused time.Duration
	Pace   float64
	// Faults is the share of the requests that the target received first and failed lately.
	Faults float64
	// Left is how long ago the target began to leave; 0 where it does not.
	SinceLeaving time.Duration
	// GaveUp is how long ago the target last gave layers up; 0 where it has given up none.
	SinceUnload time.Duration
}

// Usable tells whether the target takes new work.
func (v View) Usable() bool { return v.State == cataloger.StateLive && !v.Unreachable }

// Assessor is safe for concurrent use; set its exported fields before use.
type Assessor struct {
	// Now tells the time.
	Now func() time.Time

	mu        sync.Mutex
	beliefs   map[string]*belief
	byAddress map[string]string
	departed  departed
	peers     map[string]peerLoad
	// sums are the loads of all peers together, as of summedAt; zero is out of date.
	sums     map[uint32]float64
	summedAt time.Time
	// services are the listed targets of each service by name; nil is out of date.
	services map[string][]*belief
}

// New returns an assessor that knows no target.
func New(now func() time.Time) *Assessor {
	return &Assessor{Now: now, beliefs: map[string]*belief{}, byAddress: map[string]string{}, departed: departed{}, peers: map[string]peerLoad{}}
}

// Put takes the newest description of a target; another incarnation starts without doubts.
func (a *Assessor) Put(t cataloger.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	b, ok := a.beliefs[t.Name]
	if !ok || b.target.Incarnation != t.Incarnation {
		b = &belief{pace: 1, loadKey: LoadKey(t.Name)}
		a.beliefs[t.Name] = b
	}
	if t.State == cataloger.StateLive {
		b.leavingAt = time.Time{}
	}
	b.removedAt = time.Time{}
	b.refusedUntil = time.Time{}
	a.services = nil
	if b.target.Address != t.Address {
		if a.byAddress[b.target.Address] == t.Name {
			delete(a.byAddress, b.target.Address)
		}
		b.replaced = false
	}
	if t.State == cataloger.StateLeaving && b.leavingAt.IsZero() {
		b.leavingAt = now
	}
	if givesUp(b.target, t) {
		b.gaveUpAt = now
	}
	b.target = t
	if d, ok := a.departed.of(t); ok {
		b.depart(d.Since)
	}
	a.resolve(b)
}

// resolve finds out who has the address of a target; addresses of targets that ended are used again while these are still
// listed.
func (a *Assessor) resolve(b *belief) {
	t := b.target
	other, ok := a.beliefs[a.byAddress[t.Address]]
	switch {
	case !ok || other == b || other.target.Address != t.Address || other.target.Incarnation == t.Incarnation:
	case other.target.Incarnation > t.Incarnation:
		b.replaced = true
		return
	default:
		other.replaced = true
	}
	a.byAddress[t.Address] = t.Name
}

// givesUp tells whether a target no longer holds all layers that it held.
func givesUp(before, after cataloger.Target) bool {
	first, end, _ := before.ReadyLayers()
	newFirst, newEnd, _ := after.ReadyLayers()
	return end > first && (newFirst > first || newEnd < end)
}

// Remove takes in that a target is listed no more. It is kept for a while as leaving, since it may still serve what it has.
func (a *Assessor) Remove(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	for other, b := range a.beliefs {
		if !b.removedAt.IsZero() && now.Sub(b.removedAt) > removedTime {
			a.forget(other, b)
		}
	}
	b, ok := a.beliefs[name]
	if !ok || !b.removedAt.IsZero() {
		return
	}
	b.removedAt = now
	a.services = nil
	if b.leavingAt.IsZero() {
		b.leavingAt = now
	}
	b.target = b.target.WithState(cataloger.StateLeaving)
}

func (a *Assessor) forget(name string, b *belief) {
	if a.byAddress[b.target.Address] == name {
		delete(a.byAddress, b.target.Address)
	}
	delete(a.beliefs, name)
}

// Get returns a target by its name.
func (a *Assessor) Get(name string) (View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[name]
	if !ok {
		return View{}, false
	}
	return a.view(b, a.Now()), true
}

// At returns the target that has an address now.
func (a *Assessor) ByAddress(address string) (View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[a.byAddress[address]]
	if !ok {
		return View{}, false
	}
	return a.view(b, a.Now()), true
}

// Service returns the targets of a service, by name.
func (a *Assessor) Service(service string) []View { return a.AppendService(nil, service) }

// AppendService appends the targets of a service, by name.
func (a *Assessor) AppendService(out []View, service string) []View {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	beliefs := a.listed(service)
	out = slices.Grow(out, len(beliefs))
	for _, b := range beliefs {
		out = append(out, a.view(b, now))
	}
	return out
}

// listed returns the listed targets of a service by name; the caller holds mu.
func (a *Assessor) listed(service string) []*belief {
	if a.services == nil {
		a.services = map[string][]*belief{}
		for _, b := range a.beliefs {
			if b.removedAt.IsZero() {
				a.services[b.target.Service] = append(a.services[b.target.Service], b)
			}
		}
		for _, list := range a.services {
			slices.SortFunc(list, func(x, y *belief) int { return cmp.Compare(x.target.Name, y.target.Name) })
		}
	}
	return a.services[service]
}

func (a *Assessor) view(b *belief, now time.Time) View {
	v := View{Target: b.target, TokenLayers: b.tokenLayers, Requests: b.requests, Pace: b.paceNow(now)}
	v.Unreachable = b.replaced || !b.lostAt.IsZero() && now.Sub(b.lostAt) < SuspicionTime
	v.Paused = max(b.pausedUntil.Sub(now), 0)
	v.Refusing = now.Before(b.refusedUntil) || v.Paused > 0
	v.Faults = b.faultsNow(now)
	if !b.leavingAt.IsZero() {
		v.SinceLeaving = max(now.Sub(b.leavingAt), 1)
	}
	if !b.gaveUpAt.IsZero() {
		v.SinceUnload = max(now.Sub(b.gaveUpAt), 1)
	}
	v.TokenLayers += a.peerLoads(now)[b.loadKey]
	return v
}
