package modeler

import (
	"container/heap"
	"math"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Fleet is a set of targets in virtual time; it is not safe for concurrent use.
type Fleet struct {
	Spec Spec

	now     time.Duration
	seq     int
	queue   events
	targets map[string]*target
	// pipeFree is when the pipe from one data centre to another has sent what it was given.
	pipeFree map[[2]string]time.Duration
	loads    int
	running  map[string]*generation
}

// New returns a fleet without targets at time 0.
func New(spec Spec) *Fleet {
	return &Fleet{Spec: spec, targets: map[string]*target{}, running: map[string]*generation{}, pipeFree: map[[2]string]time.Duration{}}
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration { return f.now }

// At has something happen at a time, or now where that is past.
func (f *Fleet) At(at time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{at: max(at, f.now), seq: f.seq, do: do})
}

// After has something happen after a while.
func (f *Fleet) After(d time.Duration, do func()) { f.At(f.now+d, do) }

// Run lets time pass until a moment.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// Add adds an empty target.
func (f *Fleet) Add(name, dataCentre, kind string) {
	f.targets[name] = &target{fleet: f, name: name, dataCentre: dataCentre, kind: f.Spec.Kinds[kind], pace: 1}
}

// Held returns the layers that a target holds ready.
func (f *Fleet) ReadyLayers(name string) (first, end uint32) {
	t, ok := f.targets[name]
	if !ok || t.loading {
		return 0, 0
	}
	return t.first, t.end
}

// Place has a target load the layers [first,end); done is called when it holds them. Before the first request, loads take a
// tenth of their time where quick is set.
func (f *Fleet) LoadLayers(name string, first, end uint32, quick bool, done func()) {
	t := f.targets[name]
	t.first, t.end, t.loading = first, end, true
	f.loads++
	d := f.Spec.LoadTime.Seconds() * float64(end-first) / float64(f.Spec.Layers)
	if f.Spec.MaxConcurrentLoads > 0 {
		d *= math.Max(1, float64(f.loads)/float64(f.Spec.MaxConcurrentLoads))
	}
	if quick {
		d /= 10
	}
	f.After(time.Duration(d*float64(time.Second)), func() {
		f.loads--
		t.loading = false
		if done != nil && !t.lost {
			done()
		}
	})
}

// Lose takes a target away without a word; what passes it waits for the stall time and is cut off.
func (f *Fleet) Crash(name string) {
	t := f.targets[name]
	t.lost = true
	for _, g := range f.running {
		if g.passes(name) {
			g.stallAt(t)
		}
	}
}

// Slow has a target take so many times as long from now on.
func (f *Fleet) SetPace(name string, pace float64) { f.targets[name].pace = pace }

// Report calls take with what a target says of itself as of a while ago; a lost target says nothing.
func (f *Fleet) QueryReport(name string, take func(Report)) {
	t := f.targets[name]
	if t.lost {
		return
	}
	r := Report{Pace: t.pace, UsedTokenLayers: t.used(), Stalled: map[string]string{}}
	for _, g := range f.running {
		if g.path[0].Target != name {
			continue
		}
		r.Running++
		if s := g.silentStage(); s != "" {
			r.Stalled[g.request.ID] = s
		}
	}
	f.After(f.Spec.ReportLag, func() { take(r) })
}

// transfer returns when so many tokens that leave one target now have come to another.
func (f *Fleet) transfer(from, to *target, tokens int) time.Duration {
	if from.dataCentre == to.dataCentre {
		return f.now
	}
	arrive := f.now
	if f.Spec.PipeBytesPerSecond > 0 {
		takes := float64(tokens) * f.Spec.ActivationBytes / f.Spec.PipeBytesPerSecond
		hop := [2]string{from.dataCentre, to.dataCentre}
		arrive = max(f.pipeFree[hop], f.now) + time.Duration(takes*float64(time.Second))
		f.pipeFree[hop] = arrive
	}
	return arrive + f.Spec.OneWayDelay
}
