package pacer

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// demandWindow is the time over which the rate of requests is averaged.
	demandWindow = time.Second
	// rateUnit is the unit of rates in counts, in requests a second.
	rateUnit = 0.1
)

// Counts are numbers by key, of which the daemons know the sums over the fleet.
type Counts = map[uint32]uint32

// rampKeys are the keys of a ramp in the counts.
type rampKeys struct{ waiting, inTime, troubled, neutral uint32 }

// keysOf returns the keys of an incarnation of a target.
func keysOf(t cataloger.Target) rampKeys {
	name := t.Name + "/" + strconv.FormatUint(t.Incarnation, 10)
	return rampKeys{key("waiting/" + name), key("in-time/" + name), key("troubled/" + name), key("neutral/" + name)}
}

func demandKey(service string) uint32 { return key("demand/" + service) }

func key(name string) uint32 { return uint32(xxhash.Sum64String("pace/" + name)) }

// demand measures the requests for a service; its zero value has the rate 0.
type demand struct {
	sum       float64
	updatedAt time.Time
}

func (d *demand) record(now time.Time) {
	d.decay(now)
	d.sum++
}

// rate returns the requests a second at this daemon.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.sum / demandWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.sum *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		d.updatedAt = now
	}
}

// Own returns the counts of this daemon: its demand, and its requests at targets that are paced.
func (p *Pacer) Own() Counts {
	lag := max(p.Lag(), minSumLag)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
	now, out := p.Now(), Counts{}
	p.removeObsolete(now)
	add := func(key uint32, n int) {
		if n > 0 {
			out[key] += uint32(n)
		}
	}
	for service, d := range p.demands {
		if p.Enabled(service) {
			add(demandKey(service), int(math.Round(d.rate(now)/rateUnit)))
		}
	}
	for _, t := range p.targets {
		add(t.keys.waiting, t.own.waiting)
		add(t.keys.inTime, t.own.inTime)
		add(t.keys.troubled, t.own.troubled)
		add(t.keys.neutral, t.own.neutral)
		if p.Usable(t.target.Name) {
			t.observe(now, p.loadOf(t, now))
		} else {
			t.forgetOffers(now)
		}
	}
	return out
}

// Apply takes over the sum of the counts of all other daemons.
func (p *Pacer) Apply(others Counts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	p.others = others
	for _, t := range p.targets {
		t.applyOthers(now, progress{
			waiting: int(others[t.keys.waiting]), inTime: int(others[t.keys.inTime]), troubled: int(others[t.keys.troubled]),
			neutral: int(others[t.keys.neutral]),
		})
	}
}
