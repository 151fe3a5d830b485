package assessor

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// SuspicionTime is how long a target that stopped answering is avoided: by then the platform's list has dropped it, or it
	// reports there again.
	SuspicionTime = 4 * time.Second
	// suspicionTolerance is how much later than the known time of a suspicion another one must be.
	suspicionTolerance = 500 * time.Millisecond
	// RefusalBackoff is how long a target is skipped after it refused a request because it is full or unloads its layers. It
	// doubles with each refusal in a row, up to maxRefusalBackoff.
	RefusalBackoff    = 300 * time.Millisecond
	maxRefusalBackoff = 2 * time.Second
	// staleListingBackoff is how long a target that does not hold the listed layers is skipped, unless it is listed again before:
	// its listing follows within one of its heartbeats while the store answers.
	staleListingBackoff = 5 * time.Second
	// faultDecayTime is the time over which the faults of a target decay, so that it is tried again.
	faultDecayTime = 5 * time.Second
	// faultGain and successGain are the weights of one failed and one successful request in the share of faults.
	faultGain   = 0.2
	successGain = 0.1
	// paceRetention is how long a reported pace counts, and paceNewsTime how long it is sent to other daemons.
	paceRetention = 4 * time.Second
	paceNewsTime  = time.Second
	// unansweredWindow is the time within which a second unanswered request makes a target suspected.
	unansweredWindow = 2 * time.Second
	// removedRetention is how long a target is kept after it was removed from the list.
	removedRetention = 15 * time.Second
	// peerLoadSumAge is the maximum age of the sum of the peers' loads while none of them changes.
	peerLoadSumAge = 250 * time.Millisecond
	// fleetLoadSumAge is the same while the loads grow from one report to the next.
	fleetLoadSumAge = 25 * time.Millisecond
	// peerLoadRetention is how long the load that another daemon reported counts.
	peerLoadRetention = 2 * time.Second
)

// targetRecord is the tracked state of one incarnation of a target.
type targetRecord struct {
	target cataloger.Target
	// loadKey is the LoadKey of the target's name.
	loadKey uint32
	// tokenLayers is reserved by requests in progress on this daemon, in tokens times layers.
	tokenLayers float64
	requests    int
	suspectedAt time.Time
	// refusedUntil is when the target may get requests again after refusals, and refusals their number in a row.
	refusedUntil time.Time
	refusals     int
	// pausedUntil is the end of the pause that the target asked this daemon for.
	pausedUntil time.Time
	// faults is the share of failures among the requests sent to the target as the first stage, as of faultsAt.
	faults   float64
	faultsAt time.Time
	// unansweredAt is when the target last left a request unanswered, and clearedAt the time of the last proof that ended a
	// suspicion.
	unansweredAt time.Time
	clearedAt    time.Time
	// answeredAt is when the target last answered this daemon as the first stage.
	answeredAt time.Time
	// pace is the pace that the target reported at pacedAt; 1 is its usual pace and a larger value is slower.
	pace    float64
	pacedAt time.Time
	// removedAt is when the target was removed from the list.
	removedAt time.Time
	// leavingAt is when the target was first seen to leave, and unloadedAt when it last unloaded layers.
	leavingAt  time.Time
	unloadedAt time.Time
	// replaced is true once a target that started later has the address, so that any answer from there is not of this one.
	replaced bool
}

// View is a snapshot of a target and its tracked state.
type View struct {
	cataloger.Target
	// TokenLayers is the load in tokens times layers, from this daemon and as reported by the others. Requests counts the
	// requests in progress from this daemon.
	TokenLayers float64
	Requests    int
	// Unreachable is true if the target is suspected or another one has its address; Refusing if it accepts no more work for now.
	Unreachable bool
	Refusing    bool
	// Paused is the remaining time of the pause that the target asked this daemon for; such a target is also Refusing.
	Paused time.Duration
	// Pace is the reported pace; 1 is the target's usual pace and a larger value is slower.
	Pace float64
	// Faults is the recent share of failures among the requests sent to the target as the first stage.
	Faults float64
	// SinceAnswer is how long ago the target last answered this daemon as the first stage; 0 if it never did.
	SinceAnswer time.Duration
	// SinceLeaving is how long ago the target began to leave; 0 if it does not leave.
	SinceLeaving time.Duration
	// SinceUnload is how long ago the target last unloaded layers; 0 if it has unloaded none.
	SinceUnload time.Duration
}

// Usable reports whether the target is live and reachable.
func (v View) Usable() bool { return v.State == cataloger.StateLive && !v.Unreachable }

// Assessor tracks the targets. It is safe for concurrent use; set its exported fields before use.
type Assessor struct {
	// Now returns the current time.
	Now func() time.Time

	mu         sync.Mutex
	records    map[string]*targetRecord
	byAddress  map[string]string
	departures departureLog
	// lastSuspicion and lastPace are the times of the latest suspicion and report of a slow target.
	lastSuspicion, lastPace time.Time

	peers map[string]peerLoad
	// sums are the loads of all peers together, as of summedAt; a zero summedAt means out of date.
	sums     map[uint32]float64
	summedAt time.Time
	// services holds the listed targets of each service; nil means out of date.
	services map[string]serviceTargets
}

// serviceTargets holds the listed targets of a service, sorted by name, and those among them that hold layers.
type serviceTargets struct {
	all, holding []*targetRecord
}

// New returns an assessor without targets.
func New(now func() time.Time) *Assessor {
	return &Assessor{Now: now, records: map[string]*targetRecord{}, byAddress: map[string]string{}, departures: departureLog{}, peers: map[string]peerLoad{}}
}

// Put stores the newest description of a target. The state of an earlier incarnation is dropped.
func (a *Assessor) Put(t cataloger.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	r, ok := a.records[t.Name]
	if !ok || r.target.Incarnation != t.Incarnation {
		r = &targetRecord{pace: 1, loadKey: LoadKey(t.Name)}
		a.records[t.Name] = r
		a.services = nil
	}
	if t.State == cataloger.StateLive {
		r.leavingAt = time.Time{}
	}
	if !r.removedAt.IsZero() || r.target.Service != t.Service || holdsLayers(r.target) != holdsLayers(t) {
		a.services = nil
	}
	r.removedAt = time.Time{}
	r.refusedUntil = time.Time{}
	if r.target.Address != t.Address {
		if a.byAddress[r.target.Address] == t.Name {
			delete(a.byAddress, r.target.Address)
		}
		r.replaced = false
	}
	if t.State == cataloger.StateLeaving && r.leavingAt.IsZero() {
		r.leavingAt = now
	}
	if unloadsLayers(r.target, t) {
		r.unloadedAt = now
	}
	r.target = t
	if d, ok := a.departures.forTarget(t); ok {
		r.markLeaving(d.Since)
	}
	a.resolveAddress(r)
}

// resolveAddress decides which target has the address of a target: addresses of targets that ended are used again while these are
// still listed.
func (a *Assessor) resolveAddress(r *targetRecord) {
	t := r.target
	other, ok := a.records[a.byAddress[t.Address]]
	switch {
	case !ok || other == r || other.target.Address != t.Address || other.target.Incarnation == t.Incarnation:
	case other.target.Incarnation > t.Incarnation:
		r.replaced = true
		return
	default:
		other.replaced = true
	}
	a.byAddress[t.Address] = t.Name
}

// holdsLayers reports whether a target holds layers that are ready.
func holdsLayers(t cataloger.Target) bool {
	first, end, _ := t.ReadyLayers()
	return end > first
}

// unloadsLayers reports whether a target no longer holds all the layers that it held before.
func unloadsLayers(before, after cataloger.Target) bool {
	first, end, _ := before.ReadyLayers()
	newFirst, newEnd, _ := after.ReadyLayers()
	return end > first && (newFirst > first || newEnd < end)
}

// Remove records that a target is no longer listed. It is kept for a while as leaving, since it may still serve its requests.
func (a *Assessor) Remove(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	for other, r := range a.records {
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) > removedRetention {
			a.forget(other, r)
		}
	}
	r, ok := a.records[name]
	if !ok || !r.removedAt.IsZero() {
		return
	}
	r.removedAt = now
	a.services = nil
	if r.leavingAt.IsZero() {
		r.leavingAt = now
	}
	r.target = r.target.WithState(cataloger.StateLeaving)
}

func (a *Assessor) forget(name string, r *targetRecord) {
	if a.byAddress[r.target.Address] == name {
		delete(a.byAddress, r.target.Address)
	}
	delete(a.records, name)
}

// Get returns a target by its name.
func (a *Assessor) Get(name string) (View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[name]
	if !ok {
		return View{}, false
	}
	return a.view(r, a.Now()), true
}

// ByAddress returns the target that has an address now.
func (a *Assessor) ByAddress(address string) (View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[a.byAddress[address]]
	if !ok {
		return View{}, false
	}
	return a.view(r, a.Now()), true
}

// Service returns the listed targets of a service, sorted by name.
func (a *Assessor) Service(service string) []View { return a.AppendService(nil, service) }

// AppendService appends the listed targets of a service to out, sorted by name.
func (a *Assessor) AppendService(out []View, service string) []View {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	records := a.listed(service).all
	out = slices.Grow(out, len(records))
	for _, r := range records {
		out = append(out, a.view(r, now))
	}
	return out
}

// AppendHolding appends n of the listed targets of a service that hold layers to out, sorted by name. It takes one at random from each
// of n runs of names of equal length. It appends nothing if there are at most n such targets.
func (a *Assessor) AppendHolding(out []View, service string, n int) []View {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	records := a.listed(service).holding
	if len(records) <= n {
		return out
	}
	for i := range n {
		first, end := i*len(records)/n, (i+1)*len(records)/n
		out = append(out, a.view(records[first+rand.IntN(end-first)], now))
	}
	return out
}

// Listed returns the number of listed targets of a service.
func (a *Assessor) Listed(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.listed(service).all)
}

// listed returns the listed targets of a service; the caller holds mu.
func (a *Assessor) listed(service string) serviceTargets {
	if a.services == nil {
		a.services = map[string]serviceTargets{}
		all := make([]*targetRecord, 0, len(a.records))
		for _, r := range a.records {
			if r.removedAt.IsZero() {
				all = append(all, r)
			}
		}
		slices.SortFunc(all, func(x, y *targetRecord) int { return cmp.Compare(x.target.Name, y.target.Name) })
		for _, r := range all {
			list := a.services[r.target.Service]
			list.all = append(list.all, r)
			if holdsLayers(r.target) {
				list.holding = append(list.holding, r)
			}
			a.services[r.target.Service] = list
		}
	}
	return a.services[service]
}

func (a *Assessor) view(r *targetRecord, now time.Time) View {
	v := View{Target: r.target, TokenLayers: r.tokenLayers, Requests: r.requests, Pace: r.currentPace(now)}
	v.Unreachable = r.replaced || !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) < SuspicionTime
	v.Paused = max(r.pausedUntil.Sub(now), 0)
	v.Refusing = now.Before(r.refusedUntil) || v.Paused > 0
	v.Faults = r.currentFaults(now)
	if !r.answeredAt.IsZero() {
		v.SinceAnswer = max(now.Sub(r.answeredAt), 1)
	}
	if !r.leavingAt.IsZero() {
		v.SinceLeaving = max(now.Sub(r.leavingAt), 1)
	}
	if !r.unloadedAt.IsZero() {
		v.SinceUnload = max(now.Sub(r.unloadedAt), 1)
	}
	v.TokenLayers += a.peerLoads(now)[r.loadKey]
	return v
}
