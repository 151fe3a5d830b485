package modeler

import (
	"container/heap"
	"math"
	"time"
)

// event is an action scheduled for a moment of virtual time; seq orders events of the same moment.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Fleet simulates a set of targets in virtual time; it is not safe for concurrent use.
type Fleet struct {
	Spec Spec

	now     time.Duration
	seq     int
	queue   eventQueue
	targets map[string]*target
	// pipeFreeAt is when the pipe from one data centre to another will have sent its pending data.
	pipeFreeAt   map[[2]string]time.Duration
	runningLoads int
	running      map[string]*generation
}

// New returns a fleet without targets at time 0.
func New(spec Spec) *Fleet {
	return &Fleet{Spec: spec, targets: map[string]*target{}, running: map[string]*generation{}, pipeFreeAt: map[[2]string]time.Duration{}}
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration { return f.now }

// At schedules an action for a virtual time, or for now if that time has passed.
func (f *Fleet) At(at time.Duration, action func()) {
	f.seq++
	heap.Push(&f.queue, event{at: max(at, f.now), seq: f.seq, action: action})
}

// After schedules an action after a delay.
func (f *Fleet) After(d time.Duration, action func()) { f.At(f.now+d, action) }

// Run runs all events up to a virtual time and sets the clock to it.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.action()
	}
	f.now = until
}

// Add adds a target without layers; kind is a key of Spec.Kinds.
func (f *Fleet) Add(name, dataCentre, kind string) {
	f.targets[name] = &target{fleet: f, name: name, dataCentre: dataCentre, kind: f.Spec.Kinds[kind], pace: 1}
}

// ReadyLayers returns the layers [first,end) that a target has loaded; both are 0 while it loads.
func (f *Fleet) ReadyLayers(name string) (first, end uint32) {
	t, ok := f.targets[name]
	if !ok || t.loading {
		return 0, 0
	}
	return t.first, t.end
}

// LoadLayers makes a target load the layers [first,end) and calls done when it has them. A quick load, meant for the time
// before the first request, takes a tenth of the time.
func (f *Fleet) LoadLayers(name string, first, end uint32, quick bool, done func()) {
	t := f.targets[name]
	t.first, t.end, t.loading = first, end, true
	f.runningLoads++
	d := f.Spec.LoadTime.Seconds() * float64(end-first) / float64(f.Spec.Layers)
	if f.Spec.MaxConcurrentLoads > 0 {
		d *= math.Max(1, float64(f.runningLoads)/float64(f.Spec.MaxConcurrentLoads))
	}
	if quick {
		d /= 10
	}
	f.After(time.Duration(d*float64(time.Second)), func() {
		f.runningLoads--
		t.loading = false
		if done != nil && !t.lost {
			done()
		}
	})
}

// Crash makes a target fail without notice; the generations that use it wait for the stall time and are then aborted.
func (f *Fleet) Crash(name string) {
	t := f.targets[name]
	t.lost = true
	for _, g := range f.running {
		if g.uses(name) {
			g.stallAt(t)
		}
	}
}

// SetPace makes a target take pace times its usual time from now on.
func (f *Fleet) SetPace(name string, pace float64) { f.targets[name].pace = pace }

// QueryReport delivers a target's present report after the report lag; a lost target sends none.
func (f *Fleet) QueryReport(name string, deliver func(Report)) {
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
		if s := g.lostStage(); s != "" {
			r.Stalled[g.request.ID] = s
		}
	}
	f.After(f.Spec.ReportLag, func() { deliver(r) })
}

// transfer returns when tokens that leave one target now will have arrived at another, and occupies the pipe between them.
func (f *Fleet) transfer(from, to *target, tokens int) time.Duration {
	if from.dataCentre == to.dataCentre {
		return f.now
	}
	arrive := f.now
	if f.Spec.PipeBytesPerSecond > 0 {
		seconds := float64(tokens) * f.Spec.ActivationBytes / f.Spec.PipeBytesPerSecond
		hop := [2]string{from.dataCentre, to.dataCentre}
		arrive = max(f.pipeFreeAt[hop], f.now) + time.Duration(seconds*float64(time.Second))
		f.pipeFreeAt[hop] = arrive
	}
	return arrive + f.Spec.OneWayDelay
}
