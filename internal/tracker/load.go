package tracker

import (
	"math"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	// minLoadChange is the change of load at or above which it is sent to the data centre.
	minLoadChange = 0.1
	// loadRefreshInterval is how often the load is sent even if it has not changed.
	loadRefreshInterval = 10 * time.Second
	percent             = 100
)

// SetLoad sends this daemon's load to the daemons of its data centre if it has changed enough or the last send was long ago.
func (m *Machine) SetLoad(now time.Duration, load float64) []Message {
	m.advance(now)
	changed := math.Abs(load-m.self.load) >= minLoadChange
	if !changed && m.now-m.loadSentAt < loadRefreshInterval {
		return nil
	}
	m.loadSentAt = m.now
	if changed {
		m.self.load = load
		m.changes++
	}
	for _, e := range m.sorted {
		if e != m.self && e.present() && e.dataCentre == m.self.dataCentre {
			m.send(e.peerAddress, &peerv1.Gossip{
				Kind:        peerv1.GossipKind_GOSSIP_KIND_LOAD,
				LoadPercent: uint32(max(m.self.load, 0) * percent),
			})
		}
	}
	return m.takeOutbox()
}

func (m *Machine) receiveLoad(from string, g *peerv1.Gossip) {
	e := m.members[from]
	load := float64(g.LoadPercent) / percent
	if e == nil || e.load == load {
		return
	}
	e.load = load
	m.changes++
}
