package tracker

import (
	"cmp"
	"slices"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// setStatus changes the status of a member in the table.
func (m *Machine) setStatus(e *memberEntry, s peerv1.MemberStatus) {
	m.digest ^= e.digest()
	if s == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		m.counts.Losses++
	}
	e.status = s
	e.statusSince = m.now
	e.relayed = false
	m.digest ^= e.digest()
	m.recordChange(e)
}

func (m *Machine) recordChange(e *memberEntry) {
	m.changes++
	m.changedAt = m.now
	e.changeNumber = m.changes
	m.watchesStale = true
}

func (m *Machine) recordTargetChange(e *targetEntry) {
	m.changes++
	m.changedAt = m.now
	m.targetChanges = m.changes
	e.changeNumber = m.changes
}

// insert adds an entry that is not in the table.
func (m *Machine) insert(e *memberEntry) {
	m.members[e.name] = e
	at, _ := slices.BinarySearchFunc(m.sorted, e.name, compareName)
	m.sorted = slices.Insert(m.sorted, at, e)
	m.digest ^= e.digest()
	m.recordChange(e)
}

// remove removes an entry from the table.
func (m *Machine) remove(e *memberEntry) {
	delete(m.members, e.name)
	delete(m.syncs, e.name)
	if at, ok := slices.BinarySearchFunc(m.sorted, e.name, compareName); ok {
		m.sorted = slices.Delete(m.sorted, at, at+1)
	}
	m.digest ^= e.digest()
	m.changes++
	m.watchesStale = true
}

func compareName(e *memberEntry, name string) int { return cmp.Compare(e.name, name) }
