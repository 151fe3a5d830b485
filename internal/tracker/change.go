package tracker

import (
	"cmp"
	"slices"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// setStatus changes the status of a known member.
func (m *Machine) setStatus(e *memberEntry, s peerv1.MemberStatus) {
	m.digest ^= e.digest()
	if s == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		m.counts.Losses++
	}
	e.status = s
	e.since = m.now
	e.passedOn = false
	m.digest ^= e.digest()
	m.noteChange(e)
}

func (m *Machine) noteChange(e *memberEntry) {
	m.changes++
	m.changedAt = m.now
	e.changed = m.changes
	m.stale = true
}

func (m *Machine) noteTargetChange(e *targetEntry) {
	m.changes++
	m.changedAt = m.now
	m.targetChanges = m.changes
	e.changed = m.changes
}

// insert adds an entry that is not in the table.
func (m *Machine) insert(e *memberEntry) {
	m.members[e.name] = e
	at, _ := slices.BinarySearchFunc(m.order, e.name, compareName)
	m.order = slices.Insert(m.order, at, e)
	m.digest ^= e.digest()
	m.noteChange(e)
}

// forget removes an entry from the table.
func (m *Machine) forget(e *memberEntry) {
	delete(m.members, e.name)
	delete(m.syncs, e.name)
	if at, ok := slices.BinarySearchFunc(m.order, e.name, compareName); ok {
		m.order = slices.Delete(m.order, at, at+1)
	}
	m.digest ^= e.digest()
	m.changes++
	m.stale = true
}

func compareName(e *memberEntry, name string) int { return cmp.Compare(e.name, name) }
