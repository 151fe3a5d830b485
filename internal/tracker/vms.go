package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// SetVMs joins in the platform's list, which lags: it names addresses to try and marks what leaves, and never brings anything back.
func (m *Machine) SetVMs(now time.Duration, vms []cataloger.VM, peerAddress func(cataloger.VM) string) []Message {
	m.advance(now)
	clear(m.listed)
	seen := map[string]struct{}{}
	for _, vm := range vms {
		if vm.Role == cataloger.RoleEntry {
			m.listEntry(vm, peerAddress(vm))
		}
		for _, t := range vm.Targets {
			seen[t.Name] = struct{}{}
			m.listTarget(vm, t)
		}
	}
	m.missTargets(seen)
	m.flushNews()
	return m.take()
}

func (m *Machine) listEntry(vm cataloger.VM, peerAddress string) {
	if !vm.Leaving {
		m.listed[vm.Name] = peerAddress
		return
	}
	for _, e := range m.order {
		// The address tells a replaced VM from its successor of the same name.
		if e.address == "" || e.address != vm.Address || e.status >= peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
			continue
		}
		m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_LEAVING)
		m.publish(e)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
