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

// bench drives one ordering key through owners and entries and holds the oracle: the order of the deliveries.
type bench struct {
	pick      func(n int, label string) int
	now       time.Time
	queue     *queue
	dead      map[uint64]bool
	requests  []*ordered
	next      uint64
	nonce     uint64
	floors    [2]uint64
	delivered uint64
	lastID    string
	faults    []string
	// skipFloors breaks the handover: entries do not tell what they delivered.
	skipFloors bool
	// skipPlaces breaks the handover: entries do not tell their places.
	skipPlaces bool
	seen       map[string]int
}

type ordered struct {
	entrance
	entry    int
	finished bool
	released bool
	over     bool
}

const benchBuffer = 100

func newBench(pick func(n int, label string) int) *bench {
	b := &bench{pick: pick, now: time.UnixMilli(1_700_000_000_000), dead: map[uint64]bool{}, seen: map[string]int{}}
	b.queue = newQueue(DefaultLimits(), b.alive, b.now, b.now)
	return b
}

func (b *bench) alive(s source) bool { return !b.dead[s.incarnation] }

func (b *bench) source(entry int) source {
	b.nonce++
	return source{member: fmt.Sprint(entry), incarnation: uint64(entry), nonce: b.nonce}
}

func (b *bench) enter() {
	b.next++
	seq := b.next
	if b.pick(4, "order") == 0 {
		seq = uint64(max(1, int(b.next)+b.pick(6, "shift")-3))
	}
	entry := b.pick(2, "entry")
	r := &ordered{entry: entry, entrance: entrance{
		sequence: seq, id: fmt.Sprintf("r-%d-%d", seq, b.pick(2, "id")), source: b.source(entry),
		deadline: b.now.Add(time.Duration(1+b.pick(60, "deadline")) * time.Second), wait: 10 * time.Second,
		buffer: benchBuffer, floor: b.floors[entry],
	}}
	replay, err := b.queue.enter(b.now, r.entrance)
	switch {
	case err != nil:
		b.seen[err.Code.String()]++
		if err.Fact != refuser.FactNotRun {
			b.fault("%s before the run", err)
		}
		return
	case replay:
		b.seen["replay"]++
		return
	}
	b.supersede(r)
	b.requests = append(b.requests, r)
}

// supersede ends an earlier sending of the same request.
func (b *bench) supersede(r *ordered) {
	for _, o := range b.requests {
		if o.id == r.id && !o.over {
			o.over = true
		}
	}
}

func (b *bench) any(fits func(*ordered) bool) *ordered {
	var some []*ordered
	for _, r := range b.requests {
		if !r.over && fits(r) {
			some = append(some, r)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[b.pick(len(some), "which")]
}

func (b *bench) finish() {
	r := b.any(func(r *ordered) bool { return !r.finished })
	if r == nil {
		return
	}
	known, err := b.queue.finish(b.now, r.sequence, r.source, 1+b.pick(30, "size"), benchBuffer)
	switch {
	case err != nil:
		b.seen["held too much"]++
		b.end(r)
	case !known:
		b.enterAgain(r)
	default:
		r.finished = true
	}
}

func (b *bench) enterAgain(r *ordered) {
	e := r.entrance
	e.again = true
	e.floor = b.floors[r.entry]
	if b.skipFloors {
		e.floor = 0
	}
	if _, err := b.queue.enter(b.now, e); err != nil {
		r.over = true
		b.seen["late at a new owner"]++
	}
}

func (b *bench) end(r *ordered) {
	r.over = true
	b.queue.done(b.now, r.sequence, r.source)
}

func (b *bench) refuse() {
	if r := b.any(func(r *ordered) bool { return !r.released }); r != nil {
		b.end(r)
	}
}

func (b *bench) release() {
	seq, _ := b.queue.advance(b.now)
	if seq == 0 {
		return
	}
	for _, r := range b.requests {
		if r.sequence == seq && !r.over {
			r.released = true
			// The turn carries the owner's floor.
			b.floors[r.entry] = max(b.floors[r.entry], b.queue.floor)
		}
	}
}

func (b *bench) deliver() {
	r := b.any(func(r *ordered) bool { return r.released })
	if r == nil {
		return
	}
	// A caller that sends its newest request again may get the answer again, and nobody may get an older one.
	if r.sequence < b.delivered || (r.sequence == b.delivered && r.id != b.lastID) {
		b.fault("%d delivered after %d", r.sequence, b.delivered)
	}
	b.lastID = r.id
	b.seen["delivered"]++
	b.delivered = max(b.delivered, r.sequence)
	b.floors[r.entry] = max(b.floors[r.entry], r.sequence)
	b.end(r)
}

// cut breaks a delivery off; the caller comes back through the other entry at once or later, or not at all.
func (b *bench) cut() {
	r := b.any(func(r *ordered) bool { return r.released })
	if r == nil {
		return
	}
	r.over = true
	b.queue.cut(b.now, r.sequence, r.source)
	b.seen["cut"]++
	if b.pick(2, "returns") == 0 {
		return
	}
	again := &ordered{entry: 1 - r.entry, entrance: r.entrance}
	again.source = b.source(again.entry)
	again.floor = b.floors[again.entry]
	replay, err := b.queue.enter(b.now, again.entrance)
	if replay || err != nil {
		b.fault("a place that was just cut is not kept: %v", err)
		return
	}
	b.requests = append(b.requests, again)
}

func (b *bench) tick() {
	steps := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 11 * time.Second}
	b.pass(steps[b.pick(len(steps), "tick")])
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	for _, r := range b.requests {
		// An entry refuses its caller at the deadline, before the owner gives the place up.
		if !r.over && !b.now.Before(r.deadline) {
			b.end(r)
		}
	}
}

// lose replaces the owner; within the settling time each entry tells what it knows, in any order.
func (b *bench) lose() {
	limits := DefaultLimits()
	b.queue = newQueue(limits, b.alive, b.now, b.now.Add(limits.Settle))
	b.seen["owner lost"]++
	var open []*ordered
	for _, r := range b.requests {
		if !r.over {
			open = append(open, r)
		}
	}
	for len(open) > 0 && !b.skipPlaces {
		i := b.pick(len(open), "first")
		b.enterAgain(open[i])
		open[i].finished = false
		open = slices.Delete(open, i, i+1)
	}
	if !b.skipFloors {
		for _, f := range b.floors {
			b.queue.raise(f)
		}
	}
}

func (b *bench) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

func (b *bench) step() {
	moves := []func(){
		b.enter, b.enter, b.enter, b.finish, b.finish, b.finish, b.release, b.release, b.release,
		b.deliver, b.deliver, b.refuse, b.tick, b.tick, b.cut,
	}
	n := b.pick(len(moves)*4+1, "move")
	if n == len(moves)*4 {
		b.lose()
		return
	}
	moves[n%len(moves)]()
	if b.queue.held > 2*benchBuffer {
		b.fault("%d bytes held", b.queue.held)
	}
}

// drain lets everything finish and checks that nothing is left waiting.
func (b *bench) drain() string {
	for range 200 {
		b.pick = func(int, string) int { return 0 }
		b.finish()
		b.release()
		b.deliver()
		b.pass(500 * time.Millisecond)
	}
	if r := b.any(func(*ordered) bool { return true }); r != nil {
		return fmt.Sprintf("sequence %d still waits above %d", r.sequence, b.queue.floor)
	}
	if len(b.faults) > 0 {
		return b.faults[0]
	}
	return ""
}

// TestOrderIsKept checks the queue against the order of the deliveries over owners lost, entries and time.
func TestOrderIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		t.Repeat(map[string]func(*rapid.T){
			"move": func(*rapid.T) { b.step() },
			"": func(t *rapid.T) {
				if len(b.faults) > 0 {
					t.Fatal(b.faults[0])
				}
			},
		})
		if fault := b.drain(); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestOrderOracleNoticesBrokenHandover leaves out one part of the handover at a time.
func TestOrderOracleNoticesBrokenHandover(t *testing.T) {
	run := func(change func(*bench)) (faulty int, seen map[string]int) {
		seen = map[string]int{}
		for seed := range uint64(400) {
			rng := rand.New(rand.NewPCG(seed, 5))
			b := newBench(func(n int, _ string) int { return rng.IntN(n) })
			change(b)
			for range 300 {
				b.step()
			}
			if len(b.faults) > 0 {
				faulty++
				t.Logf("seed %d: %s", seed, b.faults[0])
			}
			for k, v := range b.seen {
				seen[k] += v
			}
		}
		return faulty, seen
	}
	faulty, _ := run(func(b *bench) { b.skipFloors = true })
	require.NotZero(t, faulty, "without floors")
	faulty, _ = run(func(b *bench) { b.skipPlaces = true })
	require.NotZero(t, faulty, "without places")
	faulty, seen := run(func(*bench) {})
	require.Zero(t, faulty)
	for _, what := range []string{"delivered", "replay", "owner lost", "sequence-invalid", "predecessor-timed-out", "ordering-buffer-full", "held too much", "cut"} {
		require.NotZero(t, seen[what], "the moves never reach: %s", what)
	}
	t.Log(seen)
}
