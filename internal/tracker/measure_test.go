package tracker

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// dataCentresFor returns the number of data centres for a fleet: about 31 daemons per data centre as in the design size, at
// least 3 data centres.
func dataCentresFor(size int) int { return min(13, max(3, size/31)) }

// falseAlarms counts live members that become suspect or dead in a live daemon's view.
type falseAlarms struct {
	n     *network
	seen  map[observation]cataloger.State
	count int
	// excused is until when a member does not count, as it was itself paused.
	excused map[string]time.Duration
}

func watchAlarms(n *network) *falseAlarms {
	f := &falseAlarms{n: n, seen: map[observation]cataloger.State{}, excused: map[string]time.Duration{}}
	n.onStep = f.inspect
	return f
}

func (f *falseAlarms) inspect(nd *node) {
	for _, e := range nd.m.sorted {
		subject := f.n.nodes[e.peerAddress]
		key := observation{nd.name, e.name}
		state := nd.state(e.name)
		bad := state == cataloger.StateSuspect || state == cataloger.StateDead
		before := f.seen[key]
		f.seen[key] = state
		if bad && before == cataloger.StateLive && subject.alive && f.n.now > f.excused[e.name] {
			f.count++
		}
	}
}

// measureSeed is the seed of the network in the measurements.
var measureSeed = flag.Uint64("measure.seed", 7, "seed of the network in the measurements")

// trialsFor bounds the run time of the large fleets.
func trialsFor(size int) int { return max(3, min(20, 800/size)) }

func percentile(times []time.Duration, p float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(p*float64(len(times))))].Seconds()
}

// BenchmarkDetection measures how long a lost daemon stays live in any view, and how often a live one is suspected.
func BenchmarkDetection(b *testing.B) {
	for _, size := range []int{4, 40, 200} {
		for _, loss := range []float64{0, 0.01, 0.05, 0.2} {
			b.Run(fmt.Sprintf("members=%d/loss=%g", size, loss), func(b *testing.B) {
				var times []time.Duration
				alarms, observed := 0, time.Duration(0)
				for b.Loop() {
					n := newNetwork(*measureSeed)
					n.grow(size, dataCentresFor(size))
					n.run(20 * time.Second)
					n.loss = loss
					f := watchAlarms(n)
					n.run(20 * time.Second)
					observed += 20 * time.Second
					for trial := range trialsFor(size) {
						lost := n.order[(trial*7+1)%size]
						lost.alive = false
						begin := n.now
						for n.states(lost.name)[cataloger.StateLive] > 0 && n.now-begin < time.Minute {
							n.run(25 * time.Millisecond)
						}
						times = append(times, n.now-begin)
						n.run(8 * time.Second)
						n.add(lost.name, string(lost.dc), "", lost.m.Incarnation()+1, "r000:1", "r001:1")
						n.run(5 * time.Second)
						observed += n.now - begin
					}
					alarms += f.count
				}
				b.ReportMetric(percentile(times, 0.5), "s-p50")
				b.ReportMetric(percentile(times, 0.99), "s-max")
				b.ReportMetric(float64(alarms)/observed.Hours()/float64(size), "false/h/observer")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkPauses measures how often a paused daemon causes false alarms, and how long after the pause it takes to be live
// in every view again.
func BenchmarkPauses(b *testing.B) {
	for _, size := range []int{4, 40, 200} {
		for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second} {
			b.Run(fmt.Sprintf("members=%d/pause=%s", size, pause), func(b *testing.B) {
				var recoveryTimes []time.Duration
				alarms, stillLive := 0, 0
				for b.Loop() {
					n := newNetwork(*measureSeed)
					n.grow(size, dataCentresFor(size))
					n.run(20 * time.Second)
					f := watchAlarms(n)
					for trial := range trialsFor(size) {
						nd := n.order[(trial*7+1)%size]
						n.pause(nd, pause)
						f.excused[nd.name] = n.now + pause + 2*time.Second
						n.run(pause)
						if n.states(nd.name)[cataloger.StateLive] > 0 {
							stillLive++
						}
						begin := n.now
						for n.states(nd.name)[cataloger.StateLive] < size-1 && n.now-begin < time.Minute {
							n.run(25 * time.Millisecond)
						}
						recoveryTimes = append(recoveryTimes, n.now-begin)
						n.run(10 * time.Second)
					}
					alarms += f.count
				}
				b.ReportMetric(percentile(recoveryTimes, 0.99), "s-until-live")
				b.ReportMetric(float64(stillLive)/float64(len(recoveryTimes)), "still-named")
				b.ReportMetric(float64(alarms), "false-alarms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkMachine measures the processor time of one daemon's machine and what it sends, per second of virtual time.
func BenchmarkMachine(b *testing.B) {
	for _, size := range []int{4, 40, 200, 400} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			n := newNetwork(*measureSeed)
			n.grow(size, dataCentresFor(size))
			n.run(20 * time.Second)
			n.count = true
			for _, nd := range n.order {
				nd.sent, nd.bytes = 0, 0
			}
			seconds := 0
			b.ResetTimer()
			for b.Loop() {
				n.run(time.Second)
				seconds++
			}
			sent, bytes := 0, 0
			for _, nd := range n.order {
				sent += nd.sent
				bytes += nd.bytes
			}
			perDaemon := float64(size * seconds)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perDaemon, "us/daemon/s")
			b.ReportMetric(float64(sent)/perDaemon, "messages/daemon/s")
			b.ReportMetric(float64(bytes)/perDaemon, "B/daemon/s")
		})
	}
}
