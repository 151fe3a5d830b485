package limiter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Method is the name under which Handle is registered with the link.
const Method = "share-limits"

const (
	defaultInterval      = time.Second
	minInterval          = 20 * time.Millisecond
	callTimeout          = 500 * time.Millisecond
	maxCalls             = 8
	shareRequestCapacity = 1
)

// Limiter maintains the shares of this entry and divides the limits that this daemon owns.
type Limiter struct {
	Clock timer.Clock
	// Self is the member name of this daemon.
	Self string
	// Members returns all entries that may use shares, including unreachable ones.
	Members func() []Member
	// Owner returns the daemon that divides the limit of a key, chosen by rendezvous hashing over the live members.
	Owner func(key string) cataloger.Member
	Link  linker.Link
	// Usage returns the demand of workspaces with limits since the last call.
	Usage func() []Demand
	// Apply puts new shares into effect.
	Apply func(map[Key]Share)
	// Interval is the time between reports.
	Interval time.Duration

	shareRequests *queuer.Ring[struct{}]

	mu        sync.Mutex
	limits    map[Key]Limit
	holder    *Holder
	allocator *Allocator
}

// New returns a limiter without limits.
func New(clock timer.Clock, self string) *Limiter {
	return &Limiter{
		Clock:         clock,
		Self:          self,
		Interval:      defaultInterval,
		shareRequests: queuer.NewRing[struct{}](shareRequestCapacity),
		limits:        map[Key]Limit{},
		holder:        NewHolder(self),
		allocator:     NewAllocator(),
	}
}

// Configure applies the limits of the documents in force.
func (l *Limiter) Configure(documents []*documenter.Document) {
	limits := map[Key]Limit{}
	for _, d := range documents {
		for _, w := range d.Workspaces {
			if w.Rate > 0 || w.Concurrency > 0 {
				limits[Key{d.Name, cataloger.Workspace(w.Name)}] = Limit{w.Rate, w.Concurrency}
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, old := range l.limits {
		if limits[key] != old {
			l.holder.Forget(key)
		}
	}
	l.limits = limits
	longest := maxLifeFor(len(limits))
	l.holder.maxLife = longest
	l.allocator.life.set(l.Clock.Now(), longest)
	l.allocator.Retain(func(key Key) bool { return limits[key] != Limit{} })
}

// InitialShare returns the share of a limit before the first answer of its owner.
func (l *Limiter) InitialShare(_ string, w documenter.Workspace) Share {
	return Floor(Limit{Rate: w.Rate, Concurrency: w.Concurrency}, len(l.Members()))
}

// RequestShares triggers an immediate report, for a request that the share of its workspace delays or refuses.
func (l *Limiter) RequestShares() {
	// A full ring already holds a trigger.
	_ = l.shareRequests.Offer(struct{}{})
}

// Run exchanges demand and shares until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.exchange(ctx)
		l.waitForNext(ctx)
	}
	return nil
}

// waitForNext waits for the interval or until RequestShares is called, but at least for minInterval.
func (l *Limiter) waitForNext(ctx context.Context) {
	if l.Clock.Sleep(ctx, minInterval) != nil {
		return
	}
	elapsed := make(chan struct{})
	stop := l.Clock.AfterFunc(l.Interval-minInterval, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
	case <-l.shareRequests.Values():
	case <-ctx.Done():
	}
}

func (l *Limiter) exchange(ctx context.Context) {
	now := l.Clock.Now()
	demands := l.Usage()
	l.mu.Lock()
	changed := l.holder.Expire(now, l.limit, namesOf(l.Members()))
	l.holder.ExpireMoved(now, func(key Key) Owner { return processOf(l.owner(key)) })
	due := l.holder.Due(now, slices.DeleteFunc(demands, func(d Demand) bool { _, ok := l.limit(d.Key); return !ok }))
	released, floors := l.holder.Release(now, l.limit, len(l.Members()))
	l.mu.Unlock()
	maps.Copy(changed, floors)
	due = append(due, released...)
	if len(changed) > 0 {
		l.Apply(changed)
	}
	byOwner := map[cataloger.Member][]Report{}
	l.mu.Lock()
	for _, r := range due {
		owner := l.owner(r.Demand.Key)
		l.holder.RecordOwner(now, r.Demand.Key, processOf(owner))
		byOwner[owner] = append(byOwner[owner], r)
	}
	l.mu.Unlock()
	l.reportToOwners(ctx, now, byOwner)
}

// owner returns the daemon that divides a limit.
func (l *Limiter) owner(key Key) cataloger.Member {
	return l.Owner("limit/" + key.Service + "/" + string(key.Workspace))
}

func processOf(m cataloger.Member) Owner { return Owner{m.Name, m.Epoch} }

// reportToOwners sends the reports to at most maxCalls owners concurrently and waits for all of them.
func (l *Limiter) reportToOwners(ctx context.Context, now time.Time, byOwner map[cataloger.Member][]Report) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for owner, reports := range byOwner {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			l.reportTo(ctx, now, owner, reports)
		})
	}
	group.Wait()
}

func (l *Limiter) limit(key Key) (Limit, bool) {
	limit, ok := l.limits[key]
	return limit, ok
}

func (l *Limiter) reportTo(ctx context.Context, sent time.Time, owner cataloger.Member, reports []Report) {
	var resp *peerv1.LimitResponse
	req := newLimitRequest(l.Self, reports)
	if owner.Name == l.Self {
		resp = l.answerReports(req)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		resp = &peerv1.LimitResponse{}
		if err := l.Link.Call(callCtx, owner.PeerAddress, Method, req, resp); err != nil || len(resp.Shares) != len(reports) {
			l.recordFailures(reports)
			return
		}
	}
	l.applyResponse(sent, reports, resp)
}

func (l *Limiter) recordFailures(reports []Report) {
	l.mu.Lock()
	changed := map[Key]Share{}
	for _, r := range reports {
		limit, ok := l.limit(r.Demand.Key)
		if !ok {
			continue
		}
		if share, ok := l.holder.RecordFailure(l.Clock.Now(), r.Demand.Key, limit, namesOf(l.Members())); ok {
			changed[r.Demand.Key] = share
		}
	}
	l.mu.Unlock()
	l.Apply(changed)
}

func (l *Limiter) applyResponse(sent time.Time, reports []Report, resp *peerv1.LimitResponse) {
	l.mu.Lock()
	changed := map[Key]Share{}
	ttl := time.Duration(resp.TtlMs) * time.Millisecond
	for i, r := range reports {
		limit, ok := l.limit(r.Demand.Key)
		s := resp.Shares[i]
		if !ok || !s.Known {
			continue
		}
		changed[r.Demand.Key] = l.holder.ApplyAnswer(r.Demand.Key, sent, decodeShare(limit, s), min(max(ttl, time.Duration(s.TtlMs)*time.Millisecond), l.holder.maxLife))
	}
	l.mu.Unlock()
	l.Apply(changed)
}

// Handle is the linker.Handler that divides the limits owned by this daemon.
func (l *Limiter) Handle(_ context.Context, _ string, body []byte) (proto.Message, error) {
	var req peerv1.LimitRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, refuser.New(refuser.MalformedRequest, "limit request: %s", err.Error())
	}
	return l.answerReports(&req), nil
}

func (l *Limiter) answerReports(req *peerv1.LimitRequest) *peerv1.LimitResponse {
	members := l.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &peerv1.LimitResponse{TtlMs: uint32(TTL / time.Millisecond)}
	for _, d := range req.Demands {
		key := Key{d.Service, cataloger.Workspace(d.Workspace)}
		limit, ok := l.limit(key)
		if !ok {
			resp.Shares = append(resp.Shares, &peerv1.LimitShare{})
			continue
		}
		report := Report{
			Member: req.Member,
			Demand: Demand{Key: key, Rate: finiteOrZero(d.Rate), Wanted: finiteOrZero(d.Wanted)},
			Held:   Share{Rate: finiteOrZero(d.HeldRate), Concurrency: finiteOrZero(d.HeldConcurrency)},
			TTL:    time.Duration(d.TtlMs) * time.Millisecond,
		}
		share := l.allocator.Report(l.Clock.Now(), limit, members, report)
		answer := &peerv1.LimitShare{Rate: finiteOrZero(share.Rate), Concurrency: finiteOrZero(share.Concurrency), Known: true}
		if granted := l.allocator.GrantDuration(report); granted > TTL {
			answer.TtlMs = uint32(granted / time.Millisecond)
		}
		resp.Shares = append(resp.Shares, answer)
	}
	return resp
}
