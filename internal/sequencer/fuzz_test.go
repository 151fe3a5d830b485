package sequencer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "300", "rapid.steps": "150"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

// simulation simulates the owners and entries of one ordering key and checks the order of the deliveries.
type simulation struct {
	pick      func(n int, label string) int
	now       time.Time
	queue     *queue
	dead      map[uint64]bool
	requests  []*simulatedRequest
	next      uint64
	nonce     uint64
	floors    [2]uint64
	delivered uint64
	lastID    string
	faults    []string
	// skipFloors breaks the handover: entries do not report their floors.
	skipFloors bool
	// skipPlaces breaks the handover: entries do not report their places.
	skipPlaces bool
	counts     map[string]int
}

type simulatedRequest struct {
	entrance
	entry    int
	finished bool
	released bool
	ended    bool
}

const bufferBytes = 100

func newSimulation(pick func(n int, label string) int) *simulation {
	b := &simulation{pick: pick, now: time.UnixMilli(1_700_000_000_000), dead: map[uint64]bool{}, counts: map[string]int{}}
	b.queue = newQueue(DefaultLimits(), b.alive, b.now, b.now)
	return b
}

func (b *simulation) alive(s source) bool { return !b.dead[s.incarnation] }

func (b *simulation) source(entry int) source {
	b.nonce++
	return source{member: fmt.Sprint(entry), incarnation: uint64(entry), nonce: b.nonce}
}

func (b *simulation) enter() {
	b.next++
	seq := b.next
	if b.pick(4, "order") == 0 {
		seq = uint64(max(1, int(b.next)+b.pick(6, "shift")-3))
	}
	entry := b.pick(2, "entry")
	r := &simulatedRequest{entry: entry, entrance: entrance{
		sequence: seq, id: fmt.Sprintf("r-%d-%d", seq, b.pick(2, "id")), source: b.source(entry),
		deadline: b.now.Add(time.Duration(1+b.pick(60, "deadline")) * time.Second), wait: 10 * time.Second,
		buffer: bufferBytes, floor: b.floors[entry],
	}}
	replay, err := b.queue.enter(b.now, r.entrance)
	switch {
	case err != nil:
		b.counts[err.Code.String()]++
		if err.Fact != refuser.FactNotRun {
			b.recordFault("%s before the run", err)
		}
		return
	case replay:
		b.counts["replay"]++
		return
	}
	b.supersede(r)
	b.requests = append(b.requests, r)
}

// supersede ends an earlier attempt of the same request.
func (b *simulation) supersede(r *simulatedRequest) {
	for _, o := range b.requests {
		if o.id == r.id && !o.ended {
			o.ended = true
		}
	}
}

func (b *simulation) pickRequest(matches func(*simulatedRequest) bool) *simulatedRequest {
	var candidates []*simulatedRequest
	for _, r := range b.requests {
		if !r.ended && matches(r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[b.pick(len(candidates), "which")]
}

func (b *simulation) finish() {
	r := b.pickRequest(func(r *simulatedRequest) bool { return !r.finished })
	if r == nil {
		return
	}
	found, err := b.queue.finish(b.now, r.sequence, r.source, 1+b.pick(30, "size"), bufferBytes)
	switch {
	case err != nil:
		b.counts["held too much"]++
		b.endRequest(r)
	case !found:
		b.reenter(r)
	default:
		r.finished = true
	}
}

func (b *simulation) reenter(r *simulatedRequest) {
	e := r.entrance
	e.reentry = true
	e.floor = b.floors[r.entry]
	if b.skipFloors {
		e.floor = 0
	}
	if _, err := b.queue.enter(b.now, e); err != nil {
		r.ended = true
		b.counts["late at a new owner"]++
	}
}

func (b *simulation) endRequest(r *simulatedRequest) {
	r.ended = true
	b.queue.done(b.now, r.sequence, r.source)
}

func (b *simulation) refuse() {
	if r := b.pickRequest(func(r *simulatedRequest) bool { return !r.released }); r != nil {
		b.endRequest(r)
	}
}

func (b *simulation) release() {
	seq, _ := b.queue.advance(b.now)
	if seq == 0 {
		return
	}
	for _, r := range b.requests {
		if r.sequence == seq && !r.ended {
			r.released = true
			// The turn carries the owner's floor.
			b.floors[r.entry] = max(b.floors[r.entry], b.queue.floor)
		}
	}
}

func (b *simulation) deliver() {
	r := b.pickRequest(func(r *simulatedRequest) bool { return r.released })
	if r == nil {
		return
	}
	// A caller that repeats its newest request may get the answer again, but no older answer may be delivered.
	if r.sequence < b.delivered || (r.sequence == b.delivered && r.id != b.lastID) {
		b.recordFault("%d delivered after %d", r.sequence, b.delivered)
	}
	b.lastID = r.id
	b.counts["delivered"]++
	b.delivered = max(b.delivered, r.sequence)
	b.floors[r.entry] = max(b.floors[r.entry], r.sequence)
	b.endRequest(r)
}

// cut interrupts a delivery; the caller repeats the request through the other entry immediately, later or not at all.
func (b *simulation) cut() {
	r := b.pickRequest(func(r *simulatedRequest) bool { return r.released })
	if r == nil {
		return
	}
	r.ended = true
	b.queue.cut(b.now, r.sequence, r.source)
	b.counts["cut"]++
	if b.pick(2, "returns") == 0 {
		return
	}
	again := &simulatedRequest{entry: 1 - r.entry, entrance: r.entrance}
	again.source = b.source(again.entry)
	again.floor = b.floors[again.entry]
	replay, err := b.queue.enter(b.now, again.entrance)
	if replay || err != nil {
		b.recordFault("a place that was just cut is not kept: %v", err)
		return
	}
	b.requests = append(b.requests, again)
}

func (b *simulation) tick() {
	steps := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 11 * time.Second}
	b.advanceTime(steps[b.pick(len(steps), "tick")])
}

func (b *simulation) advanceTime(d time.Duration) {
	b.now = b.now.Add(d)
	for _, r := range b.requests {
		// An entry refuses its caller at the deadline, before the place expires at the owner.
		if !r.ended && !b.now.Before(r.deadline) {
			b.endRequest(r)
		}
	}
}

// replaceOwner replaces the owner; within the settling time each entry reports its places and floors, in any order.
func (b *simulation) replaceOwner() {
	limits := DefaultLimits()
	b.queue = newQueue(limits, b.alive, b.now, b.now.Add(limits.Settle))
	b.counts["owner lost"]++
	var open []*simulatedRequest
	for _, r := range b.requests {
		if !r.ended {
			open = append(open, r)
		}
	}
	for len(open) > 0 && !b.skipPlaces {
		i := b.pick(len(open), "first")
		b.reenter(open[i])
		open[i].finished = false
		open = slices.Delete(open, i, i+1)
	}
	if !b.skipFloors {
		for _, f := range b.floors {
			b.queue.raiseFloor(f)
		}
	}
}

func (b *simulation) recordFault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

func (b *simulation) step() {
	moves := []func(){
		b.enter, b.enter, b.enter, b.finish, b.finish, b.finish, b.release, b.release, b.release,
		b.deliver, b.deliver, b.refuse, b.tick, b.tick, b.cut,
	}
	n := b.pick(len(moves)*4+1, "move")
	if n == len(moves)*4 {
		b.replaceOwner()
		return
	}
	moves[n%len(moves)]()
	if b.queue.heldBytes > 2*bufferBytes {
		b.recordFault("%d bytes held", b.queue.heldBytes)
	}
}

// finishAll finishes all requests and returns the first fault, or "" if there is none and no request still waits.
func (b *simulation) finishAll() string {
	for range 200 {
		b.pick = func(int, string) int { return 0 }
		b.finish()
		b.release()
		b.deliver()
		b.advanceTime(500 * time.Millisecond)
	}
	if r := b.pickRequest(func(*simulatedRequest) bool { return true }); r != nil {
		return fmt.Sprintf("sequence %d still waits above %d", r.sequence, b.queue.floor)
	}
	if len(b.faults) > 0 {
		return b.faults[0]
	}
	return ""
}

// TestDeliveriesFollowSequenceOrder checks the order of the deliveries over lost owners, two entries and time.
func TestDeliveriesFollowSequenceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newSimulation(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		t.Repeat(map[string]func(*rapid.T){
			"move": func(*rapid.T) { b.step() },
			"": func(t *rapid.T) {
				if len(b.faults) > 0 {
					t.Fatal(b.faults[0])
				}
			},
		})
		if fault := b.finishAll(); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestOrderOracleDetectsBrokenHandover checks that the oracle finds faults if one part of the handover is left out.
func TestOrderOracleDetectsBrokenHandover(t *testing.T) {
	run := func(change func(*simulation)) (faulty int, seen map[string]int) {
		seen = map[string]int{}
		for seed := range uint64(400) {
			rng := rand.New(rand.NewPCG(seed, 5))
			b := newSimulation(func(n int, _ string) int { return rng.IntN(n) })
			change(b)
			for range 300 {
				b.step()
			}
			if len(b.faults) > 0 {
				faulty++
				t.Logf("seed %d: %s", seed, b.faults[0])
			}
			for k, v := range b.counts {
				seen[k] += v
			}
		}
		return faulty, seen
	}
	faulty, _ := run(func(b *simulation) { b.skipFloors = true })
	require.NotZero(t, faulty, "without floors")
	faulty, _ = run(func(b *simulation) { b.skipPlaces = true })
	require.NotZero(t, faulty, "without places")
	faulty, seen := run(func(*simulation) {})
	require.Zero(t, faulty)
	for _, what := range []string{"delivered", "replay", "owner lost", "sequence-invalid", "predecessor-timed-out", "ordering-buffer-full", "held too much", "cut"} {
		require.NotZero(t, seen[what], "the moves never reach: %s", what)
	}
	t.Log(seen)
}
