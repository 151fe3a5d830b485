package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// deadContactPeriod is how long the address of a dead member is still tried.
	deadContactPeriod = 2 * time.Hour
	// maxSeeds bounds the seed addresses; the latest ones added are kept.
	maxSeeds = 1024
	// firstContacts is how many addresses a daemon tries at a time until it is synced.
	firstContacts = 3
)

// contactAbsent pings addresses that should have a daemon but have no reachable member in the table.
func (m *Machine) contactAbsent() {
	interval := m.options.ContactInterval
	if !m.synced {
		interval = m.options.InitialContactInterval
	}
	if m.now-m.lastContact < interval {
		return
	}
	m.lastContact = m.now
	candidates := m.absentAddresses()
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	maps.DeleteFunc(m.contactedAt, func(address string, _ time.Duration) bool { return !slices.Contains(candidates, address) })
	// In turn, so that addresses at which nobody listens cannot keep a daemon that is back from being found.
	slices.SortStableFunc(candidates, func(a, b string) int { return cmp.Compare(m.contactedAt[a], m.contactedAt[b]) })
	count := 1
	if !m.synced {
		count = firstContacts
	}
	for _, address := range candidates[:min(count, len(candidates))] {
		m.contactedAt[address] = m.now
		m.sendPing(address)
	}
}

func (m *Machine) absentAddresses() []string {
	present := map[string]struct{}{m.self.peerAddress: {}}
	expected := map[string]struct{}{}
	for _, e := range m.sorted {
		if e.present() && !e.unreachable {
			present[e.peerAddress] = struct{}{}
		}
		if !e.present() && m.now-e.statusSince < deadContactPeriod {
			expected[e.peerAddress] = struct{}{}
		}
	}
	for _, a := range m.seeds {
		expected[a] = struct{}{}
	}
	for _, a := range m.listedAddresses {
		expected[a] = struct{}{}
	}
	var out []string
	for a := range expected {
		if _, ok := present[a]; !ok && a != "" {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}
