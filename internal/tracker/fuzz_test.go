package tracker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		_ = flag.Set("rapid.seed", "20261203")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

const (
	// detectBound is the time within which no view may have a lost daemon as live, on a stable network.
	detectBound = 2 * time.Second
	// stablePeriod is how long the network must have been free of disruption for detectBound to hold.
	stablePeriod = 4 * time.Second
	// settleBound is the time within which all views must match the truth once all faults have ended.
	settleBound = 20 * time.Second
)

// truth is the actual state of the process of one name.
type truth struct {
	running bool
	leaving bool
	stopped time.Duration
	// highest is the highest incarnation that a process of the name has used.
	highest uint64
	// highestLeft is the highest incarnation that announced its leave.
	highestLeft uint64
}

// observation is a pair of a daemon and a member in its view.
type observation struct{ observer, subject string }

// oracle checks the views of daemons against the truth while it injects faults.
type oracle struct {
	net    *network
	truths map[string]*truth
	// highestEnded is the highest incarnation that the observer has had as leaving or dead.
	highestEnded map[observation]uint64
	epochs       map[string]uint64
	disruptedAt  time.Duration
	vms          []cataloger.VM
	history      [][]cataloger.VM
	// unlisted holds the names of the VMs that the list omits.
	unlisted map[string]bool
	blocked  map[[2]cataloger.DataCentre]bool
	err      error
	// sabotage breaks a machine on purpose, to prove that the oracle detects it.
	sabotage func(nd *node, list []cataloger.VM)
}

const fuzzSize, fuzzDataCentres = 7, 3

func newOracle(seed uint64) *oracle {
	o := &oracle{
		net:          newNetwork(seed),
		truths:       map[string]*truth{},
		highestEnded: map[observation]uint64{},
		epochs:       map[string]uint64{},
		blocked:      map[[2]cataloger.DataCentre]bool{},

		unlisted: map[string]bool{},
	}
	o.net.onStep = o.checkInvariants
	o.net.blocked = func(from, to *node) bool {
		return o.blocked[[2]cataloger.DataCentre{from.dc, to.dc}]
	}
	o.net.grow(fuzzSize, fuzzDataCentres)
	for _, nd := range o.net.order {
		o.truths[nd.name] = &truth{running: true, highest: 1}
		o.vms = append(o.vms, cataloger.VM{Name: nd.name, Role: cataloger.RoleEntry, DataCentre: nd.dc, Address: nd.name + ":80"})
	}
	o.recordList()
	o.net.run(5 * time.Second)
	o.disruptedAt = o.net.now
	return o
}

// recordList adds the current list to those that a lagging read may return.
func (o *oracle) recordList() {
	var list []cataloger.VM
	for _, vm := range o.vms {
		if !o.unlisted[vm.Name] {
			list = append(list, vm)
		}
	}
	o.history = append(o.history, list)
}

func (o *oracle) fail(format string, args ...any) {
	if o.err == nil {
		o.err = errors.Newf("at %s: %s", o.net.now, fmt.Sprintf(format, args...))
	}
}

// checkInvariants checks what must be true of a machine after every step.
func (o *oracle) checkInvariants(nd *node) {
	if o.sabotage != nil {
		o.sabotage(nd, nil)
	}
	if o.epochs[nd.name] != nd.m.self.epoch {
		o.epochs[nd.name] = nd.m.self.epoch
		for s := range o.highestEnded {
			if s.observer == nd.name {
				delete(o.highestEnded, s)
			}
		}
	}
	for name, tr := range o.truths {
		if m := o.net.nodes[name+":1"].m; o.net.nodes[name+":1"].alive {
			tr.highest = max(tr.highest, m.self.incarnation)
		}
		e := nd.m.members[name]
		if e == nil || name == nd.name {
			continue
		}
		if e.incarnation > tr.highest {
			o.fail("%s has incarnation %d of %s, which has used at most %d", nd.name, e.incarnation, name, tr.highest)
		}
		key := observation{nd.name, name}
		ended, seen := o.highestEnded[key]
		if e.working() && seen && e.incarnation <= ended {
			o.fail("%s shows %s as %s again at incarnation %d", nd.name, name, e.status, e.incarnation)
		}
		if !e.working() {
			o.highestEnded[key] = max(ended, e.incarnation)
		}
		stable := o.net.now-o.disruptedAt > stablePeriod
		if !tr.running && stable && o.net.now-tr.stopped > detectBound && nd.state(name) == cataloger.StateLive {
			o.fail("%s still has %s as live, which ended %s ago", nd.name, name, o.net.now-tr.stopped)
		}
	}
}

// recordDisruption restarts the stable period.
func (o *oracle) recordDisruption() { o.disruptedAt = o.net.now }

func (o *oracle) faulty() bool {
	if o.net.loss > 0 || o.net.dup > 0 || o.net.jitter > 10*time.Millisecond {
		return true
	}
	for _, b := range o.blocked {
		if b {
			return true
		}
	}
	return false
}

// step takes one random action and lets some time pass; draw returns a number below its argument.
func (o *oracle) step(draw func(n int) int) {
	nd := o.net.order[draw(len(o.net.order))]
	tr := o.truths[nd.name]
	switch draw(14) {
	case 0:
		if nd.alive {
			nd.alive = false
			tr.running = false
			tr.stopped = o.net.now
		}
	case 1, 2:
		o.restart(nd, tr, draw)
	case 3:
		if nd.alive {
			o.net.post(nd, nd.m.Leave(o.net.now+nd.skew))
			tr.leaving = true
			tr.highestLeft = max(tr.highestLeft, nd.m.self.incarnation)
		}
	case 4:
		o.net.pause(nd, time.Duration(1+draw(120))*100*time.Millisecond)
		o.recordDisruption()
	case 5:
		nd.skew += time.Duration(draw(200)-100) * 100 * time.Millisecond
		o.recordDisruption()
	case 6:
		o.net.loss = []float64{0, 0.01, 0.05, 0.2}[draw(4)]
		o.net.dup = []float64{0, 0.1}[draw(2)]
		o.net.jitter = []time.Duration{time.Millisecond, 300 * time.Millisecond}[draw(2)]
		o.recordDisruption()
	case 7:
		a := cataloger.DataCentre(fmt.Sprintf("dc%02d", draw(fuzzDataCentres)))
		b := cataloger.DataCentre(fmt.Sprintf("dc%02d", draw(fuzzDataCentres)))
		if a != b {
			o.blocked[[2]cataloger.DataCentre{a, b}] = true
			o.blocked[[2]cataloger.DataCentre{b, a}] = draw(3) > 0
			o.recordDisruption()
		}
	case 8:
		clear(o.blocked)
		o.recordDisruption()
	case 9:
		i := draw(len(o.vms))
		o.vms[i].Leaving = tr.leaving && o.vms[i].Name == nd.name
		o.recordList()
	case 10:
		if nd.alive && nd.pausedUntil <= o.net.now {
			list := o.history[draw(len(o.history))]
			o.net.post(nd, nd.m.SetVMs(o.net.now+nd.skew, list, func(vm cataloger.VM) string { return vm.Name + ":1" }))
			if o.sabotage != nil {
				o.sabotage(nd, list)
			}
			o.checkInvariants(nd)
		}
	case 11:
		clear(o.blocked)
		o.net.loss, o.net.dup, o.net.jitter = 0, 0, time.Millisecond
		o.recordDisruption()
		o.run(stablePeriod)
	case 12:
		o.unlisted[nd.name] = !o.unlisted[nd.name]
		o.recordList()
	case 13:
		// A leaving mark may be of an earlier VM of the same name, at another address.
		marked := append([]cataloger.VM(nil), o.vms...)
		for i := range marked {
			marked[i].Leaving = marked[i].Name == nd.name
			marked[i].Address = "earlier-" + marked[i].Address
		}
		o.history = append(o.history, marked)
	}
	o.run(time.Duration(draw(30)) * 100 * time.Millisecond)
}

// restart replaces a process; the clock of the new one may give it an incarnation below the last one.
func (o *oracle) restart(nd *node, tr *truth, draw func(int) int) {
	if nd.alive && draw(2) == 0 {
		return
	}
	incarnation := tr.highest + 1
	if draw(3) == 0 {
		incarnation = max(tr.highest, 3) - 2
	}
	fresh := o.net.add(nd.name, string(nd.dc), "", incarnation, "r000:1", "r001:1")
	tr.running = true
	tr.leaving = false
	tr.highest = max(tr.highest, fresh.m.self.incarnation)
	o.recordDisruption()
}

func (o *oracle) run(d time.Duration) {
	end := o.net.now + d
	for o.net.now < end && o.err == nil {
		if o.faulty() || o.anyPaused() {
			o.recordDisruption()
		}
		o.net.run(min(100*time.Millisecond, end-o.net.now))
	}
}

func (o *oracle) anyPaused() bool {
	for _, nd := range o.net.order {
		if nd.alive && nd.pausedUntil > o.net.now {
			return true
		}
	}
	return false
}

// settle ends all faults and compares every view with the truth.
func (o *oracle) settle() {
	clear(o.blocked)
	o.net.loss, o.net.dup, o.net.jitter = 0, 0, time.Millisecond
	o.recordDisruption()
	for _, nd := range o.net.order {
		o.net.pause(nd, 0)
	}
	o.run(settleBound)
	for _, nd := range o.net.order {
		if !nd.alive {
			continue
		}
		if nd.m.Superseded() {
			o.fail("%s is superseded although no other process has its name", nd.name)
		}
		for name, tr := range o.truths {
			if name != nd.name {
				o.compareView(nd, name, tr)
			}
		}
	}
}

func (o *oracle) compareView(nd *node, name string, tr *truth) {
	subject := o.net.nodes[name+":1"].m
	state := nd.state(name)
	switch {
	case !tr.running:
		if state != cataloger.StateDead {
			o.fail("%s sees %s as %s, which ended %s ago", nd.name, name, state, o.net.now-tr.stopped)
		}
	case subject.Leaving():
		if state != cataloger.StateLeaving {
			o.fail("%s sees %s, which leaves, as %s", nd.name, name, state)
		}
	default:
		if state != cataloger.StateLive {
			o.fail("%s sees %s as %s, which runs and is reachable", nd.name, name, state)
		}
	}
}

func TestMembershipAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := newOracle(rapid.Uint64().Draw(rt, "network"))
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "draw") }
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			o.step(draw)
			if o.err != nil {
				break
			}
		}
		o.settle()
		if o.err != nil {
			rt.Fatal(o.err)
		}
	})
}

func TestOracleCatchesBrokenMachines(t *testing.T) {
	tests := map[string]func(nd *node, list []cataloger.VM){
		"the list returns leavers to live": func(nd *node, list []cataloger.VM) {
			for _, vm := range list {
				if e := nd.m.members[vm.Name]; e != nil && e != nd.m.self && !vm.Leaving && e.status == peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
					nd.m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_LIVE)
				}
			}
		},
		"nobody watches": func(nd *node, _ []cataloger.VM) { clear(nd.m.watched) },
		"suspects do not refute": func(nd *node, _ []cataloger.VM) {
			for _, e := range nd.m.sorted {
				if e != nd.m.self && e.status == peerv1.MemberStatus_MEMBER_STATUS_LIVE && nd.m.now-e.lastMessageAt > 800*time.Millisecond && nd.m.watched[e.name] != nil {
					nd.m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_DEAD)
					e.incarnation += 2
				}
			}
		},
	}
	for name, sabotage := range tests {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := uint64(1); seed < 60 && err == nil; seed++ {
				random := rand.New(rand.NewPCG(seed, seed))
				o := newOracle(seed)
				o.sabotage = sabotage
				for range 40 {
					o.step(random.IntN)
				}
				o.settle()
				err = o.err
			}
			require.Error(t, err)
		})
	}
}
