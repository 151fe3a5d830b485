package journaler

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// event is an input of the server's goroutine; exactly one of claim, report, storeDone and cancel is set.
type event struct {
	shard     int
	claim     *claim
	report    *report
	storeDone *storeDoneEvent
	// cancel drops the waiting call with the ticket number.
	cancel bool
	ticket uint64
	reply  chan<- verdict
}

type storeDoneEvent struct {
	call storeCall
	res  storeResult
}

// boundShard is the index of the in-memory shard that serves bound mode.
const boundShard = Shards

// server runs the shards of one daemon in one goroutine; store calls run in other goroutines, at most one for each shard.
type server struct {
	j       *Journaler
	shards  [Shards + 1]*shard
	limiter *rate.Limiter
	waiting map[uint64]chan<- verdict
	// results has capacity for a store call of every shard, so that none waits for the server.
	results     chan event
	ownedShards int
}

const writeBurst = 4

func newServer(j *Journaler) *server {
	s := &server{
		j:       j,
		limiter: rate.NewLimiter(0, writeBurst),
		waiting: map[uint64]chan<- verdict{},
		results: make(chan event, Shards),
	}
	self := j.Self()
	for i := range s.shards {
		sh := newShard(uint32(i), Dispatcher{Member: self.Name, Incarnation: self.Incarnation}, j.Limits, j.shardRand())
		sh.reserveWrite = s.reserve
		sh.chargeTakeover = func(now time.Time) { s.limiter.AllowN(now, 1) }
		sh.alive = func(d Dispatcher) bool { return j.Alive(d.Member, d.Incarnation) }
		s.shards[i] = sh
	}
	s.shards[boundShard].serveBoundMode()
	return s
}

// reserve reserves one write of this daemon's share of the write rate and returns when it may be made.
func (s *server) reserve(now time.Time) time.Time {
	r := s.limiter.ReserveN(now, 1)
	if !r.OK() {
		return now
	}
	return now.Add(r.DelayFrom(now))
}

func (s *server) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextOwnerUpdate time.Time
	var flushUntil time.Time
	done := ctx.Done()
	for {
		now := s.j.Clock.Now()
		if !now.Before(nextOwnerUpdate) {
			s.updateOwners(now)
			nextOwnerUpdate = now.Add(ownershipInterval)
		}
		wake := soonest(s.startStoreCalls(now, !flushUntil.IsZero()), nextOwnerUpdate)
		if !flushUntil.IsZero() && (s.flushed() || !now.Before(flushUntil)) {
			s.stop(now)
			return
		}
		timer.Reset(max(0, wake.Sub(now)))
		select {
		case e := <-s.j.events.Values():
			s.handle(e)
		case e := <-s.results:
			s.handle(e)
		case <-timer.C:
		case <-done:
			done = nil
			flushUntil = now.Add(flushTimeout)
		}
	}
}

// updateOwners acquires and releases shards by the view of the members, and sets this daemon's share of the write rate.
func (s *server) updateOwners(now time.Time) {
	self := s.j.Self()
	s.ownedShards = 0
	for i, owner := range s.j.owners.All() {
		mine := owner.Is(self)
		if mine {
			s.ownedShards++
		}
		s.shards[i].setWanted(now, mine)
		s.deliverVerdicts(s.shards[i])
	}
	s.divideCapacity()
	limit := rate.Limit(s.j.Limits.WritesPerSecond * float64(s.ownedShards) / Shards)
	if limit != s.limiter.Limit() {
		s.limiter.SetLimitAt(now, limit)
	}
	s.updateMetrics()
}

// divideCapacity divides the capacity for ids between the journal's shards and bound mode: each has half, and more if the
// other does not use its half.
func (s *server) divideCapacity() {
	boundRecords := len(s.shards[boundShard].table.records)
	journalRecords := 0
	for _, sh := range s.shards[:boundShard] {
		if sh.table != nil {
			journalRecords += len(sh.table.records)
		}
	}
	total := s.j.Limits.MaxRecords
	for _, sh := range s.shards[:boundShard] {
		sh.setCapacity(max(total-boundRecords, total/2) / max(1, s.ownedShards))
	}
	s.shards[boundShard].setCapacity(max(total-journalRecords, total/2))
}

// startStoreCalls starts the store calls that are due and returns when the next one may be due.
func (s *server) startStoreCalls(now time.Time, flush bool) time.Time {
	var wake time.Time
	for i, sh := range s.shards {
		if flush {
			sh.flushOutcomes(now)
		}
		call, ok, at := sh.next(now)
		s.deliverVerdicts(sh)
		wake = soonest(wake, at)
		if ok {
			go func() { s.results <- event{shard: i, storeDone: &storeDoneEvent{call: call, res: s.j.execute(call)}} }()
		}
	}
	return wake
}

func (s *server) handle(e event) {
	now := s.j.Clock.Now()
	sh := s.shards[e.shard]
	switch {
	case e.storeDone != nil:
		sh.handleStoreResult(now, e.storeDone.call, e.storeDone.res)
	case e.cancel:
		delete(s.waiting, e.ticket)
		sh.cancelCall(now, e.ticket)
	case e.claim != nil:
		s.waiting[e.ticket] = e.reply
		sh.submitClaim(now, e.ticket, *e.claim)
	case e.report != nil:
		s.waiting[e.ticket] = e.reply
		sh.submitReport(now, e.ticket, *e.report)
	}
	s.deliverVerdicts(sh)
}

// deliverVerdicts sends verdicts to the waiting calls; each reply channel has capacity for its one verdict.
func (s *server) deliverVerdicts(sh *shard) {
	for _, r := range sh.takeReplies() {
		if ch, ok := s.waiting[r.ticket]; ok {
			delete(s.waiting, r.ticket)
			ch <- r.verdict
		}
	}
}

// flushed reports whether nothing is left to write.
func (s *server) flushed() bool {
	for _, sh := range s.shards {
		if sh.phase == phaseOpen && (len(sh.dirty) > 0 || sh.commit != nil) {
			return false
		}
	}
	return true
}

// stop releases every shard, waits for the store calls in progress and answers the remaining events with
// verdictNotOwner.
func (s *server) stop(now time.Time) {
	busy := 0
	for _, sh := range s.shards {
		sh.setWanted(now, false)
		s.deliverVerdicts(sh)
		if sh.busy {
			busy++
		}
	}
	for range busy {
		<-s.results
	}
	for {
		e, ok := s.j.events.Poll()
		if !ok {
			return
		}
		if e.reply != nil {
			e.reply <- verdict{kind: verdictNotOwner}
		}
	}
}

func (s *server) updateMetrics() {
	var total shardStats
	records := 0
	outages := 0
	for _, sh := range s.shards {
		total.add(sh.stats)
		if sh.table != nil {
			records += len(sh.table.records)
		}
		if !sh.downSince.IsZero() {
			outages++
		}
	}
	for name, v := range map[string]uint64{
		"journal-commits":       total.Commits,
		"journal-segments":      total.Segments,
		"journal-claims":        total.Claims,
		"journal-outcomes":      total.Outcomes,
		"journal-voided":        total.Voided,
		"journal-takeovers":     total.Takeovers,
		"journal-fenced":        total.Fenced,
		"journal-records":       uint64(records),
		"journal-shards":        uint64(s.ownedShards),
		"journal-shards-failed": uint64(outages),
	} {
		metrics.GetOrRegisterGauge(name, s.j.Registry).Update(int64(v))
	}
}

func (t *shardStats) add(o shardStats) {
	t.Commits += o.Commits
	t.Segments += o.Segments
	t.Claims += o.Claims
	t.Outcomes += o.Outcomes
	t.Voided += o.Voided
	t.Takeovers += o.Takeovers
	t.Fenced += o.Fenced
}

// execute makes one store call.
func (j *Journaler) execute(call storeCall) storeResult {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	var res storeResult
	switch call.typ {
	case callGet:
		res.object, res.err = j.Store.Get(ctx, call.key)
	case callPut:
		res.version, res.err = j.Store.Put(ctx, call.key, call.value, call.expected)
	case callDelete:
		res.version, res.err = j.Store.Delete(ctx, call.key, call.expected)
	}
	return res
}
