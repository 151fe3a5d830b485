package tracker

import (
	"math"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	// loadStep is the change of load from which on the neighbours are told.
	loadStep = 0.1
	// loadRefresh is the interval at which they are told in any case.
	loadRefresh = 10 * time.Second
	percent     = 100
)

// SetLoad tells the daemons of the data centre this one's load, if it has changed enough or they have not heard for long.
func (m *Machine) SetLoad(now time.Duration, load float64) []Message {
	m.advance(now)
	changed := math.Abs(load-m.self.load) >= loadStep
	if !changed && m.now-m.lastLoad < loadRefresh {
		return nil
	}
	m.lastLoad = m.now
	if changed {
		m.self.load = load
		m.changes++
	}
	for _, e := range m.order {
		if e != m.self && e.present() && e.dataCentre == m.self.dataCentre {
			m.send(e.peerAddress, &peerv1.Gossip{
				Kind:        peerv1.GossipKind_GOSSIP_KIND_LOAD,
				LoadPercent: uint32(max(m.self.load, 0) * percent),
			})
		}
	}
	return m.take()
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
