package tallier

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// Interval is the time between two reports of a daemon, and between two sums of a collector.
	Interval = 150 * time.Millisecond
	// maxCollectorBytes bounds what a collector receives from its data centre, in bytes a second: reports of many daemons on many
	// targets are sent less often. keyBytes is the size of a key with its count.
	maxCollectorBytes = 128 << 10
	keyBytes          = 7
	// retention is how long a report or a sum counts without a newer one: longer than it takes until a collector that is gone is
	// replaced by another.
	retention = 2 * time.Second
	// collectorKey prefixes the data centre in the choice of its collector.
	collectorKey = "tally/"
)

// Scope says what the counts of a report are of.
type Scope int

// Scopes of reports.
const (
	// ScopeGateway is the sender alone.
	ScopeGateway Scope = iota + 1
	// ScopeDataCentre is the data centre of the sender, which is its collector.
	ScopeDataCentre
	// ScopeFleet is the whole fleet.
	ScopeFleet
)

// Report is a message between daemons.
type Report struct {
	Scope Scope
	// Epoch identifies the process of the sender, and Number orders its reports.
	Epoch  uint64
	Number uint64
	Counts Counts
	// Gateways is the number of daemons that the counts are of.
	Gateways int
}

// received is the last report of a sender.
type received struct {
	Report
	at time.Time
}

// Tallier sums counts over the fleet. Each daemon reports its own counts to the collector of its data centre, the collectors exchange
// the sums of their data centres, and each passes the sum over all on to the daemons of its own. Set the exported fields before Run.
type Tallier struct {
	// Self is the name of this daemon, Epoch identifies its process and DataCentre is where it runs.
	Self       string
	Epoch      uint64
	DataCentre cataloger.DataCentre
	// Members returns the live daemons, this one included.
	Members func() []cataloger.Member
	// Enabled reports whether anything here needs the sums; while it returns false, nothing is sent.
	Enabled func() bool
	// Own returns the counts of this daemon.
	Own func() Counts
	// Apply is called with the sum over the other daemons each time that it is known anew.
	Apply func(others Counts)
	// Send sends a report to a daemon.
	Send  func(to cataloger.Member, r Report)
	Clock timer.Clock
	Log   zerolog.Logger

	mu sync.Mutex
	// gateways are the last reports of the daemons of this data centre, by name, and dataCentres those of other collectors.
	gateways    map[string]received
	dataCentres map[cataloger.DataCentre]received
	// last is the last report of this daemon, number counts its reports.
	last   Counts
	number uint64
	// sum is when the fleet was summed last, by which collector and over how many daemons.
	sumAt     time.Time
	sumBy     string
	sumEpoch  uint64
	sumNumber uint64
	summed    int
	collector string
}

// New returns a tallier for a single daemon.
func New(clock timer.Clock) *Tallier {
	return &Tallier{
		Members: func() []cataloger.Member { return nil }, Enabled: func() bool { return false }, Own: func() Counts { return nil },
		Apply: func(Counts) {}, Send: func(cataloger.Member, Report) {}, Clock: clock, Log: zerolog.Nop(),
		gateways: map[string]received{}, dataCentres: map[cataloger.DataCentre]received{},
	}
}

// interval returns the time until the next round: Interval, or as long as the collector needs for all reports.
func (t *Tallier) interval() time.Duration {
	near := 0
	for _, m := range t.Members() {
		if m.DataCentre == t.DataCentre {
			near++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes := near * len(t.last) * keyBytes
	return max(Interval, time.Duration(float64(bytes)/maxCollectorBytes*float64(time.Second)))
}

// Lag returns about how old a sum may be: a report and the sum of it, each up to an interval apart.
func (t *Tallier) Lag() time.Duration { return 2 * t.interval() }

// Run reports and sums, at most every Interval, until ctx is done.
func (t *Tallier) Run(ctx context.Context) error {
	for pause := Interval; t.Clock.Sleep(ctx, pause) == nil; {
		if pause = Interval; t.Enabled() {
			t.round()
			pause = t.interval()
		}
	}
	return nil
}

// Fresh reports whether the last sum over the fleet is recent.
func (t *Tallier) Fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sumAt.IsZero() && t.Clock.Now().Sub(t.sumAt) < retention
}

// Summed returns the number of daemons that the last sum is of, or 0 if it is not recent.
func (t *Tallier) Summed() int {
	if !t.Fresh() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.summed
}

// round sends this daemon's report, and sums the others' if it is the collector of its data centre.
func (t *Tallier) round() {
	members := t.Members()
	collectors := collectorsOf(members)
	collector, ok := collectors[t.DataCentre]
	if !ok {
		return
	}
	own := t.Own().largest(MaxKeys)
	t.mu.Lock()
	t.number++
	t.last = own
	r := Report{Scope: ScopeGateway, Epoch: t.Epoch, Number: t.number, Counts: own, Gateways: 1}
	changed := t.collector != collector.Name
	t.collector = collector.Name
	t.mu.Unlock()
	if changed {
		t.Log.Info().Str("collector", collector.Name).Msg("reports loads to a collector")
	}
	if collector.Name != t.Self {
		t.Send(collector, r)
		return
	}
	t.Handle(cataloger.Member{Name: t.Self, DataCentre: t.DataCentre}, r)
	t.distribute(members, collectors)
}

// distribute sends the sum of this data centre to the other collectors, and that of the fleet to the daemons of this one.
func (t *Tallier) distribute(members []cataloger.Member, collectors map[cataloger.DataCentre]cataloger.Member) {
	t.mu.Lock()
	now := t.Clock.Now()
	near := Report{Scope: ScopeDataCentre, Epoch: t.Epoch, Number: t.number, Counts: Counts{}}
	for name, r := range t.gateways {
		if now.Sub(r.at) >= retention {
			delete(t.gateways, name)
			continue
		}
		near.Counts.add(r.Counts)
		near.Gateways += r.Gateways
	}
	all := Report{Scope: ScopeFleet, Epoch: t.Epoch, Number: t.number, Counts: Counts{}, Gateways: near.Gateways}
	all.Counts.add(near.Counts)
	for dc, r := range t.dataCentres {
		if now.Sub(r.at) >= retention {
			delete(t.dataCentres, dc)
			continue
		}
		all.Counts.add(r.Counts)
		all.Gateways += r.Gateways
	}
	t.mu.Unlock()
	near.Counts, all.Counts = near.Counts.largest(MaxKeys), all.Counts.largest(MaxKeys)
	for dc, c := range collectors {
		if dc != t.DataCentre {
			t.Send(c, near)
		}
	}
	for _, m := range members {
		if m.DataCentre == t.DataCentre && m.Name != t.Self {
			t.Send(m, all)
		}
	}
	t.Handle(cataloger.Member{Name: t.Self, DataCentre: t.DataCentre}, all)
}

// Handle takes over a report of a daemon; one that is older than the last of its sender is dropped.
func (t *Tallier) Handle(from cataloger.Member, r Report) {
	t.mu.Lock()
	now := t.Clock.Now()
	switch r.Scope {
	case ScopeGateway:
		if last, ok := t.gateways[from.Name]; !ok || isNewer(r, last.Report) {
			t.gateways[from.Name] = received{r, now}
		}
	case ScopeDataCentre:
		// A data centre may have two collectors for a moment; the one that was heard last counts.
		if last, ok := t.dataCentres[from.DataCentre]; !ok || last.Epoch != r.Epoch || r.Number > last.Number {
			t.dataCentres[from.DataCentre] = received{r, now}
		}
	case ScopeFleet:
		if from.Name == t.sumBy && !isNewer(r, Report{Epoch: t.sumEpoch, Number: t.sumNumber}) {
			break
		}
		t.sumBy, t.sumEpoch, t.sumNumber, t.sumAt, t.summed = from.Name, r.Epoch, r.Number, now, r.Gateways
		others := r.Counts.without(t.last)
		t.mu.Unlock()
		t.Apply(others)
		return
	}
	t.mu.Unlock()
}

// Forget drops what a daemon that is gone has reported.
func (t *Tallier) Forget(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.gateways, name)
}

// isNewer reports whether a report is later than another one of the same daemon.
func isNewer(r, last Report) bool {
	return r.Epoch > last.Epoch || r.Epoch == last.Epoch && r.Number > last.Number
}

// collectorsOf returns the collector of each data centre, on which all daemons with the same view of the members agree.
func collectorsOf(members []cataloger.Member) map[cataloger.DataCentre]cataloger.Member {
	byDataCentre := map[cataloger.DataCentre][]cataloger.Member{}
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	out := make(map[cataloger.DataCentre]cataloger.Member, len(byDataCentre))
	for dc, list := range byDataCentre {
		if chosen, ok := tracker.Rendezvous(list, collectorKey+string(dc)); ok {
			out[dc] = chosen
		}
	}
	return out
}
