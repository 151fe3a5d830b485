package throttler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// askTimeout is how long a request waits for an answer of the owner of a limit: a tenth of a second is also how long a daemon
	// may be without processor time.
	askTimeout = 100 * time.Millisecond
	// silenceTime is how long after the last answer of a target its owner asks it whether it still has a limit.
	silenceTime = 5 * time.Second
	// newsTime is how long the beginning or end of a limit goes before other news.
	newsTime = 2 * time.Second
)

// Ask is a request of a daemon to the owner of a limit for permits.
type Ask struct {
	// Number identifies the request at the daemon that asks.
	Number uint64
	// News is what the daemon knows of the limit.
	News   News
	Wanted int
	// Reserve is the share of the burst that is left to more urgent requests.
	Reserve float64
}

// Answer is the owner's answer to an Ask.
type Answer struct {
	Number uint64
	// News is what the owner knows of the limit; the zero value if that is no later than what the ask said.
	News    News
	Permits int
	// Wait is the time after which it makes sense to ask again.
	Wait time.Duration
	// Fill is the share of the burst that is used.
	Fill float64
}

// State is what is known of the use of a limit.
type State struct {
	// Wait is the time until a request may be sent; 0 if it may be now.
	Wait time.Duration
	// Fill is the share of the burst that is used, in [0,1].
	Fill float64
}

// Throttler asks the owner of a target's limit before each request, and owns the limits of some targets itself. The owner of a limit
// grants permits from one token bucket. Set its exported fields before use; it is safe for concurrent use.
type Throttler struct {
	Clock timer.Clock
	// Self is the name of this daemon.
	Self string
	// Owner returns the daemon that owns the limit of a target.
	Owner func(target Target) cataloger.Member
	// Daemons returns the number of daemons.
	Daemons func() int
	// Send sends an ask to its owner. The answer is passed to HandleAnswer, if one comes.
	Send func(owner cataloger.Member, ask Ask)

	mu         sync.Mutex
	limits     limits
	changedAt  map[string]time.Time
	queriedAt  map[string]time.Time
	buckets    map[string]*bucket
	holdings   map[string]*holding
	pending    map[uint64]chan Answer
	lastNumber uint64
}

// New returns a throttler without limits for a single daemon.
func New(clock timer.Clock) *Throttler {
	return &Throttler{
		Clock: clock, Owner: func(Target) cataloger.Member { return cataloger.Member{} }, Daemons: func() int { return 1 },
		Send:   func(cataloger.Member, Ask) {},
		limits: limits{}, changedAt: map[string]time.Time{}, queriedAt: map[string]time.Time{},
		buckets: map[string]*bucket{}, holdings: map[string]*holding{}, pending: map[uint64]chan Answer{},
	}
}

// Observe records the limit that an answer of a target named, or that it named none, and returns what this changed.
func (t *Throttler) Observe(target Target, limit Limit) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(t.limits.observe(News{Target: target, Limit: limit, HeardAt: t.Clock.Now()}), target.Name)
}

// Merge records what a peer knows of the limit of a target, and returns what this changed.
func (t *Throttler) Merge(n News) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(n)
}

func (t *Throttler) merge(n News) Change { return t.record(t.limits.merge(n), n.Target.Name) }

func (t *Throttler) record(c Change, name string) Change {
	if c == ChangeBegan || c == ChangeEnded {
		t.changedAt[name] = t.Clock.Now()
	}
	return c
}

// Acquire reports whether a request may be sent to a target now. It leaves the share reserve of the target's burst, in [0,1), to
// more urgent requests. It may wait for up to askTimeout.
func (t *Throttler) Acquire(ctx context.Context, target Target, reserve float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits.get(target)
	if !limit.Set {
		return true
	}
	now := t.Clock.Now()
	h := t.holding(target)
	wanted := h.count(now)
	if h.use(now) {
		return true
	}
	if limit.Rate == 0 || now.Before(h.blockedUntil) {
		return false
	}
	owner := t.Owner(target)
	if owner.Name == t.Self {
		return h.apply(now, t.bucket(target).take(now, limit.Rate, wanted, reserve))
	}
	t.lastNumber++
	ask := Ask{Number: t.lastNumber, News: t.limits[target.Name], Wanted: wanted, Reserve: reserve}
	answer, ok := t.ask(ctx, owner, ask)
	now = t.Clock.Now()
	switch {
	case ctx.Err() != nil:
		return false
	case !ok:
		return h.useFallback(now, limit, t.Daemons())
	}
	if answer.News != (News{}) {
		t.merge(answer.News)
	}
	return h.apply(now, grant{permits: answer.Permits, wait: answer.Wait, fill: answer.Fill})
}

// ask sends an ask and waits for its answer; the caller holds mu, which is released meanwhile.
func (t *Throttler) ask(ctx context.Context, owner cataloger.Member, a Ask) (Answer, bool) {
	answered := make(chan Answer, 1)
	t.pending[a.Number] = answered
	t.mu.Unlock()
	defer t.mu.Lock()
	expired := make(chan struct{})
	stop := t.Clock.AfterFunc(askTimeout, func() { close(expired) })
	defer stop()
	t.Send(owner, a)
	defer func() {
		t.mu.Lock()
		delete(t.pending, a.Number)
		t.mu.Unlock()
	}()
	select {
	case answer := <-answered:
		return answer, true
	case <-expired:
	case <-ctx.Done():
	}
	return Answer{}, false
}

// HandleAnswer passes the answer to an ask to the request that waits for it.
func (t *Throttler) HandleAnswer(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered := t.pending[a.Number]; answered != nil {
		delete(t.pending, a.Number)
		answered <- a
	}
}

// HandleAsk answers an ask of another daemon.
func (t *Throttler) HandleAsk(a Ask) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(a.News)
	target := a.News.Target
	answer := Answer{Number: a.Number}
	known, limit := t.limits[target.Name], t.limits.get(target)
	if known != a.News {
		answer.News = known
	}
	switch {
	case known.Target != target:
		// The daemon that asks does not know yet that the target has restarted.
		answer.Wait = minWait
	case !limit.Set:
		answer.Permits = max(a.Wanted, 1)
	case limit.Rate == 0:
		answer.Wait = maxWait
	default:
		g := t.bucket(target).take(t.Clock.Now(), limit.Rate, min(a.Wanted, maxBatch), a.Reserve)
		answer.Permits, answer.Wait, answer.Fill = g.permits, g.wait, g.fill
	}
	return answer
}

func (t *Throttler) holding(target Target) *holding {
	h := t.holdings[target.Name]
	if h == nil || h.target != target {
		h = &holding{target: target}
		t.holdings[target.Name] = h
	}
	return h
}

func (t *Throttler) bucket(target Target) *bucket {
	b := t.buckets[target.Name]
	if b == nil || b.target != target {
		b = newBucket(target, t.Clock.Now())
		t.buckets[target.Name] = b
	}
	return b
}

// State returns the use of the limit of a target.
func (t *Throttler) State(target Target) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(target, t.Clock.Now())
}

// States returns the use of all limits, by the name of the target; nil if no target has a limit.
func (t *Throttler) States() map[string]State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]State
	now := t.Clock.Now()
	for name, n := range t.limits {
		if n.Limit.Set {
			if out == nil {
				out = map[string]State{}
			}
			out[name] = t.state(n.Target, now)
		}
	}
	return out
}

func (t *Throttler) state(target Target, now time.Time) State {
	limit := t.limits.get(target)
	if !limit.Set {
		return State{}
	}
	if limit.Rate == 0 {
		return State{Wait: maxWait, Fill: 1}
	}
	h := t.holdings[target.Name]
	if h == nil || h.target != target {
		return State{}
	}
	return State{Wait: max(h.blockedUntil.Sub(now), 0), Fill: h.currentFill(now, limit.Rate)}
}

// News returns up to n of the limits that are known, to be sent to other daemons: those that began or ended lately first, then others
// at random.
func (t *Throttler) News(n int) []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var recent, others []News
	for name, news := range t.limits {
		switch {
		case now.Sub(t.changedAt[name]) < newsTime:
			recent = append(recent, news)
		case news.Limit.Set || now.Sub(news.HeardAt) < endRetention:
			others = append(others, news)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	out := append(recent, others...)
	return out[:min(n, len(out))]
}

// Silent returns the targets with limits owned by this daemon that have not answered anybody for a while: they are to be asked whether
// they still have a limit. A target is returned once in silenceTime.
func (t *Throttler) Silent() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var out []Target
	for name, n := range t.limits {
		if !n.Limit.Set || now.Sub(n.HeardAt) < silenceTime || now.Sub(t.queriedAt[name]) < silenceTime || t.Owner(n.Target).Name != t.Self {
			continue
		}
		t.queriedAt[name] = now
		out = append(out, n.Target)
	}
	return out
}

// Retain drops what is known of targets for which keep returns false, and limits that ended a while ago.
func (t *Throttler) Retain(keep func(Target) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for name, n := range t.limits {
		if keep(n.Target) && (n.Limit.Set || now.Sub(n.HeardAt) < endRetention) {
			continue
		}
		delete(t.limits, name)
		delete(t.changedAt, name)
		delete(t.queriedAt, name)
		delete(t.buckets, name)
		delete(t.holdings, name)
	}
}
