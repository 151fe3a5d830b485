package prober

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// fleetOf returns a fleet of live members and targets, spread over 3 to 13 data centres as at the design size.
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

// BenchmarkAssign measures updating the watches twice a second and the ticks between updates for 8 targets per daemon, with and
// without a new view for each update.
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
					p.updateWatches(now)
					for range int(assignInterval / tick) {
						_ = p.shareInterval()
					}
				}
				updatesPerSecond := float64(time.Second / assignInterval)
				b.ReportMetric(100*updatesPerSecond*(processorTime()-before).Seconds()/float64(b.N), "%core")
			})
		}
	}
}
