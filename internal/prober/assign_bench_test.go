package prober

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// fleetOf returns a fleet of 8 targets to a daemon, over data centres as at the design size.
func fleetOf(members, targets int) cataloger.Fleet {
	dataCentres := min(13, max(3, members/31))
	var f cataloger.Fleet
	for i := range members {
		name := fmt.Sprintf("r%03d", i)
		dc := cataloger.DataCentre(fmt.Sprintf("dc%02d", i%dataCentres))
		f.Members = append(f.Members, cataloger.Member{Name: name, PeerAddress: name, DataCentre: dc, State: cataloger.StateLive})
	}
	for i := range targets {
		name := fmt.Sprintf("target-%04d", i)
		dc := cataloger.DataCentre(fmt.Sprintf("dc%02d", i%dataCentres))
		f.Targets = append(f.Targets, cataloger.Target{Name: name, Address: name, DataCentre: dc, State: cataloger.StateLive})
	}
	return f
}

// BenchmarkAssign measures the looks at which targets are this daemon's, twice a second, and the ticks between them,
// where the view is a new one at each look and where it is not.
func BenchmarkAssign(b *testing.B) {
	const perMember = 8
	for _, members := range []int{4, 40, 200, 400} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/changing=%t", members, changing), func(b *testing.B) {
				fleet := fleetOf(members, members*perMember)
				p := &Prober{Self: "r001", Fleet: func() cataloger.Fleet { return fleet }}
				p.init()
				now := p.Clock.Now()
				before := processorTime()
				for b.Loop() {
					if changing {
						fleet.Members = slices.Clone(fleet.Members)
					}
					p.assign(now)
					for range int(assignInterval / tick) {
						_ = p.shareInterval()
					}
				}
				looks := float64(time.Second / assignInterval)
				b.ReportMetric(100*looks*(processorTime()-before).Seconds()/float64(b.N), "%core")
			})
		}
	}
}
