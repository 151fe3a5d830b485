package tracker

import (
	"slices"
	"time"
)

const (
	// recentDeath is how long the address of a dead member is tried again.
	recentDeath = 2 * time.Hour
	// maxSeeds bounds the addresses to try that were named one after the other; the latest are kept.
	maxSeeds = 1024
	// firstContacts is how many addresses a daemon tries at once while it knows nobody.
	firstContacts = 3
)

// contactAbsent tries an address that should have a daemon and has none in the table.
func (m *Machine) contactAbsent() {
	pause := m.options.ContactInterval
	if !m.synced {
		pause = m.options.InitialContactInterval
	}
	if m.now-m.lastContact < pause {
		return
	}
	m.lastContact = m.now
	candidates := m.absentAddresses()
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := 1
	if !m.synced {
		count = firstContacts
	}
	for _, address := range candidates[:min(count, len(candidates))] {
		m.sendPing(address)
	}
}

func (m *Machine) absentAddresses() []string {
	present := map[string]struct{}{m.self.peerAddress: {}}
	wanted := map[string]struct{}{}
	for _, e := range m.order {
		if e.present() && !e.unreachable {
			present[e.peerAddress] = struct{}{}
		}
		if !e.present() && m.now-e.since < recentDeath {
			wanted[e.peerAddress] = struct{}{}
		}
	}
	for _, a := range m.seeds {
		wanted[a] = struct{}{}
	}
	for _, a := range m.listed {
		wanted[a] = struct{}{}
	}
	var out []string
	for a := range wanted {
		if _, ok := present[a]; !ok && a != "" {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}
